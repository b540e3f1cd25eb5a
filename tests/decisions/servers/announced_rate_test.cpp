#include "decisions/servers/announced_rate.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscusspool;

namespace {

const steady_time kNow{ std::chrono::hours(1) };
constexpr rate_notice kUnlimited{ rate_notice_kind::Unlimited, 0 };

steady_time
At(int aMilliseconds)
{
  return kNow + milliseconds(aMilliseconds);
}

rate_notice
Limit(double aPerSecond)
{
  return { rate_notice_kind::Limited, aPerSecond };
}

}

TEST_GROUP(announced_rate)
{
  announced_rate mRate;
};

TEST(announced_rate, HoldsUntilANewerResponseIsWithoutIt)
{
  CHECK(mRate.OnResponse(kUnlimited, At(0), At(5)) == rate_change::None);
  CHECK(mRate.OnResponse(Limit(40), At(10), At(20)) == rate_change::Limited);
  CHECK(mRate.OnResponse(Limit(40), At(30), At(40)) == rate_change::None);
  CHECK(mRate.OnResponse(Limit(30), At(50), At(60)) == rate_change::Changed);
  DOUBLES_EQUAL(30, mRate.PerSecond(), 0);
  CHECK(mRate.OnResponse(kUnlimited, At(70), At(80)) == rate_change::Ended);
  CHECK(!mRate.IsLimited());
}

TEST(announced_rate, LateResponsesToEarlierRequestsDontLiftTheLimit)
{
  mRate.OnResponse(Limit(40), At(10), At(20));
  // Both requests were sent before the limit was known.
  CHECK(mRate.OnResponse(kUnlimited, At(5), At(500)) == rate_change::None);
  CHECK(mRate.OnResponse(kUnlimited, At(15), At(500)) == rate_change::None);
  CHECK(mRate.OnResponse(Limit(80), At(15), At(500)) == rate_change::None);
  CHECK(mRate.IsLimited());
  DOUBLES_EQUAL(40, mRate.PerSecond(), 0);
  CHECK(mRate.OnResponse(Limit(10), At(15), At(500)) == rate_change::Changed);
  // A limit from before the end of a later one doesn't come back.
  mRate.OnResponse(kUnlimited, At(600), At(610));
  CHECK(mRate.OnResponse(Limit(10), At(15), At(700)) == rate_change::None);
  CHECK(!mRate.IsLimited());
}

TEST(announced_rate, UnreadableLimitsChangeNothingAndAreReportedOnce)
{
  rate_notice malformed{ rate_notice_kind::Malformed, 0 };
  CHECK(mRate.OnResponse(malformed, At(0), At(5)) == rate_change::Malformed);
  CHECK(mRate.OnResponse(malformed, At(6), At(8)) == rate_change::None);
  mRate.OnResponse(Limit(40), At(10), At(20));
  mRate.OnResponse(malformed, At(30), At(40));
  mRate.OnResponse({}, At(50), At(60));
  CHECK(mRate.IsLimited());
  DOUBLES_EQUAL(40, mRate.PerSecond(), 0);
}
