#pragma once

#include "decisions/servers/crash_suspects.h"

#include <mutex>

namespace hibiscusspool {

/** The requests of this host that may have crashed servers. */
class crash_controller
{
  mutable std::mutex mLock;
  crash_suspects mSuspects;

public:
  void OnLost(const fingerprint_id& aRequest,
              const server_start& aStart,
              const std::string& aAddress,
              steady_time aNow)
  {
    std::lock_guard guard(mLock);
    mSuspects.OnLost(aRequest, aStart, aAddress, aNow);
  }

  std::vector<due_probe> TakeDueProbes(steady_time aNow)
  {
    std::lock_guard guard(mLock);
    return mSuspects.TakeDueProbes(aNow);
  }

  void OnProbe(const server_start& aStart, connect_result aResult)
  {
    std::lock_guard guard(mLock);
    mSuspects.OnProbe(aStart, aResult);
  }

  /** `aFate` must not call this controller. */
  std::vector<fingerprint_id> TakeConfirmed(
    const std::function<server_fate(const server_start&)>& aFate,
    steady_time aNow)
  {
    std::lock_guard guard(mLock);
    return mSuspects.TakeConfirmed(aFate, aNow);
  }

  [[nodiscard]] bool IsEmpty() const
  {
    std::lock_guard guard(mLock);
    return mSuspects.IsEmpty();
  }
};

}
