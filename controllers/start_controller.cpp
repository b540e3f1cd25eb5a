#include "controllers/start_controller.h"

#include <utility>

namespace hibiscusspool {

bool
start_controller::Enter(waiting_start aStart, start_callback aCallback)
{
  std::lock_guard guard(mLock);
  aStart.mTicket = ++mLastTicket;
  mCallbacks[aStart.mTicket] = std::move(aCallback);
  mQueue.Push(aStart);
  return !std::exchange(mIsGivingTurns, true);
}

bool
start_controller::GiveTurn(steady_time aNow)
{
  std::vector<start_callback> expired;
  start_callback started;
  bool hasMore = false;
  {
    std::lock_guard guard(mLock);
    start_turn turn = mQueue.TakeTurn(aNow);
    for (ticket_number ticket : turn.mExpired) {
      expired.push_back(std::move(mCallbacks.extract(ticket).mapped()));
    }
    if (turn.mStarted) {
      started = std::move(mCallbacks.extract(*turn.mStarted).mapped());
    }
    hasMore = turn.mHasMore;
    mIsGivingTurns = hasMore;
  }
  for (const start_callback& callback : expired) {
    callback(false);
  }
  if (started) {
    started(true);
  }
  return hasMore;
}

}
