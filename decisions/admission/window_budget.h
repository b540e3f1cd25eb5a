#pragma once

#include "core/clock.h"

#include <array>
#include <cstdint>

namespace hibiscusspool {

/** Limits on the extra attempts of a service in a sliding window. */
struct budget_limits
{
  /** Extra attempts per regular attempt. */
  double mRatio = 0;
  /** Extra attempts allowed in each window on top of the ratio. */
  double mSlack = 0;
  milliseconds mWindow{ 10'000 };
};

/**
 * Counts regular and extra attempts over a sliding window. An extra attempt
 * is allowed while those in the window stay within the limits.
 */
class window_budget
{
  static constexpr std::size_t kIntervals = 20;

  struct interval
  {
    std::int64_t mNumber = -1;
    std::uint32_t mRegular = 0;
    std::uint32_t mExtra = 0;
  };

  std::array<interval, kIntervals> mIntervals;

  interval& IntervalAt(const budget_limits& aLimits, steady_time aNow);

public:
  void OnRegularAttempt(const budget_limits& aLimits, steady_time aNow);
  /** Counts one extra attempt if the limits allow it; false otherwise. */
  bool TrySpend(const budget_limits& aLimits, steady_time aNow);
};

}
