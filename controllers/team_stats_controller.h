#pragma once

#include "core/sharded_map.h"
#include "decisions/admission/burn.h"
#include "decisions/admission/refusal.h"
#include "decisions/routing/team_policy.h"

#include <boost/histogram.hpp>

#include <array>
#include <memory>
#include <mutex>
#include <string>

namespace hibiscusspool {

/** Latencies in milliseconds, on a logarithmic axis from 0.1 ms to 20 s. */
using latency_histogram = boost::histogram::histogram<std::tuple<
  boost::histogram::axis::regular<double,
                                  boost::histogram::axis::transform::log>>>;

latency_histogram
MakeLatencyHistogram();

/** The upper bound of the bin that holds this quantile, in milliseconds. */
double
QuantileOf(const latency_histogram& aHistogram, double aQuantile);

/** The result of one request, as counted in the team's statistics. */
struct request_result
{
  team_id mTeam;
  bool mIsRefused = false;
  refusal_reason mReason = refusal_reason::BadRequest;
  microseconds mDuration{ 0 };
  double mCoverage = 1;
  std::size_t mAttempts = 0;
  std::size_t mHedges = 0;
  std::size_t mRetries = 0;
};

/** Counters of one team since the process started. */
struct team_stats
{
  latency_histogram mLatency = MakeLatencyHistogram();
  std::uint64_t mAnswered = 0;
  std::uint64_t mPartial = 0;
  double mCoverageSum = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mRetries = 0;
  std::array<std::uint64_t, kNames<refusal_reason>.size()> mRefused{};
  burn_history mBurn;
};

/** Counts each request once; sharded by team. */
class team_stats_controller
{
  sharded_map<team_id, team_stats> mTeams;

public:
  void Count(const request_result& aResult,
             const team_policy& aPolicy,
             wall_ms aNow);

  /** Calls `aBody(const team_id&, const team_stats&)` for each team. */
  template<typename body>
  void ForEach(body&& aBody) const
  {
    mTeams.ForEach(std::forward<body>(aBody));
  }
};

}
