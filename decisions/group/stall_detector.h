#pragma once

#include "core/clock.h"

#include <optional>

namespace hibiscusspool {

struct stall_limits
{
  /** Time without a tick after which the process counts as having stood still.
   */
  milliseconds mMaxGap{ 600 };
  /** Time after a stall in which requests may be read that had arrived before.
   */
  milliseconds mSettleTime{ 1000 };
};

/**
 * Tells from regular ticks how long a request that is read now may have waited
 * unread. A process that is frozen or paused doesn't notice: what it reads
 * afterwards looks new, but its callers may have given up and asked elsewhere.
 * All times must count the time for which the machine was suspended.
 */
class stall_detector
{
  stall_limits mLimits;
  steady_time mTickAt;
  steady_time mSettledAt;

  /** Notes a stall if the last tick is too long ago. */
  void Observe(steady_time aNow);

public:
  stall_detector(stall_limits aLimits, steady_time aNow)
    : mLimits(aLimits)
    , mTickAt(aNow)
    , mSettledAt(aNow)
  {
  }

  void OnTick(steady_time aNow);
  /** The earliest time at which a request may have arrived that is read now;
   * nothing if that may be before a stall. */
  std::optional<steady_time> EarliestArrival(steady_time aNow);
};

}
