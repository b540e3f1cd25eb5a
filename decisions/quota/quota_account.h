#pragma once

#include "decisions/quota/quota_exchange.h"
#include "decisions/servers/rate_limit.h"

#include <map>
#include <optional>
#include <utility>

namespace hibiscusspool {

/** The place of an account's host in the system when it answers. */
struct quota_standing
{
  quota_role mRole = quota_role::None;
  /** Fraction of the known hosts that serve. The others may be out of contact,
   * and admit their parts of the quota by themselves. */
  double mServingFraction = 1;
  std::size_t mKnownHosts = 1;
};

/** Changes that make a line in the log. */
struct quota_change
{
  bool mBecameMetered = false;
  bool mBecameOpen = false;
};

/**
 * The requests of one team in a sliding window, as its owner or the deputy
 * knows them: what hosts say that they admitted, and what was granted to them
 * and isn't part of that yet.
 *
 * The team is metered as soon as the requests that are expected by the time
 * that all hosts know of it reach the limit.
 */
class quota_account
{
  struct spending
  {
    steady_time mAt;
    std::uint32_t mCount = 0;
  };
  struct grant
  {
    std::uint64_t mAsk = 0;
    steady_time mAt;
  };
  /** What one incarnation of a host admitted. */
  struct source
  {
    std::uint64_t mSequence = 0;
    std::vector<spending> mSpendings;
    std::vector<grant> mGrants;
  };

  quota_bounds mBounds;
  quota_terms mTerms;
  std::map<std::pair<host_id, incarnation_number>, source> mSources;
  /** When each host was heard the last time. */
  std::map<host_id, steady_time> mHeard;
  /** Since when this host is asked as the deputy. */
  steady_time mDeputySince;
  quota_role mRole = quota_role::None;
  /** Grants of this host while it wasn't the owner. */
  std::vector<steady_time> mDeputyGrants;
  return_schedule mReturns;
  steady_time mMeteredUntil;
  steady_time mNotifiedUntil;

  /** Requests before this time don't count any more. */
  [[nodiscard]] steady_time WindowStart(steady_time aNow) const;
  /** Requests since a time; as a deputy those of hosts that were heard of late,
   * since the others tell the owner. */
  [[nodiscard]] double CountSince(steady_time aFrom, quota_role aRole) const;
  /** Requests that may be counted in a window. */
  [[nodiscard]] double Limit(const quota_limits& aLimits,
                             const quota_standing& aStanding) const;
  /** When a request fits below a limit. */
  [[nodiscard]] steady_time RoomAt(double aLimit, steady_time aNow) const;
  bool TryGrant(const quota_limits& aLimits,
                const quota_standing& aStanding,
                double aUsed,
                steady_time aNow);
  quota_change UpdateState(double aLimit, double aUsed, steady_time aNow);

public:
  void SetBounds(const quota_bounds& aBounds) { mBounds = aBounds; }
  /** Sets what a host says that it admitted. */
  void Record(const quota_request& aRequest,
              const quota_item& aItem,
              steady_time aNow);
  /** Decides on a recorded item. */
  quota_answer Answer(const quota_request& aRequest,
                      const quota_item& aItem,
                      const quota_standing& aStanding,
                      steady_time aNow,
                      quota_change& aChange);
  /** The time for which all hosts are to be told that the team is metered, if
   * they haven't been told yet. */
  std::optional<milliseconds> TakeNotice(steady_time aNow);
  /** Removes what is older than a window. */
  void Expire(steady_time aNow);
  /** True if nothing is left that matters. */
  [[nodiscard]] bool IsIdle(steady_time aNow) const;
  /** Requests in the current window. */
  [[nodiscard]] double Used(steady_time aNow) const;
  [[nodiscard]] bool IsMetered(steady_time aNow) const
  {
    return aNow < mMeteredUntil;
  }
};

}
