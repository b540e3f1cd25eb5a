#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace standin {

struct direct_options
{
  /** Admin addresses of the stand-ins whose servers are asked. */
  std::vector<std::string> mAdmins;
  /** Only services whose name starts so. */
  std::string mPrefix;
  double mRate = 100;
  double mSeconds = 10;
  std::uint64_t mSeed = 1;
};

/**
 * Asks one random server of each service directly, all at once, at an open
 * rate, and prints how long the slowest took: what a query costs without a
 * tier between.
 */
int
RunDirectLoad(const direct_options& aOptions);

}
