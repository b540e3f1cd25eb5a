#include "tests/decisions/rollout/simulated_rollout.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace test;

rollout_record
Record(rollout_state aState)
{
  rollout_record record;
  record.mState = aState;
  record.mShare = InitialShare({});
  return record;
}

rollout_view
View(std::size_t aTargets, std::size_t aOthers)
{
  rollout_view view;
  view.mTargets = aTargets;
  view.mOthers = aOthers;
  view.mHasHealthyOther = aOthers > 0;
  return view;
}

}

TEST_GROUP(rollout_choice){};

// Guards against slacks of single hosts that add up: 120 hosts, of which most
// see a few requests only, keep to the sum.
TEST(rollout_choice, TheShareHoldsOverManyHosts)
{
  constexpr int kHosts = 120;
  for (std::size_t others : { 1, 3, 6, 10 }) {
    for (int perHost : { 1, 10, 100 }) {
      for (int seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        std::uniform_int_distribution<int> time(0, 12'000);
        int target = 0;
        int extra = 0;
        for (int request = 0; request < kHosts * perHost; ++request) {
          rollout_view view = View(3, others);
          view.mDraw = random();
          view.mSinceLearned = milliseconds(time(random));
          bool isTarget =
            SidesToTry(Record(rollout_state::Running), view).front() !=
            version_side::Other;
          target += isTarget ? 1 : 0;
          // Each request is hedged and retried.
          view.mIsExtra = true;
          bool isExtraTarget =
            SidesToTry(Record(rollout_state::Running), view).front() !=
            version_side::Other;
          extra += isExtraTarget ? 1 : 0;
        }
        LONGS_EQUAL(0, extra);
        CHECK(target <= 0.1 * kHosts * perHost + 50);
        CHECK(perHost < 100 || target >= 0.06 * kHosts * perHost);
      }
    }
  }
}

// Guards against a request that waits for a free server and draws again each
// time, until it gets the target version.
TEST(rollout_choice, ARequestDrawsOnce)
{
  rollout_view view = View(3, 3);
  view.mDraw = 12345;
  view.mSinceLearned = milliseconds(100);
  auto sides = SidesToTry(Record(rollout_state::Running), view);
  for (int again = 0; again < 100; ++again) {
    CHECK(SidesToTry(Record(rollout_state::Running), view) == sides);
  }
}

// Guards against failures of a version that is bad at once which come in bursts
// and use up the budget of retries: callers got them.
TEST(rollout_choice, TheFirstRequestsAreSpreadEvenly)
{
  rollout_record record = Record(rollout_state::Running);
  for (int at = 0; at < 2000; at += 100) {
    int target = 0;
    for (std::uint64_t draw = 0; draw < 2000; ++draw) {
      rollout_view view = View(3, 3);
      view.mDraw = draw;
      view.mSinceLearned = milliseconds(at);
      auto sides = SidesToTry(record, view);
      CHECK(sides.front() != version_side::Concentrated);
      target += sides.front() == version_side::Target ? 1 : 0;
    }
    CHECK(target > 100 && target < 220);
  }
}

TEST(rollout_choice, ARolledBackVersionGetsNothing)
{
  for (std::size_t others : { 0, 3 }) {
    CHECK(SidesToTry(Record(rollout_state::RolledBack), View(3, others)) ==
          std::vector{ version_side::Other });
  }
}

TEST(rollout_choice, ACompletedVersionGetsAllOnceItCanAnswer)
{
  CHECK(SidesToTry(Record(rollout_state::Completed), View(3, 3)) ==
        std::vector{ version_side::Target });
  CHECK(SidesToTry(Record(rollout_state::Completed), View(0, 3)) ==
        std::vector{ version_side::Other });
  CHECK(SidesToTry(Record(rollout_state::Completing), View(3, 3)).front() ==
        version_side::Target);
}

// Guards against a host out of contact that goes on using a version which was
// rolled back meanwhile.
TEST(rollout_choice, AHostOutOfContactUsesTheOldServersWhileTheyAnswer)
{
  rollout_record record = Record(rollout_state::Running);
  record.mShare = 1;
  rollout_view view = View(3, 3);
  view.mIsConfirmed = false;
  CHECK(SidesToTry(record, view) == std::vector{ version_side::Other });
  view.mHasHealthyOther = false;
  CHECK(SidesToTry(record, view).back() == version_side::Target);
}
