#pragma once

#include "controllers/team_stats_controller.h"
#include "tools/load_plan.h"

#include <boost/json.hpp>

#include <map>
#include <memory>
#include <string>

namespace hibiscusspool {

/** Outcomes and latencies of one kind of request. */
struct load_stats
{
  latency_histogram mLatency = MakeLatencyHistogram();
  double mMaxLatencyMs = 0;
  std::uint64_t mSent = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mPartial = 0;
  double mCoverageSum = 0;
  std::uint64_t mLost = 0;
  std::uint64_t mResent = 0;
  /** Number of refusals by `reason/ran`. */
  std::map<std::string, std::uint64_t> mRefused;
};

using load_stats_by_kind = std::map<std::string, load_stats>;

/**
 * Generates open-loop load the way callers do: fetches the list of entry
 * hosts, caches it for as long as allowed, spreads requests over the hosts and
 * resends with the same key after a lost response. Latency is measured from
 * the time a request was due, so that delays in sending are included.
 */
result<load_stats_by_kind, tool_error>
RunLoadPlan(const load_plan& aPlan);

boost::json::object
EncodeStats(const load_stats_by_kind& aStats);

}
