#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace hibiscusspool {

/** A service of a fan-out and the failure domains whose servers can answer. */
struct fan_out_service
{
  service_id mService;
  /** Without duplicates; empty if no server can answer. */
  std::vector<failure_domain_id> mDomains;
};

/** Services that one entry host of a failure domain asks for another host. */
struct subquery_group
{
  failure_domain_id mFailureDomain;
  std::vector<service_id> mServices;
};

/** Costs that decide whether a fan-out is divided. */
struct subquery_costs
{
  /** Time for which an attempt occupies this host's processor share. */
  microseconds mAttempt{ 0 };
  /** Attempts that cost the host as much as one subquery that it sends. */
  double mAttemptsPerSubquery = 2;
  /** Added latency of the path over another host. */
  microseconds mHop{ 3000 };
};

/**
 * The number of groups that a fan-out to `aServices` services is divided into
 * to take the least time, or 0 if this host should ask the servers itself.
 */
std::size_t
SubqueryGroupCount(std::size_t aServices, const subquery_costs& aCosts);

/**
 * Divides a fan-out into about `aGroups` groups. A service is asked in
 * `aOwnDomain` if a server there can answer. The others go to as few domains
 * as possible; `aSeed` selects among equals, so that different failure domains
 * prefer different others. Services that no server can answer are in no group.
 */
std::vector<subquery_group>
PlanSubqueries(const std::vector<fan_out_service>& aServices,
               const failure_domain_id& aOwnDomain,
               std::size_t aGroups,
               std::uint64_t aSeed);

}
