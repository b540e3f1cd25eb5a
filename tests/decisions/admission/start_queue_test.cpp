#include "decisions/admission/start_queue.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

waiting_start
Start(ticket_number aTicket, std::uint32_t aPriority, int aDueMs)
{
  return {
    aTicket, aPriority, kNow + milliseconds(aDueMs), kNow + milliseconds(600)
  };
}

}

TEST_GROUP(start_queue)
{
  start_queue mQueue;
};

// Guards against urgent work that waits behind what arrived before it.
TEST(start_queue, OrdersByPriorityThenByDueTime)
{
  mQueue.Push(Start(1, 1, 150));
  mQueue.Push(Start(2, 0, 50));
  mQueue.Push(Start(3, 0, 20));
  mQueue.Push(Start(4, 1, 100));
  for (ticket_number expected : { 3, 2, 4, 1 }) {
    CHECK_EQUAL(expected, *mQueue.TakeTurn(kNow).mStarted);
  }
  CHECK(mQueue.IsEmpty());
}

// Guards against starvation of a priority while more urgent work keeps coming.
TEST(start_queue, WhatWaitsLongestGetsAnEighthOfTheTurns)
{
  mQueue.Push(Start(1, 2, 500));
  int turns = 0;
  ticket_number started = 0;
  while (started != 1) {
    mQueue.Push(Start(static_cast<ticket_number>(turns) + 2, 0, 50));
    started = *mQueue.TakeTurn(kNow).mStarted;
    ++turns;
  }
  CHECK(turns <= 8);
}

// Guards against work on a request that nobody waits for any more.
TEST(start_queue, ExpiredWorkLeavesAtOnceAndTakesNoTurn)
{
  mQueue.Push(Start(1, 0, 50));
  waiting_start late = Start(2, 1, 150);
  late.mDeadline = kNow + milliseconds(2000);
  mQueue.Push(late);
  start_turn turn = mQueue.TakeTurn(kNow + milliseconds(600));
  LONGS_EQUAL(1, turn.mExpired.size());
  LONGS_EQUAL(1, turn.mExpired.front());
  CHECK_EQUAL(2, *turn.mStarted);
  CHECK(!turn.mHasMore);
}
