#pragma once

#include "controllers/quota_controller.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace test {

using namespace hibiscusspool;

/** The requests of one team. */
struct fleet_team
{
  team_id mTeam;
  quota_terms mTerms;
  /** Requests per second in all. */
  double mUsualRate = 0;
};

/** A request as the caller sees it. */
struct fleet_request
{
  steady_time mSentAt;
  /** When it was decided; `mSentAt` if it never was. */
  steady_time mDecidedAt;
  bool mIsAdmitted = false;
  bool mIsRefused = false;
  quota_basis mBasis = quota_basis::Open;
  milliseconds mRetryAfter{ 0 };
};

/**
 * Entry hosts that keep quotas, played without a network: controllers, messages
 * with delays, and hosts that are killed, frozen or cut off. A change of the
 * hosts is known to those in contact after `kSilence`, as with the control
 * group.
 */
class quota_fleet
{
  struct host
  {
    host_id mHost;
    incarnation_number mIncarnation = 1;
    std::unique_ptr<quota_controller> mController;
    bool mIsAlive = true;
    bool mIsCut = false;
    steady_time mFrozenUntil;
    /** When the state was confirmed the last time before contact was lost. */
    steady_time mLostContactAt;
    bool mIsInContact = true;
    bool mIsReporting = false;
  };
  struct event
  {
    steady_time mAt;
    std::uint64_t mNumber = 0;
    std::function<void()> mBody;

    bool operator>(const event& aOther) const
    {
      return std::tie(mAt, mNumber) > std::tie(aOther.mAt, aOther.mNumber);
    }
  };

  std::mt19937_64 mRandom;
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  std::uint64_t mNextEvent = 0;
  steady_time mNow{ std::chrono::hours(1) };
  std::vector<host> mHosts;
  std::map<team_id, std::vector<fleet_request>> mRequests;
  std::map<team_id, fleet_team> mTeams;
  std::map<team_id, double> mRateFactors;
  /** The highest number of messages that one host sent and received. */
  std::vector<std::uint64_t> mMessages;

  void MakeController(std::size_t aHost, steady_time aStartedAt);
  void At(steady_time aTime, std::function<void()> aBody);
  /** Runs on a host, when it isn't frozen; never if its process ended. */
  void On(std::size_t aHost, steady_time aTime, std::function<void()> aBody);
  milliseconds Delay();
  std::size_t IndexOf(const host_id& aHost) const;
  bool IsFrozen(std::size_t aHost) const
  {
    return mNow < mHosts[aHost].mFrozenUntil;
  }
  void Exchange(std::size_t aFrom,
                const quota_message& aMessage,
                std::function<void(std::optional<quota_reply>)> aThen);
  void SendNotice(std::size_t aFrom, const quota_notice_message& aMessage);
  void ReportSoon(std::size_t aHost);
  void Report(std::size_t aHost);
  void Decide(std::size_t aHost,
              const std::shared_ptr<quota_ticket>& aTicket,
              const quota_step& aStep,
              const team_id& aTeam,
              std::size_t aRequest);
  /** The next request of a team's callers. */
  void ScheduleArrival(const team_id& aTeam);
  void Arrive(const team_id& aTeam, std::size_t aHost);
  /** Tells the hosts in contact which hosts serve, after a delay. */
  void SpreadView(milliseconds aDelay);
  void LoseContact(std::size_t aHost);
  void RegainContact(std::size_t aHost);

public:
  static constexpr milliseconds kSilence{ 3000 };
  static constexpr milliseconds kConfirmedAge{ 150 };

  /** All hosts have run for a while. */
  quota_fleet(std::size_t aHosts, std::uint64_t aSeed);
  quota_fleet(const quota_fleet&) = delete;
  quota_fleet& operator=(const quota_fleet&) = delete;

  void AddTeam(const fleet_team& aTeam);
  void SetTerms(const team_id& aTeam, const quota_terms& aTerms)
  {
    mTeams[aTeam].mTerms = aTerms;
  }
  /** Multiplies the rate at which a team's callers send. */
  void SetRateFactor(const team_id& aTeam, double aFactor)
  {
    mRateFactors[aTeam] = aFactor;
  }
  void RunFor(milliseconds aTime);
  /** The owner of a team by the view of the first host in contact. */
  std::size_t OwnerOf(const team_id& aTeam) const;
  void Kill(std::size_t aHost);
  void Restart(std::size_t aHost);
  void Freeze(std::size_t aHost, milliseconds aTime);
  void CutOff(const std::vector<std::size_t>& aHosts);
  void Reconnect(const std::vector<std::size_t>& aHosts);

  [[nodiscard]] steady_time Now() const { return mNow; }
  [[nodiscard]] std::size_t HostCount() const { return mHosts.size(); }
  [[nodiscard]] const std::map<team_id, fleet_team>& Teams() const
  {
    return mTeams;
  }
  [[nodiscard]] const std::vector<fleet_request>& Requests(
    const team_id& aTeam) const
  {
    return mRequests.at(aTeam);
  }
  [[nodiscard]] std::uint64_t MessageCount(std::size_t aHost) const
  {
    return mMessages[aHost];
  }
  [[nodiscard]] quota_counts Counts(std::size_t aHost) const
  {
    return mHosts[aHost].mController->Counts();
  }
};

/** The highest number of requests that were sent in any window and admitted. */
std::size_t
MaxAdmitted(const std::vector<fleet_request>& aRequests, milliseconds aWindow);

/** Refused requests that would have been within the quota: with them, no more
 * than `aQuota` would have been admitted in the window before. */
std::size_t
RefusedBelow(const std::vector<fleet_request>& aRequests,
             milliseconds aWindow,
             double aQuota,
             steady_time aFrom = steady_time::min(),
             steady_time aTo = steady_time::max());

}
