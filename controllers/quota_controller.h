#pragma once

#include "core/sharded_map.h"
#include "decisions/quota/quota_account.h"
#include "decisions/quota/quota_gate.h"
#include "decisions/state/records.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusspool {

struct quota_config
{
  host_id mSelf;
  incarnation_number mIncarnation = 0;
  quota_bounds mBounds;
  /** Time from which on this host has run; it owns no team earlier. */
  steady_time mStartedAt;
  /** Maximum age of this host's last confirmed state at which it grants as an
   * owner, and for which an owner waits after a change of the hosts until those
   * before it have ceased to grant. */
  milliseconds mHandover{ 3000 };
  /** Time for which the owner is waited for, and again the deputy. */
  milliseconds mAskTimeout{ 100 };
};

struct quota_target
{
  host_id mHost;
  incarnation_number mIncarnation = 0;
  std::string mAddress;

  bool operator==(const quota_target&) const = default;
};

/** A message to the owner or the deputy of some teams. */
struct quota_message
{
  quota_target mTarget;
  quota_request mRequest;
  milliseconds mTimeout{ 0 };
  /** The version of each item, in their order. */
  std::vector<std::uint64_t> mVersions;
};

/** A notice to a host. */
struct quota_notice_message
{
  quota_target mTarget;
  quota_notice mNotice;
};

struct quota_hooks
{
  /** Age of this host's last confirmed state; very long if there is none. */
  std::function<milliseconds(steady_time)> mConfirmedAge;
  /** There is something to report; `TakeReports` should be called soon. */
  std::function<void()> mOnNews;
  std::function<void(const quota_notice_message&)> mSendNotice;
  /** Sends a message of the deputy to the owner; `OnProbed` gets the result. */
  std::function<void(const quota_message&)> mProbe;
  /** A team became metered, or open again. */
  std::function<void(const team_id&, bool aIsMetered, double aUsed)> mOnState;
  /** This host takes the place of an owner. */
  std::function<void(const team_id&, const host_id& aOwner)> mOnTakeover;
};

/** A request whose admission isn't decided yet. */
struct quota_ticket
{
  team_id mTeam;
  quota_terms mTerms;
  /** 0 before the owner is asked. */
  std::uint64_t mAsk = 0;
  /** Number of hosts that were asked, and the last of them. */
  std::size_t mTries = 0;
  quota_target mTarget;
  /** Version of what the host that was asked is told. */
  std::uint64_t mVersion = 0;
};

enum class quota_verdict
{
  Admitted,
  Refused,
  /** A message must be sent first. */
  Ask,
};

template<>
inline constexpr name_table<quota_verdict, 3> kNames<quota_verdict>{ {
  { quota_verdict::Admitted, "admitted" },
  { quota_verdict::Refused, "refused" },
  { quota_verdict::Ask, "ask" },
} };

/** What decided on a request. */
enum class quota_basis
{
  /** The team is far below its limit. */
  Open,
  /** The owner was asked, or has said of late that there is no room. */
  Owner,
  /** The deputy or a provisional owner was asked. */
  Deputy,
  /** Nobody answered: this host's own part of the quota. */
  Local,
};

template<>
inline constexpr name_table<quota_basis, 4> kNames<quota_basis>{ {
  { quota_basis::Open, "open" },
  { quota_basis::Owner, "owner" },
  { quota_basis::Deputy, "deputy" },
  { quota_basis::Local, "local" },
} };

struct quota_step
{
  quota_verdict mVerdict = quota_verdict::Ask;
  quota_basis mBasis = quota_basis::Open;
  milliseconds mRetryAfter{ 0 };
  /** Set if the verdict is `Ask`. */
  quota_message mMessage;
};

struct quota_counts
{
  /** By basis. */
  std::array<std::uint64_t, kNames<quota_basis>.size()> mAdmitted{};
  std::array<std::uint64_t, kNames<quota_basis>.size()> mRefused{};
  std::uint64_t mReturned = 0;
  std::uint64_t mAsks = 0;
  std::uint64_t mReports = 0;
  std::uint64_t mNotices = 0;
  std::uint64_t mFailedMessages = 0;
  /** Times that this host took the place of an owner that did not answer. */
  std::uint64_t mTakeovers = 0;
};

/**
 * Keeps the quotas of caller teams over all entry hosts. As a host it keeps the
 * gates of the teams whose requests it gets, and as an owner or deputy the
 * accounts of the teams that fall to it. Both are sharded by team.
 */
class quota_controller
{
  /** The serving hosts, sorted by id, from a point in time on. */
  struct view
  {
    steady_time mSince;
    std::vector<host_id> mHosts;
    std::vector<quota_target> mTargets;
    /** All known hosts, including silent ones, sorted. */
    std::vector<host_id> mKnown;
  };
  /** The owner first, then the deputy. */
  using owner_list = std::vector<quota_target>;

  quota_config mConfig;
  quota_hooks mHooks;
  sharded_map<team_id, quota_gate> mGates;
  sharded_map<team_id, quota_account> mAccounts;
  /** What this host as a deputy knows of an owner. */
  struct claim
  {
    bool mIsProbing = false;
    steady_time mNextProbeAt;
  };
  sharded_map<team_id, claim> mClaims;
  /** Hosts that did not answer, until they are tried again. */
  sharded_map<host_id, steady_time> mSuspects;
  mutable std::mutex mViewLock;
  /** The latest views, as far as they were in force in the handover time. */
  std::vector<std::shared_ptr<const view>> mViews;
  /** When this host's state was confirmed again after the handover time had
   * passed without; in ticks of the steady clock. */
  std::atomic<steady_time::rep> mRegainedAt{ 0 };
  std::atomic<std::uint64_t> mSequence{ 0 };
  mutable std::mutex mCountsLock;
  quota_counts mCounts;

  [[nodiscard]] std::shared_ptr<const view> View() const;
  [[nodiscard]] static owner_list OwnersOf(const team_id& aTeam,
                                           const view& aView);
  /** The hosts to ask: the owner and the deputy, or the deputy alone while it
   * takes the owner's place. */
  [[nodiscard]] owner_list CandidatesOf(const team_id& aTeam, steady_time aNow);
  /** Asks the owner whether it serves, if this host is asked in its place. */
  void ProbeOwner(const team_id& aTeam, steady_time aNow);
  [[nodiscard]] quota_standing StandingOf(const team_id& aTeam,
                                          steady_time aNow) const;
  [[nodiscard]] bool IsSuspect(const host_id& aHost, steady_time aNow) const;
  void MarkSuspect(const host_id& aHost, steady_time aNow);
  quota_request NewRequest();
  /** Answers an item and tells other hosts if the team became metered. */
  quota_answer ServeItem(const quota_request& aRequest,
                         const quota_item& aItem,
                         steady_time aNow);
  /** Sends a notice to some hosts, most of them through others. */
  void SpreadNotice(const quota_notice& aNotice,
                    const std::vector<host_id>& aHosts);
  void SendNotice(quota_notice_message aMessage, const view& aView);
  void Count(const std::function<void(quota_counts&)>& aBody);
  quota_step Admitted(quota_basis aBasis);
  quota_step Refused(quota_basis aBasis, milliseconds aRetryAfter);
  /** The hosts to tell of a team's requests, without those that did not answer
   * of late. */
  [[nodiscard]] owner_list ListenersOf(const team_id& aTeam, steady_time aNow);
  /** The item of a team for this listener, if it has news for it. */
  std::optional<quota_item> TakeItem(const team_id& aTeam,
                                     const quota_target& aTarget,
                                     steady_time aNow,
                                     std::uint64_t& aVersion);
  [[nodiscard]] std::vector<team_id> ActiveTeams(steady_time aNow);
  /** Asks the next host, or decides by this host's own part. */
  quota_step AskNext(quota_ticket& aTicket, steady_time aNow);
  quota_step DecideLocally(const quota_ticket& aTicket, steady_time aNow);
  quota_step ApplyAnswer(const quota_ticket& aTicket,
                         const quota_answer& aAnswer,
                         steady_time aNow);

public:
  quota_controller(quota_config aConfig, quota_hooks aHooks)
    : mConfig(std::move(aConfig))
    , mHooks(std::move(aHooks))
  {
  }

  /** Sets the known entry hosts. */
  void SetHosts(const std::vector<entry_host_record>& aHosts, steady_time aNow);

  /** This host's state is about to be confirmed. If that took longer than the
   * handover, others may have replaced this host meanwhile. */
  void OnConfirmed(steady_time aNow);

  /** Decides on a request, or says which host to ask. */
  quota_step Begin(quota_ticket& aTicket, steady_time aNow);
  /** Continues with the answer of the host that was asked, if it came. */
  quota_step Continue(quota_ticket& aTicket,
                      const std::optional<quota_reply>& aReply,
                      steady_time aNow);
  /** A request that was admitted did not run. */
  void Return(const team_id& aTeam, steady_time aAdmittedAt, steady_time aNow);

  /** What owners don't know yet, one message for each of them. */
  std::vector<quota_message> TakeReports(steady_time aNow);
  /** True if the reports must be continued, since a host did not answer. */
  [[nodiscard]] bool HasNews(steady_time aNow);
  void OnReported(const quota_message& aMessage,
                  const std::optional<quota_reply>& aReply,
                  steady_time aNow);

  /** Answers another host. */
  quota_reply Serve(const quota_request& aRequest, steady_time aNow);
  /** The owner's reply to a message of `mProbe`, if it came. Without one, this
   * host takes its place. */
  void OnProbed(const quota_message& aMessage,
                const std::optional<quota_reply>& aReply,
                steady_time aNow);
  /** Takes a notice from another host, and passes it on. */
  void OnNotice(const quota_notice& aNotice, steady_time aNow);
  /** The receiver of a notice did not take it; the next one passes it on. */
  void OnNoticeFailed(const quota_notice_message& aMessage);

  [[nodiscard]] quota_counts Counts() const;
};

}
