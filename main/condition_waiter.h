#pragma once

#include "core/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace hibiscusspool {

/** Lets a stopping thread wait for a condition that other threads fulfil. */
class condition_waiter
{
  std::mutex mLock;
  std::condition_variable mChanged;

public:
  /** Wakes waiting threads to check their conditions; call it after a change.
   */
  void Notify()
  {
    std::lock_guard guard(mLock);
    mChanged.notify_all();
  }

  /** Waits for the condition until a deadline; returns whether it holds. */
  bool WaitUntil(steady_time aDeadline, const std::function<bool()>& aCondition)
  {
    std::unique_lock guard(mLock);
    return mChanged.wait_until(guard, aDeadline, aCondition);
  }
};

}
