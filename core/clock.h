#pragma once

#include <chrono>
#include <cstdint>

namespace hibiscusspool {

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/** Monotonic time of this process; decisions get it as an argument. */
using steady_time = std::chrono::steady_clock::time_point;

/** Wall-clock time in milliseconds since 1970, for records and reports. */
using wall_ms = std::int64_t;

inline wall_ms
ToWallMs(std::chrono::system_clock::time_point aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch())
    .count();
}

}
