#pragma once

#include <functional>

namespace hibiscusspool {

/**
 * Whether a request's caller is still connected. Accessed only on the executor
 * that runs the request.
 */
struct caller_status
{
  bool mIsDisconnected = false;
  /** Called once if the caller disconnects before it was answered. */
  std::function<void()> mOnDisconnect;

  void Disconnect()
  {
    if (mIsDisconnected) {
      return;
    }
    mIsDisconnected = true;
    if (mOnDisconnect) {
      mOnDisconnect();
    }
  }
};

}
