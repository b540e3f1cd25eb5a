#pragma once

#include "core/clock.h"
#include "decisions/routing/configuration.h"

#include <cstddef>

namespace hibiscusspool {

/**
 * How far the requests of a team may exceed its quota. In no span of `mWindow`
 * may more run than quota * (1 + `mOvershoot`) + `mSlack`, on all hosts.
 */
struct quota_bounds
{
  milliseconds mWindow{ 5000 };
  double mOvershoot = 0.1;
  /** In requests. */
  double mSlack = 20;
};

/** The limit that a configuration sets for a team. */
struct quota_terms
{
  configuration_number mConfiguration = 0;
  /** Requests per second on all hosts together; 0 without a limit. */
  double mRatePerSecond = 0;
  /** Requests beyond the rate that may come at once. */
  double mBurst = 0;

  bool operator==(const quota_terms&) const = default;
};

/**
 * The limits of a team in requests per window. The margin is what the bounds
 * allow beyond the quota; each way in which a request can be admitted without
 * the account at the owner has its own part of it.
 */
struct quota_limits
{
  double mQuota = 0;
  /** Requests that the owner counts before it refuses: the quota and 0.3 of the
   * margin, so that the delays of reports and grants refuse none below the
   * quota. */
  double mGrant = 0;
  /** Requests that the deputy grants while the owner may be granting too: 0.35
   * of the margin. Another 0.3 covers those that hosts admit before they learn
   * that the team is metered. */
  double mDeputy = 0;
  /** Requests that hosts without contact to owner and deputy may admit beyond
   * their parts of the quota, all hosts together: 0.05 of the margin. */
  double mLocal = 0;
};

quota_limits
LimitsOf(const quota_terms& aTerms, const quota_bounds& aBounds);

/**
 * The part of a number of requests that falls to one of `aHosts` hosts. Whole
 * requests are dealt in an order of the hosts that differs by team, so that the
 * parts of all hosts add up to no more than the number.
 */
std::size_t
DealtShare(double aRequests,
           const team_id& aTeam,
           const host_id& aHost,
           const std::vector<host_id>& aHosts);

/**
 * The hosts in the order in which they are responsible for a team, the first
 * two only: its owner and the deputy. Every host with the same list finds the
 * same ones, and the loss of the owner makes the deputy the owner. Positions in
 * `aHosts`.
 */
std::vector<std::size_t>
RankOwners(const team_id& aTeam, const std::vector<host_id>& aHosts);

}
