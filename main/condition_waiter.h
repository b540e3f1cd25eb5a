#pragma once

#include "core/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace hibiscusspool {

/** Where a stopping thread waits for a condition that others bring about. */
class condition_waiter
{
  std::mutex mLock;
  std::condition_variable mChanged;

public:
  /** Looks at waiting conditions again; call it after a change. */
  void Notify()
  {
    std::lock_guard guard(mLock);
    mChanged.notify_all();
  }

  /** Waits until the condition holds or the time comes; true if it holds. */
  bool WaitUntil(steady_time aEnd, const std::function<bool()>& aCondition)
  {
    std::unique_lock guard(mLock);
    return mChanged.wait_until(guard, aEnd, aCondition);
  }
};

}
