#pragma once

#include <functional>

namespace hibiscusspool {

/**
 * Whether a request's caller still waits. It belongs to the executor that
 * runs the request.
 */
struct caller_presence
{
  bool mIsGone = false;
  /** Called once, when the caller leaves before it was answered. */
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
