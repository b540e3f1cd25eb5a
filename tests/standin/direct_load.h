#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace standin {

struct direct_options
{
  /** Admin addresses of the stand-ins whose servers get the load. */
  std::vector<std::string> mAdminAddresses;
  /** Only services whose name has this prefix are queried. */
  std::string mServicePrefix;
  double mRate = 100;
  double mSeconds = 10;
  std::uint64_t mSeed = 1;
};

/**
 * Generates open-loop queries, each sent directly to one random server of
 * every service at once, and prints quantiles of the time until the slowest
 * response: the baseline without the tier in between.
 */
int
RunDirectLoad(const direct_options& aOptions);

}
