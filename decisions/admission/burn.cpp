#include "decisions/admission/burn.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

constexpr wall_ms kMinute = 60'000;

constexpr std::array<milliseconds, 4> kWindowLengths{
  std::chrono::minutes(5),
  std::chrono::hours(1),
  std::chrono::hours(6),
  std::chrono::hours(72),
};

/** Lower bound of the error budget, so that burn rates stay finite. */
constexpr double kMinErrorBudget = 1e-6;

double
ErrorBudget(double aTarget)
{
  return std::max(kMinErrorBudget, 1 - aTarget);
}

double
BadRatio(const burn_count& aCount)
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
  return kWindowLengths[static_cast<std::size_t>(aWindow)];
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
  auto position = std::lower_bound(
    mMinutes.begin(),
    mMinutes.end(),
    aMinute.mMinute,
    [](const burn_minute& aStored, std::int64_t aMinuteNumber) {
      return aStored.mMinute < aMinuteNumber;
    });
  if (position == mMinutes.end() || position->mMinute != aMinute.mMinute) {
    position = mMinutes.insert(position, burn_minute{ aMinute.mMinute, {} });
  }
  for (std::size_t index = 0; index < aMinute.mCounts.size(); ++index) {
    position->mCounts[index].Add(aMinute.mCounts[index]);
  }
  auto maxMinutes = WindowLength(burn_window::ThreeDays).count() / kMinute;
  while (mMinutes.back().mMinute - mMinutes.front().mMinute > maxMinutes) {
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
BurnRate(const burn_count& aCount, double aTarget)
{
  return BadRatio(aCount) / ErrorBudget(aTarget);
}

double
BudgetLeft(const burn_count& aCount, double aTarget)
{
  return 1 - BurnRate(aCount, aTarget);
}

}
