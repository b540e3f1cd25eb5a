#pragma once

#include "core/clock.h"
#include "core/name_table.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace hibiscusspool {

/** What a team's objectives are about. */
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

/** Time over which a burn rate is taken. */
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

/** Length of a window. */
milliseconds
WindowLength(burn_window aWindow);

/** Requests that counted and requests that missed the objective. */
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
  /** Adds another host's minutes. */
  void Merge(const burn_minute& aMinute);
  /** The counts of the window that ends now. */
  [[nodiscard]] burn_count Count(objective aObjective,
                                 burn_window aWindow,
                                 wall_ms aNow) const;
  [[nodiscard]] const std::deque<burn_minute>& Minutes() const
  {
    return mMinutes;
  }
};

/**
 * How many times faster than allowed the budget is spent: the share of bad
 * requests over the share that the objective allows. 1 spends it just in time.
 */
double
BurnRate(const burn_count& aCount, double aObjectiveShare);

/** Share of the budget of the window that is left; below 0 when overspent. */
double
BudgetLeft(const burn_count& aCount, double aObjectiveShare);

}
