#include "decisions/burn.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

constexpr wall_ms kMinute = 60'000;

constexpr std::array<milliseconds, 4> kLengths{
  std::chrono::minutes(5),
  std::chrono::hours(1),
  std::chrono::hours(6),
  std::chrono::hours(72),
};

/** Smallest share that an objective may allow, so that rates stay finite. */
constexpr double kSmallestAllowance = 1e-6;

double
Allowance(double aObjectiveShare)
{
  return std::max(kSmallestAllowance, 1 - aObjectiveShare);
}

double
BadShare(const burn_count& aCount)
{
  if (aCount.mTotal == 0) {
    return 0;
  }
  return static_cast<double>(aCount.mBad) / static_cast<double>(aCount.mTotal);
}

}

milliseconds
WindowLength(burn_window aWindow)
{
  return kLengths[static_cast<std::size_t>(aWindow)];
}

void
burn_history::Add(objective aObjective, bool aIsBad, wall_ms aNow)
{
  burn_minute minute;
  minute.mMinute = aNow / kMinute;
  burn_count& count = minute.mCounts[static_cast<std::size_t>(aObjective)];
  count.mTotal = 1;
  count.mBad = aIsBad ? 1 : 0;
  Merge(minute);
}

void
burn_history::Merge(const burn_minute& aMinute)
{
  auto place =
    std::lower_bound(mMinutes.begin(),
                     mMinutes.end(),
                     aMinute.mMinute,
                     [](const burn_minute& aKept, std::int64_t aTime) {
                       return aKept.mMinute < aTime;
                     });
  if (place == mMinutes.end() || place->mMinute != aMinute.mMinute) {
    place = mMinutes.insert(place, burn_minute{ aMinute.mMinute, {} });
  }
  for (std::size_t kind = 0; kind < aMinute.mCounts.size(); ++kind) {
    place->mCounts[kind].Add(aMinute.mCounts[kind]);
  }
  auto longest = WindowLength(burn_window::ThreeDays).count() / kMinute;
  while (mMinutes.back().mMinute - mMinutes.front().mMinute > longest) {
    mMinutes.pop_front();
  }
}

burn_count
burn_history::Count(objective aObjective,
                    burn_window aWindow,
                    wall_ms aNow) const
{
  std::int64_t first = (aNow - WindowLength(aWindow).count()) / kMinute;
  burn_count count;
  for (auto minute = mMinutes.rbegin();
       minute != mMinutes.rend() && minute->mMinute > first;
       ++minute) {
    count.Add(minute->mCounts[static_cast<std::size_t>(aObjective)]);
  }
  return count;
}

double
BurnRate(const burn_count& aCount, double aObjectiveShare)
{
  return BadShare(aCount) / Allowance(aObjectiveShare);
}

double
BudgetLeft(const burn_count& aCount, double aObjectiveShare)
{
  return 1 - BurnRate(aCount, aObjectiveShare);
}

}
