#include "decisions/servers/server_notice.h"

#include <random>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };
constexpr notice_limits kLimits{ milliseconds(3000), milliseconds(60'000) };

server_notice
Leaving()
{
  return { true, std::nullopt };
}

server_notice
Pause(std::int64_t aMilliseconds)
{
  return { false, milliseconds(aMilliseconds) };
}

}

TEST_GROUP(server_notice){};

TEST(server_notice, ALeavingServerIsALastResortUntilTheGraceEnds)
{
  server_notices notices(1);
  CHECK(notices.Willingness(kLimits, kNow) == server_willingness::Willing);
  CHECK(notices.OnNotice(Leaving(), kLimits, kNow));
  // Repeated notices don't extend the grace.
  CHECK(!notices.OnNotice(Leaving(), kLimits, kNow + milliseconds(2000)));
  CHECK(notices.Willingness(kLimits, kNow + milliseconds(2999)) ==
        server_willingness::LastResort);
  CHECK(notices.Willingness(kLimits, kNow + milliseconds(3000)) ==
        server_willingness::Unwilling);
  CHECK(notices.WillingAt(kLimits, kNow + milliseconds(3000)) ==
        steady_time::max());
}

TEST(server_notice, APausedServerGetsOneTrialAfterThePause)
{
  server_notices notices(1);
  CHECK(notices.OnNotice(Pause(2000), kLimits, kNow));
  // A shorter one that came later changes nothing.
  CHECK(!notices.OnNotice(Pause(500), kLimits, kNow + milliseconds(100)));
  steady_time end = kNow + milliseconds(2000);
  CHECK(notices.WillingAt(kLimits, kNow) == end);
  CHECK(notices.Willingness(kLimits, end - milliseconds(1)) ==
        server_willingness::Unwilling);
  CHECK(notices.Willingness(kLimits, end) == server_willingness::Trial);
  // A late response to a request from before the pause is no trial.
  notices.OnResponse(kNow);
  CHECK(notices.Willingness(kLimits, end) == server_willingness::Trial);
  notices.OnResponse(end);
  CHECK(notices.Willingness(kLimits, end) == server_willingness::Willing);
}

TEST(server_notice, PausesAreBounded)
{
  server_notices notices(1);
  CHECK(!notices.OnNotice(Pause(0), kLimits, kNow));
  CHECK(!notices.OnNotice(Pause(-5), kLimits, kNow));
  CHECK(notices.Willingness(kLimits, kNow) == server_willingness::Willing);
  CHECK(notices.OnNotice(Pause(86'400'000), kLimits, kNow));
  CHECK(notices.WillingAt(kLimits, kNow) == kNow + kLimits.mMaxPause);
}

TEST(server_notice, NoSeriesOfNoticesMakesAnUnwillingServerWilling)
{
  constexpr std::uint64_t kSeed = 24;
  std::mt19937_64 random(kSeed);
  for (int series = 0; series < 200; ++series) {
    server_notices notices(1);
    steady_time now = kNow;
    steady_time pausedUntil;
    std::optional<steady_time> leftAt;
    for (int step = 0; step < 100; ++step) {
      now += milliseconds(random() % 400);
      if (random() % 10 == 0) {
        auto pause = static_cast<std::int64_t>(random() % 3000);
        notices.OnNotice(Pause(pause), kLimits, now);
        pausedUntil = std::max(pausedUntil, now + milliseconds(pause));
      }
      if (random() % 60 == 0) {
        notices.OnNotice(Leaving(), kLimits, now);
        leftAt = leftAt.value_or(now);
      }
      if (random() % 3 == 0) {
        notices.OnResponse(now);
      }
      bool isOut =
        now < pausedUntil || (leftAt && now >= *leftAt + kLimits.mLeavingGrace);
      bool isUnwilling =
        notices.Willingness(kLimits, now) == server_willingness::Unwilling;
      CHECK_EQUAL_TEXT(isOut, isUnwilling, "seed 24");
      CHECK_EQUAL_TEXT(isOut, notices.WillingAt(kLimits, now) > now, "seed 24");
    }
  }
}

TEST(server_notice, RetriesAreSpreadOverAQuarterOfThePause)
{
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    milliseconds retry = RetryAfterPause(milliseconds(2000), draw * 7919);
    CHECK(retry >= milliseconds(2000));
    CHECK(retry <= milliseconds(2500));
  }
  CHECK(RetryAfterPause(milliseconds(2000), 1) !=
        RetryAfterPause(milliseconds(2000), 400));
  CHECK(RetryAfterPause(milliseconds(0), 99) == milliseconds(0));
}
