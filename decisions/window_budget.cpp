#include "decisions/window_budget.h"

namespace hibiscusspool {

namespace {

std::int64_t
SlotNumber(const budget_limits& aTerms, std::size_t aSlots, steady_time aNow)
{
  auto length = std::chrono::duration_cast<microseconds>(aTerms.mWindow) /
                static_cast<std::int64_t>(aSlots);
  return std::chrono::duration_cast<microseconds>(aNow.time_since_epoch()) /
         length;
}

}

window_budget::slot&
window_budget::SlotAt(const budget_limits& aTerms, steady_time aNow)
{
  std::int64_t number = SlotNumber(aTerms, kSlots, aNow);
  slot& place = mSlots[static_cast<std::size_t>(number) % kSlots];
  if (place.mNumber != number) {
    place = { number, 0, 0 };
  }
  return place;
}

void
window_budget::OnRegular(const budget_limits& aTerms, steady_time aNow)
{
  ++SlotAt(aTerms, aNow).mRegular;
}

bool
window_budget::TrySpend(const budget_limits& aTerms, steady_time aNow)
{
  slot& current = SlotAt(aTerms, aNow);
  std::int64_t oldest = current.mNumber - static_cast<std::int64_t>(kSlots);
  double regular = 0;
  double extra = 0;
  for (const slot& place : mSlots) {
    if (place.mNumber > oldest) {
      regular += place.mRegular;
      extra += place.mExtra;
    }
  }
  if (extra + 1 > aTerms.mRatio * regular + aTerms.mSlack) {
    return false;
  }
  ++current.mExtra;
  return true;
}

}
