#pragma once

#include "core/clock.h"
#include "core/failure.h"
#include "tools/operators_client.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusspool {

/** One kind of request in the mix of a load. */
struct load_share
{
  std::string mTeam;
  /** A run with a key of its own, or a query. */
  bool mIsRun = false;
  double mWeight = 1;
};

/** A rate that holds from a time on. */
struct load_step
{
  double mFromSeconds = 0;
  double mRate = 0;
};

/** What a load does. */
struct load_plan
{
  /** Addresses at which callers first ask for entry hosts. */
  std::vector<std::string> mAsk;
  std::string mFailureDomain;
  double mSeconds = 10;
  /** Seconds at the start that count in no figure. */
  double mWarmSeconds = 0;
  std::vector<load_step> mSteps;
  std::vector<load_share> mMix;
  std::size_t mBodyBytes = 100;
  /** Different bodies; 0 for a body of its own for each request. */
  std::uint64_t mBodies = 0;
  milliseconds mTimeout{ 5000 };
  /** How often a caller sends a request again after a lost answer. */
  std::uint32_t mResends = 3;
  std::uint64_t mSeed = 1;
  std::string mHistory;
  std::string mSummary;

  /** Requests a second at a time from the start. */
  [[nodiscard]] double RateAt(double aSeconds) const;
};

/** Reads a plan from an INI file with one section, `[load]`. */
result<load_plan, tool_error>
ReadLoadPlan(const std::string& aPath);

}
