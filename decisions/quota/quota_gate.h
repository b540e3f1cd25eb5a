#pragma once

#include "decisions/quota/quota_exchange.h"
#include "decisions/servers/rate_limit.h"

#include <set>
#include <vector>

namespace hibiscusspool {

/** Identifies the process that was told of a team's requests. */
struct quota_listener
{
  host_id mHost;
  incarnation_number mIncarnation = 0;

  bool operator==(const quota_listener&) const = default;
};

/**
 * The requests of one team at one entry host: what it admitted in the last
 * window, whether it must ask first, and what the owner knows of it.
 */
class quota_gate
{
  struct spending
  {
    steady_time mFrom;
    /** The time of the latest request. */
    steady_time mAt;
    std::uint32_t mCount = 0;
  };

  milliseconds mWindow{ 5000 };
  quota_terms mTerms;
  std::vector<spending> mSpendings;
  std::uint64_t mLastAsk = 0;
  /** Requests for which no answer has come. */
  std::set<std::uint64_t> mOpenAsks;
  steady_time mMeteredUntil;
  steady_time mNoRoomUntil;
  /** When the owner expects room. */
  steady_time mRoomAt;
  return_schedule mReturns;
  /** The deputy that takes the owner's place, and until when. */
  host_id mFollowed;
  steady_time mFollowUntil;
  /** Rises when the owner should be told. */
  std::uint64_t mVersion = 0;
  std::uint64_t mToldVersion = 0;
  quota_listener mTold;

  [[nodiscard]] std::uint64_t Settled() const;

public:
  void SetTerms(milliseconds aWindow, const quota_terms& aTerms);
  [[nodiscard]] const quota_terms& Terms() const { return mTerms; }
  [[nodiscard]] bool IsMetered(steady_time aNow) const
  {
    return aNow < mMeteredUntil;
  }
  /** Until when the owner has no room; in the past if it may have. */
  [[nodiscard]] steady_time NoRoomUntil() const { return mNoRoomUntil; }
  /** When a request that is refused without asking may return. */
  steady_time NextReturn(steady_time aNow);
  /** Counts a request that is admitted without asking. */
  void Admit(steady_time aNow);
  /** Starts to ask for a request. */
  std::uint64_t BeginAsk();
  /** The request was granted by a listener, and is admitted. */
  void AdmitGranted(std::uint64_t aAsk,
                    const quota_listener& aListener,
                    steady_time aNow);
  /** The request isn't admitted, or is admitted without a grant. */
  void EndAsk(std::uint64_t aAsk);
  /** Stops counting a request that was admitted and then did not run. */
  void Return(steady_time aAdmittedAt, steady_time aNow);
  /** All that the owner needs to know; `aAsk` is 0 for a report. */
  quota_item MakeItem(const team_id& aTeam,
                      std::uint64_t aAsk,
                      steady_time aNow);
  void Apply(const quota_answer& aAnswer, steady_time aNow);
  /** The team is metered on all hosts. */
  void OnNotice(milliseconds aMeteredFor, steady_time aNow);
  /** The deputy takes the owner's place on all hosts. */
  void Follow(const host_id& aDeputy, milliseconds aTime, steady_time aNow);
  /** The deputy that takes the owner's place; empty if none does. */
  [[nodiscard]] host_id Followed(steady_time aNow) const
  {
    return aNow < mFollowUntil ? mFollowed : host_id{};
  }
  [[nodiscard]] std::uint64_t Version() const { return mVersion; }
  /** A listener knows all up to a version. */
  void OnTold(const quota_listener& aListener, std::uint64_t aVersion);
  /** True if this listener should be told. */
  [[nodiscard]] bool HasNewsFor(const quota_listener& aListener) const;
  /** Removes what is older than a window. */
  void Expire(steady_time aNow);
  /** True if nothing is left that matters. */
  [[nodiscard]] bool IsIdle(steady_time aNow) const;
  /** Requests that were admitted here in the last window. */
  [[nodiscard]] std::size_t Spent() const;
};

}
