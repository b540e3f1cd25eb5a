#include "decisions/group/stall_detector.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };
constexpr stall_limits kLimits{ milliseconds(600), milliseconds(1000) };

}

TEST_GROUP(stall_detector)
{
  stall_detector mDetector{ kLimits, kNow };
};

TEST(stall_detector, RequestsMayHaveArrivedSinceTheLastTick)
{
  mDetector.OnTick(kNow + milliseconds(100));
  auto arrivedAt = mDetector.EarliestArrival(kNow + milliseconds(150));
  CHECK(arrivedAt == kNow + milliseconds(100));
}

// Guards against orders that undo later ones: after a stall, what had waited
// unread was taken for new.
TEST(stall_detector, RequestsAfterAStallMayHaveArrivedBefore)
{
  steady_time resumed = kNow + milliseconds(4000);
  // Whether the tick or a request comes first after the stall.
  for (bool ticksFirst : { true, false }) {
    stall_detector detector(kLimits, kNow);
    if (ticksFirst) {
      detector.OnTick(resumed);
    }
    CHECK(!detector.EarliestArrival(resumed));
    for (int tick = 1; tick < 10; ++tick) {
      detector.OnTick(resumed + milliseconds(100) * tick);
    }
    CHECK(!detector.EarliestArrival(resumed + milliseconds(999)));
    CHECK(detector.EarliestArrival(resumed + milliseconds(1000)).has_value());
  }
}
