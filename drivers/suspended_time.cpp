#include "drivers/suspended_time.h"

#include <ctime>

namespace hibiscusspool {

namespace {

std::chrono::nanoseconds
Read(clockid_t aClock)
{
  std::timespec time{};
  clock_gettime(aClock, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}

milliseconds
SuspendedTime()
{
  std::chrono::nanoseconds awake = Read(CLOCK_MONOTONIC);
  return std::chrono::duration_cast<milliseconds>(Read(CLOCK_BOOTTIME) - awake);
}

}
