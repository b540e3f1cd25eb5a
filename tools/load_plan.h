#pragma once

#include "core/clock.h"
#include "core/failure.h"
#include "tools/operators_client.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusspool {

/** One kind of request in the mix, with its relative weight. */
struct load_mix_entry
{
  std::string mTeam;
  /** True for runs, each with a new idempotency key; false for queries. */
  bool mIsRun = false;
  double mWeight = 1;
};

/** Request rate from a point in time until the next step. */
struct rate_step
{
  double mStartSeconds = 0;
  double mRate = 0;
};

struct load_plan
{
  /** Addresses that the list of entry hosts is fetched from. */
  std::vector<std::string> mDiscoveryAddresses;
  std::string mFailureDomain;
  double mSeconds = 10;
  /** Requests due in this initial period are left out of the statistics. */
  double mWarmupSeconds = 0;
  std::vector<rate_step> mRateSteps;
  std::vector<load_mix_entry> mMix;
  std::size_t mBodyBytes = 100;
  /** Number of distinct request bodies; 0 gives each request its own. */
  std::uint64_t mDistinctBodies = 0;
  milliseconds mTimeout{ 5000 };
  /** Maximum number of times a request is resent after lost responses. */
  std::uint32_t mMaxResends = 3;
  std::uint64_t mSeed = 1;
  std::string mHistoryPath;
  std::string mSummaryPath;

  /** Requests per second at this time since the start. */
  [[nodiscard]] double RateAt(double aSeconds) const;
};

/** Reads a plan from the section `[load]` of an INI file. */
result<load_plan, tool_error>
ReadLoadPlan(const std::string& aPath);

}
