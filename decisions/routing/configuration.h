#pragma once

#include "core/clock.h"
#include "core/failure.h"
#include "core/ids.h"
#include "core/name_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusspool {

/** The operator's number of a configuration; the highest one is in force. */
using configuration_number = std::uint64_t;

/** Whether a request of a route may run more than once. */
enum class route_kind
{
  Idempotent,
  NonIdempotent,
};

template<>
inline constexpr name_table<route_kind, 2> kNames<route_kind>{ {
  { route_kind::Idempotent, "idempotent" },
  { route_kind::NonIdempotent, "non_idempotent" },
} };

/** A service and its weight among the backends of a route. */
struct weighted_service
{
  service_id mService;
  /** Relative to the other services of the route; no unit. */
  double mWeight = 1;

  bool operator==(const weighted_service&) const = default;
};

/** Where matching requests are sent, and with which limits and objectives. */
struct route_record
{
  std::string mName;
  /** The virtual host of the request, without a port. */
  std::string mAuthority;
  /** Starts and ends with "/". */
  std::string mPathPrefix;
  route_kind mKind = route_kind::Idempotent;
  /** Upper bound on the latency of a request. */
  milliseconds mTimeout{ 0 };
  milliseconds mLatencyObjective{ 0 };
  /** Lower values are more urgent. */
  std::uint32_t mPriority = 0;
  /** Maximum number of servers to send a request to, for each shard. */
  std::uint32_t mMaxAttempts = 1;
  /** Each request goes to one of these. */
  std::vector<weighted_service> mBackends;
  /** Each request goes to all of these, as the operator named them; empty if
   * the route has backends. */
  std::vector<service_id> mShards;
  /** Maximum number of records in a merged response. */
  std::uint32_t mTopRecords = 0;
  /** Fraction of the shards that a response must cover, 0 to 1. */
  double mMinimumCoverage = 1;
  /** Requests need no key, even where the configuration lists caller teams. */
  bool mIsPublic = false;

  bool operator==(const route_record&) const = default;
};

/** Properties that all servers of a service share. */
struct service_profile
{
  service_id mService;
  static constexpr std::uint32_t kDefaultConnections = 8;

  /** Connections that one server accepts from all hosts together. */
  std::uint32_t mConnections = kDefaultConnections;
  /** Time for which a server counts as cold after its start. */
  milliseconds mWarmup{ 0 };
  /** Requests per second that a cold server can handle; 0 if not configured. */
  double mColdRate = 0;

  bool operator==(const service_profile&) const = default;
};

/** A team of callers, which is recognized by its API keys. */
struct caller_team_record
{
  team_id mTeam;
  std::vector<std::string> mKeys;
  /** Replaces the priority of the route, if set. */
  std::optional<std::uint32_t> mPriority;
  /** Requests per second on all hosts together; 0 without a limit. */
  double mRatePerSecond = 0;
  /** Requests beyond the rate that may come at once. */
  double mBurst = 0;

  bool operator==(const caller_team_record&) const = default;
};

/** Limits on callers' requests and connections. */
struct caller_limits
{
  std::uint64_t mMaxHeaderBytes = 0;
  std::uint64_t mMaxBodyBytes = 0;
  milliseconds mHeaderTimeout{ 0 };
  milliseconds mIdleTimeout{ 0 };

  bool operator==(const caller_limits&) const = default;
};

/** A numbered configuration that is only ever replaced as a whole. */
struct configuration_record
{
  configuration_number mNumber = 0;
  log_index mVersion = 0;
  std::vector<route_record> mRoutes;
  std::vector<service_profile> mServices;
  caller_limits mLimits;
  /** Requests need a key of one of these; no key is good if the list is empty.
   * Without a list, requests need no key. */
  std::optional<std::vector<caller_team_record>> mCallerTeams;
  /** The text that the operator sent; empty on daemons. */
  std::string mDocument;

  bool operator==(const configuration_record&) const = default;
};

enum class configuration_error
{
  UnknownService,
  DuplicateRoute,
  NoWeight,
  NoTimeout,
  BadPrefix,
  NoTarget,
  BadPolicy,
  SharedKey,
  BadTeamName,
};

template<>
inline constexpr name_table<configuration_error, 9> kNames<configuration_error>{
  {
    { configuration_error::UnknownService, "unknown_service" },
    { configuration_error::DuplicateRoute, "duplicate_route" },
    { configuration_error::NoWeight, "no_weight" },
    { configuration_error::NoTimeout, "no_timeout" },
    { configuration_error::BadPrefix, "bad_prefix" },
    { configuration_error::NoTarget, "no_target" },
    { configuration_error::BadPolicy, "bad_policy" },
    { configuration_error::SharedKey, "shared_key" },
    { configuration_error::BadTeamName, "bad_team_name" },
  }
};

/** Validates a configuration; the detail names the invalid route or team, and
 * never a key. */
result<void, configuration_error>
CheckConfiguration(const configuration_record& aConfiguration);

}
