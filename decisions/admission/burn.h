#pragma once

#include "core/clock.h"
#include "core/name_table.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace hibiscusspool {

/** Kinds of service level objectives. */
enum class objective
{
  Latency,
  Availability,
  Coverage,
};

template<>
inline constexpr name_table<objective, 3> kNames<objective>{ {
  { objective::Latency, "latency" },
  { objective::Availability, "availability" },
  { objective::Coverage, "coverage" },
} };

/** Windows over which burn rates are computed. */
enum class burn_window
{
  FiveMinutes,
  OneHour,
  SixHours,
  ThreeDays,
};

template<>
inline constexpr name_table<burn_window, 4> kNames<burn_window>{ {
  { burn_window::FiveMinutes, "5m" },
  { burn_window::OneHour, "1h" },
  { burn_window::SixHours, "6h" },
  { burn_window::ThreeDays, "3d" },
} };

milliseconds
WindowLength(burn_window aWindow);

/** All requests that the objective covers, and those that missed it. */
struct burn_count
{
  std::uint64_t mTotal = 0;
  std::uint64_t mBad = 0;

  void Add(const burn_count& aOther)
  {
    mTotal += aOther.mTotal;
    mBad += aOther.mBad;
  }
  bool operator==(const burn_count&) const = default;
};

using burn_counts = std::array<burn_count, kNames<objective>.size()>;

/** Counts of one minute. */
struct burn_minute
{
  /** Minutes since 1970. */
  std::int64_t mMinute = 0;
  burn_counts mCounts;
};

/** One team's counts for each minute of the longest window. */
class burn_history
{
  std::deque<burn_minute> mMinutes;

public:
  void Add(objective aObjective, bool aIsBad, wall_ms aNow);
  /** Adds the counts of one minute, such as those of another host. */
  void Merge(const burn_minute& aMinute);
  /** The counts of the window that ends at `aNow`. */
  [[nodiscard]] burn_count Count(objective aObjective,
                                 burn_window aWindow,
                                 wall_ms aNow) const;
  [[nodiscard]] const std::deque<burn_minute>& Minutes() const
  {
    return mMinutes;
  }
};

/**
 * The fraction of bad requests divided by the fraction that the objective
 * allows. A rate of 1 uses up the error budget exactly at the window's end.
 */
double
BurnRate(const burn_count& aCount, double aTarget);

/** Fraction of the window's error budget that is left; below 0 if overspent. */
double
BudgetLeft(const burn_count& aCount, double aTarget);

}
