#include "decisions/group/stall_detector.h"

namespace hibiscusspool {

void
stall_detector::Observe(steady_time aNow)
{
  if (aNow - mTickAt > mLimits.mMaxGap) {
    mTickAt = aNow;
    mSettledAt = aNow + mLimits.mSettleTime;
  }
}

void
stall_detector::OnTick(steady_time aNow)
{
  Observe(aNow);
  mTickAt = aNow;
}

std::optional<steady_time>
stall_detector::EarliestArrival(steady_time aNow)
{
  Observe(aNow);
  if (aNow < mSettledAt) {
    return std::nullopt;
  }
  return mTickAt;
}

}
