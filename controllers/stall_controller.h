#pragma once

#include "decisions/group/stall_detector.h"

#include <mutex>

namespace hibiscusspool {

/** The stall detector of a process, shared by its threads. */
class stall_controller
{
  std::mutex mLock;
  stall_detector mDetector;

public:
  stall_controller(stall_limits aLimits, steady_time aNow)
    : mDetector(aLimits, aNow)
  {
  }

  void OnTick(steady_time aNow)
  {
    std::lock_guard guard(mLock);
    mDetector.OnTick(aNow);
  }

  std::optional<steady_time> EarliestArrival(steady_time aNow)
  {
    std::lock_guard guard(mLock);
    return mDetector.EarliestArrival(aNow);
  }
};

}
