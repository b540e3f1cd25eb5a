#pragma once

#include <functional>

namespace hibiscusspool {

/**
 * Whether a request's caller still waits. It belongs to the executor that
 * runs the request.
 */
struct caller_status
{
  bool mIsDisconnected = false;
  /** Called once, when the caller leaves before it was answered. */
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
