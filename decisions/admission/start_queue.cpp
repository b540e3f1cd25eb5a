#include "decisions/admission/start_queue.h"

#include <algorithm>
#include <tuple>

namespace hibiscusspool {

namespace {

/** One in this many turns goes to what arrived first. */
constexpr unsigned kTurnsOfArrival = 8;

}

start_turn
start_queue::TakeTurn(steady_time aNow)
{
  start_turn turn;
  std::erase_if(mWaiting, [&](const waiting_start& aStart) {
    bool isExpired = aStart.mDeadline <= aNow;
    if (isExpired) {
      turn.mExpired.push_back(aStart.mTicket);
    }
    return isExpired;
  });
  if (mWaiting.empty()) {
    return turn;
  }
  auto next = mWaiting.begin();
  if (++mTurns % kTurnsOfArrival != 0) {
    next = std::min_element(
      mWaiting.begin(),
      mWaiting.end(),
      [](const waiting_start& aOne, const waiting_start& aOther) {
        return std::tie(aOne.mPriority, aOne.mDueAt) <
               std::tie(aOther.mPriority, aOther.mDueAt);
      });
  }
  turn.mStarted = next->mTicket;
  mWaiting.erase(next);
  turn.mHasMore = !mWaiting.empty();
  return turn;
}

}
