#pragma once

#include "core/clock.h"

#include <array>
#include <cstdint>

namespace hibiscusspool {

/** How many extra attempts a service may get in any window of time. */
struct budget_limits
{
  /** Extra attempts for each regular one. */
  double mRatio = 0;
  /** Extra attempts allowed besides, in each window. */
  double mSlack = 0;
  milliseconds mWindow{ 10'000 };
};

/**
 * Counts regular and extra attempts over a sliding window. An extra attempt
 * is allowed while the extras of the window stay within the terms.
 */
class window_budget
{
  static constexpr std::size_t kSlots = 20;

  struct slot
  {
    std::int64_t mNumber = -1;
    std::uint32_t mRegular = 0;
    std::uint32_t mExtra = 0;
  };

  std::array<slot, kSlots> mSlots;

  slot& SlotAt(const budget_limits& aTerms, steady_time aNow);

public:
  void OnRegular(const budget_limits& aTerms, steady_time aNow);
  /** Takes one extra attempt if the terms allow it. */
  bool TrySpend(const budget_limits& aTerms, steady_time aNow);
};

}
