#include "decisions/admission/window_budget.h"

namespace hibiscusspool {

namespace {

std::int64_t
IntervalNumber(const budget_limits& aLimits,
               std::size_t aIntervals,
               steady_time aNow)
{
  auto length = std::chrono::duration_cast<microseconds>(aLimits.mWindow) /
                static_cast<std::int64_t>(aIntervals);
  return std::chrono::duration_cast<microseconds>(aNow.time_since_epoch()) /
         length;
}

}

window_budget::interval&
window_budget::IntervalAt(const budget_limits& aLimits, steady_time aNow)
{
  std::int64_t number = IntervalNumber(aLimits, kIntervals, aNow);
  interval& entry = mIntervals[static_cast<std::size_t>(number) % kIntervals];
  if (entry.mNumber != number) {
    entry = { number, 0, 0 };
  }
  return entry;
}

void
window_budget::OnRegularAttempt(const budget_limits& aLimits, steady_time aNow)
{
  ++IntervalAt(aLimits, aNow).mRegular;
}

bool
window_budget::TrySpend(const budget_limits& aLimits, steady_time aNow)
{
  interval& current = IntervalAt(aLimits, aNow);
  std::int64_t oldest = current.mNumber - static_cast<std::int64_t>(kIntervals);
  double regular = 0;
  double extra = 0;
  for (const interval& entry : mIntervals) {
    if (entry.mNumber > oldest) {
      regular += entry.mRegular;
      extra += entry.mExtra;
    }
  }
  if (extra + 1 > aLimits.mRatio * regular + aLimits.mSlack) {
    return false;
  }
  ++current.mExtra;
  return true;
}

}
