#include "decisions/admission/client_load.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace hibiscusspool;

/** Two listeners, of two connections each, and room for three in all. */
TEST_GROUP(client_load)
{
  static constexpr std::uint64_t kMaxBytes = 1'000'000;
  static constexpr std::uint64_t kLarge = 400'000;
  client_load mLoad{ { kMaxBytes, 3 } };
  steady_time mNow{ std::chrono::hours(1) };

  void setup() override
  {
    mLoad.AddListener(1, 2);
    mLoad.AddListener(2, 2);
  }

  client_id Receive(std::uint64_t aBytes, milliseconds aStalled)
  {
    client_id opened = mLoad.Open(1, mNow);
    mLoad.Update(opened, client_phase::Receiving, aBytes, mNow - aStalled);
    return opened;
  }

  static bool Contains(const std::vector<client_id>& aChosen, client_id aId)
  {
    return std::find(aChosen.begin(), aChosen.end(), aId) != aChosen.end();
  }
};

// Guards against closing the client whose bytes happen to exceed the limit: a
// crowd of stalled bodies would close each one that still sends.
TEST(client_load, TheLongestStalledIsClosedFirst)
{
  client_id stalled = Receive(kLarge, milliseconds(2000));
  client_id slow = Receive(kLarge, milliseconds(1000));
  client_id fresh = Receive(kLarge, milliseconds(0));
  auto chosen = mLoad.ChooseExcess(mNow);
  LONGS_EQUAL(1, chosen.size());
  CHECK(Contains(chosen, stalled));
  CHECK(!Contains(chosen, slow));
  CHECK(!Contains(chosen, fresh));
  CHECK(mLoad.IsClosing(stalled));
  LONGS_EQUAL(2 * kLarge, mLoad.Bytes());
}

// Guards against clients that send one byte now and then, and would make a
// smaller request look like the longest stalled one.
TEST(client_load, AmongThoseOfTheSameTimeTheLargestIsClosed)
{
  client_id smaller = Receive(kLarge / 2, milliseconds(20));
  client_id large = Receive(2 * kLarge, milliseconds(0));
  client_id other = Receive(kLarge, milliseconds(10));
  auto chosen = mLoad.ChooseExcess(mNow);
  CHECK(Contains(chosen, large));
  CHECK(!Contains(chosen, smaller));
  CHECK(!Contains(chosen, other));
}

// Guards against giving up a request that may have begun to run.
TEST(client_load, ARequestThatIsServedIsNeverClosed)
{
  client_id served = Receive(2 * kLarge, milliseconds(5000));
  mLoad.Update(
    served, client_phase::Serving, 2 * kLarge, mNow - milliseconds(5000));
  client_id late = Receive(kLarge, milliseconds(0));
  auto chosen = mLoad.ChooseExcess(mNow);
  LONGS_EQUAL(1, chosen.size());
  CHECK(Contains(chosen, late));
  client_id third = mLoad.Open(1, mNow);
  LONGS_EQUAL(0, mLoad.ChooseSurplus(1).size());
  LONGS_EQUAL(2, mLoad.Count());
  mLoad.Close(third);
}

// Guards against refusing ordinary requests while large bodies take all room.
TEST(client_load, AnOrdinaryRequestIsNotClosedForItsBytes)
{
  client_id served = Receive(2 * kMaxBytes, milliseconds(0));
  mLoad.Update(served, client_phase::Serving, 2 * kMaxBytes, mNow);
  Receive(client_load::kOrdinaryBytes, milliseconds(3000));
  LONGS_EQUAL(0, mLoad.ChooseExcess(mNow).size());
}

// Guards against a limit below the size of one request that is allowed.
TEST(client_load, ASingleRequestIsNotClosed)
{
  Receive(2 * kMaxBytes, milliseconds(3000));
  LONGS_EQUAL(0, mLoad.ChooseExcess(mNow).size());
}

// Guards against one look at all connections for each that is closed.
TEST(client_load, BytesAreReducedBelowTheLimit)
{
  client_load load({ kMaxBytes, 1000 });
  load.AddListener(1, 1000);
  constexpr std::uint64_t kBytes = 20'000;
  for (std::uint64_t sum = 0; sum <= kMaxBytes; sum += kBytes) {
    client_id opened = load.Open(1, mNow);
    load.Update(opened, client_phase::Receiving, kBytes, mNow);
  }
  CHECK(load.ChooseExcess(mNow).size() > 5);
  CHECK(load.Bytes() <= kMaxBytes / 8 * 7);
  CHECK(load.Bytes() > kMaxBytes / 2);
}

// Guards against a full listener that accepts nobody for as long as idle
// clients stay.
TEST(client_load, ANewConnectionReplacesTheLongestIdleOfItsListener)
{
  client_id first = mLoad.Open(1, mNow);
  client_id second = mLoad.Open(1, mNow + milliseconds(1));
  CHECK(mLoad.HasRoom(1));
  client_id third = mLoad.Open(1, mNow + milliseconds(2));
  auto chosen = mLoad.ChooseSurplus(1);
  LONGS_EQUAL(1, chosen.size());
  CHECK(Contains(chosen, first));
  CHECK(!mLoad.IsClosing(second));
  CHECK(!mLoad.IsClosing(third));
  LONGS_EQUAL(2, mLoad.Count());
}

// Guards against one listener that takes the descriptors of the others.
TEST(client_load, ANewConnectionReplacesOneOfAnotherListener)
{
  client_id first = mLoad.Open(1, mNow);
  mLoad.Open(1, mNow + milliseconds(1));
  mLoad.Open(2, mNow + milliseconds(2));
  mLoad.Open(2, mNow + milliseconds(3));
  auto chosen = mLoad.ChooseSurplus(2);
  LONGS_EQUAL(1, chosen.size());
  CHECK(Contains(chosen, first));
}

// Guards against accepting more while every connection is in use, and while
// those that were chosen still hold their descriptors.
TEST(client_load, ThereIsNoRoomBesideServedRequestsAndClosingConnections)
{
  for (int number = 0; number < 2; ++number) {
    client_id served = mLoad.Open(1, mNow);
    mLoad.Update(served, client_phase::Serving, 0, mNow);
  }
  CHECK(!mLoad.HasRoom(1));
  CHECK(mLoad.HasRoom(2));
  for (int number = 0; number < 20 && mLoad.HasRoom(2); ++number) {
    mLoad.Open(2, mNow);
    mLoad.ChooseSurplus(2);
  }
  CHECK(!mLoad.HasRoom(2));
}

// Guards against losing count of a request that was complete before its
// connection could be closed.
TEST(client_load, AChosenOneThatIsCompleteCountsAgain)
{
  client_id stalled = Receive(2 * kLarge, milliseconds(2000));
  Receive(kLarge, milliseconds(0));
  CHECK(Contains(mLoad.ChooseExcess(mNow), stalled));
  mLoad.Update(stalled, client_phase::Receiving, 2 * kLarge, mNow);
  CHECK(mLoad.IsClosing(stalled));
  mLoad.Update(stalled, client_phase::Serving, 2 * kLarge, mNow);
  CHECK(!mLoad.IsClosing(stalled));
  LONGS_EQUAL(3 * kLarge, mLoad.Bytes());
  mLoad.Close(stalled);
  LONGS_EQUAL(kLarge, mLoad.Bytes());
  LONGS_EQUAL(1, mLoad.Count());
}

// Guards against counts that remain after a listener is gone.
TEST(client_load, ARemovedListenerTakesItsConnections)
{
  client_id closing = Receive(2 * kLarge, milliseconds(2000));
  Receive(kLarge, milliseconds(0));
  mLoad.Open(2, mNow);
  mLoad.ChooseExcess(mNow);
  CHECK(mLoad.IsClosing(closing));
  mLoad.RemoveListener(1);
  LONGS_EQUAL(0, mLoad.Bytes());
  LONGS_EQUAL(1, mLoad.Count());
}
