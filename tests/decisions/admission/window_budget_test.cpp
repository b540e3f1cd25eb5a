#include "decisions/admission/window_budget.h"
#include "decisions/servers/server_health.h"

#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kStart{ std::chrono::hours(1) };

}

TEST_GROUP(window_budget){};

TEST(window_budget, ExtraAttemptsStayWithinTheLimitsInEverySlidingWindow)
{
  constexpr int kSeeds = 20;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937 random(seed);
    budget_limits limits{ 0.2, 5, milliseconds(10'000) };
    window_budget budget;
    std::deque<std::pair<steady_time, bool>> events;
    steady_time now = kStart;
    for (int step = 0; step < 5000; ++step) {
      now += milliseconds(random() % 40);
      // Requests far more extra attempts than the budget allows.
      if (random() % 3 == 0) {
        budget.OnRegularAttempt(limits, now);
        events.emplace_back(now, true);
      } else if (budget.TrySpend(limits, now)) {
        events.emplace_back(now, false);
      }
      while (now - events.front().first >= limits.mWindow) {
        events.pop_front();
      }
      double regular = 0;
      double extra = 0;
      for (const auto& [time, isRegular] : events) {
        (isRegular ? regular : extra) += 1;
      }
      // The oldest interval counts in full, so the budget may include up to one
      // interval's regular attempts that have just left the window.
      constexpr double kIntervalRegular = 40;
      CHECK_TEXT(extra <=
                   limits.mRatio * (regular + kIntervalRegular) + limits.mSlack,
                 ("seed " + std::to_string(seed)).c_str());
    }
  }
}

TEST(window_budget, TheBudgetRecoversWhenTheWindowHasPassed)
{
  budget_limits limits{ 0, 2, milliseconds(1000) };
  window_budget budget;
  CHECK(budget.TrySpend(limits, kStart));
  CHECK(budget.TrySpend(limits, kStart));
  CHECK_FALSE(budget.TrySpend(limits, kStart + milliseconds(500)));
  CHECK(budget.TrySpend(limits, kStart + milliseconds(1100)));
}

TEST_GROUP(server_health){};

TEST(server_health, TheFailureRateFollowsTheAttemptsAndDecays)
{
  server_health health;
  DOUBLES_EQUAL(0, health.FailureRate(kStart), 0);
  for (int attempt = 0; attempt < 100; ++attempt) {
    if (attempt % 2 == 0) {
      health.OnFailure(kStart);
    } else {
      health.OnResponse(kStart);
    }
  }
  DOUBLES_EQUAL(0.5, health.FailureRate(kStart), 0.1);
  CHECK(health.FailureRate(kStart + std::chrono::seconds(3)) < 0.25);
  CHECK(health.FailureRate(kStart + std::chrono::seconds(30)) < 0.01);
}

TEST(server_health, ConsecutiveFailuresSuspendForATimeThatDoubles)
{
  server_health health;
  health.OnFailure(kStart);
  CHECK_FALSE(health.IsSuspended(kStart));
  health.OnFailure(kStart);
  CHECK(health.IsSuspended(kStart + milliseconds(249)));
  CHECK_FALSE(health.IsSuspended(kStart + milliseconds(250)));
  CHECK(health.NeedsProbe());
  health.OnFailure(kStart + milliseconds(300));
  CHECK(health.IsSuspended(kStart + milliseconds(799)));
  health.OnResponse(kStart + milliseconds(300));
  CHECK_FALSE(health.NeedsProbe());
}
