#pragma once

#include <functional>

namespace hibiscusspool {

/**
 * Whether a request's caller is still connected. Accessed only on the executor
 * that runs the request.
 */
struct caller_presence
{
  bool mIsGone = false;
  /** Called once if the caller disconnects before it was answered. */
  std::function<void()> mOnLeft;

  void Leave()
  {
    if (mIsGone) {
      return;
    }
    mIsGone = true;
    if (mOnLeft) {
      mOnLeft();
    }
  }
};

}
