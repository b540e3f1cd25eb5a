#include "drivers/retry_after.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscusspool;

TEST_GROUP(retry_after){};

TEST(retry_after, ReadsSecondsWithAndWithoutAFraction)
{
  CHECK(ParseRetryAfter("2", 0) == milliseconds(2000));
  CHECK(ParseRetryAfter("0.25", 0) == milliseconds(250));
  CHECK(ParseRetryAfter("0.0001", 0) == milliseconds(1));
}

TEST(retry_after, ReadsADate)
{
  // 784,111,777 s after the epoch.
  constexpr wall_ms kDate = 784'111'777'000;
  CHECK(ParseRetryAfter("Sun, 06 Nov 1994 08:49:37 GMT", kDate - 1500) ==
        milliseconds(1500));
  CHECK(!ParseRetryAfter("Sun, 06 Nov 1994 08:49:37 GMT", kDate + 1));
}

TEST(retry_after, IgnoresWhatIsNoTime)
{
  for (const char* text :
       { "", "-1", "0", "nan", "inf", "soon", "2s", "1e5", "2, 3", "Sun, x" }) {
    CHECK(!ParseRetryAfter(text, 0));
  }
  CHECK(ParseRetryAfter("99999999999999999999", 0) ==
        std::chrono::hours(24 * 365));
}
