#pragma once

#include "controllers/team_stats_controller.h"
#include "tools/load_plan.h"

#include <boost/json.hpp>

#include <map>
#include <memory>
#include <string>

namespace hibiscusspool {

/** What became of one kind of request. */
struct load_count
{
  latency_histogram mLatency = MakeLatencyHistogram();
  double mLongestMs = 0;
  std::uint64_t mSent = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mPartial = 0;
  double mCoverageSum = 0;
  std::uint64_t mLost = 0;
  std::uint64_t mResent = 0;
  /** By `reason/ran`. */
  std::map<std::string, std::uint64_t> mRefused;
};

using load_counts = std::map<std::string, load_count>;

/**
 * Sends an open load as callers do: each asks for entry hosts, keeps the list
 * as long as it may, spreads over it, and sends again with the same key after
 * a lost answer. Latency counts from the time at which a request was due.
 */
result<load_counts, tool_error>
RunLoadPlan(const load_plan& aPlan);

boost::json::object
EncodeCounts(const load_counts& aCounts);

}
