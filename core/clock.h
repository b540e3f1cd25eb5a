#pragma once

#include <chrono>
#include <cstdint>

namespace hibiscusspool {

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/** The process's own steady time, which decisions take as an argument. */
using steady_time = std::chrono::steady_clock::time_point;

/** Wall-clock time in milliseconds since 1970, for records and reports. */
using wall_ms = std::int64_t;

/** Wall-clock time of a time point. */
inline wall_ms
ToWallMs(std::chrono::system_clock::time_point aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch())
    .count();
}

}
