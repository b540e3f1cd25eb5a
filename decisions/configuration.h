#pragma once

#include "core/clock.h"
#include "core/failure.h"
#include "core/ids.h"
#include "core/name_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusspool {

/** The operator's own number of a configuration; a higher one wins. */
using configuration_number = std::uint64_t;

/** How often a request of a route may run. */
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

/** A service and its part of a route's requests. */
struct weighted_service
{
  service_id mService;
  /** Relative to the other services of the route; no unit. */
  double mWeight = 1;

  bool operator==(const weighted_service&) const = default;
};

/** Which requests go where, and what their callers are promised. */
struct route_record
{
  std::string mName;
  /** The virtual host that callers name, without a port. */
  std::string mAuthority;
  /** Starts and ends with "/". */
  std::string mPathPrefix;
  route_kind mKind = route_kind::Idempotent;
  /** Upper bound on the latency of a request. */
  milliseconds mTimeout{ 0 };
  /** Latency objective. */
  milliseconds mLatencyObjective{ 0 };
  /** Lower values are more urgent. */
  std::uint32_t mPriority = 0;
  /** Servers that one request may be sent to, for each shard. */
  std::uint32_t mMaxAttempts = 1;
  /** Alternatives, of which each request goes to one. */
  std::vector<weighted_service> mBackends;
  /** Services that each request asks all of; empty on other routes. */
  std::vector<service_id> mShards;
  /** Records that a merged answer holds. */
  std::uint32_t mTopRecords = 0;
  /** Share of the shards that an answer must cover, 0 to 1. */
  double mMinimumCoverage = 1;

  bool operator==(const route_record&) const = default;
};

/** What holds for all servers of a service. */
struct service_profile
{
  service_id mService;
  /** Connections to a server where none is configured. */
  static constexpr std::uint32_t kUnstatedConnections = 8;

  /** Connections that one server takes from all hosts together. */
  std::uint32_t mConnections = kUnstatedConnections;
  /** Time for which a server is cold after its start. */
  milliseconds mWarmup{ 0 };
  /** Requests a second that a cold server bears; 0 where none is stated. */
  double mColdRate = 0;

  bool operator==(const service_profile&) const = default;
};

/** What callers may send. */
struct caller_limits
{
  std::uint64_t mMaxHeaderBytes = 0;
  std::uint64_t mMaxBodyBytes = 0;
  milliseconds mHeaderTimeout{ 0 };
  milliseconds mIdleTimeout{ 0 };

  bool operator==(const caller_limits&) const = default;
};

/** One numbered document that is put whole and in force as a whole. */
struct configuration_record
{
  configuration_number mNumber = 0;
  log_index mVersion = 0;
  std::vector<route_record> mRoutes;
  std::vector<service_profile> mServices;
  caller_limits mLimits;
  /** The document as the operator sent it; empty on daemons. */
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
};

template<>
inline constexpr name_table<configuration_error, 7> kNames<configuration_error>{
  {
    { configuration_error::UnknownService, "unknown_service" },
    { configuration_error::DuplicateRoute, "duplicate_route" },
    { configuration_error::NoWeight, "no_weight" },
    { configuration_error::NoTimeout, "no_timeout" },
    { configuration_error::BadPrefix, "bad_prefix" },
    { configuration_error::NoTarget, "no_target" },
    { configuration_error::BadPolicy, "bad_policy" },
  }
};

/** Checks a document as a whole; the detail names the route at fault. */
result<void, configuration_error>
CheckConfiguration(const configuration_record& aConfiguration);

}
