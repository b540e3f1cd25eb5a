#pragma once

#include "core/clock.h"
#include "decisions/records.h"

#include <atomic>

namespace hibiscusspool {

/**
 * The lease of this daemon, which may take new work only while it is valid:
 * while its newest confirmed mark is younger than the lease, by its own steady
 * clock. A mark is a numbered read-index request that the daemon sends on its
 * watch stream.
 */
class lease_controller
{
  milliseconds mLease;
  /** Send time of the newest confirmed mark, in steady ticks; 0 if none. */
  std::atomic<steady_time::rep> mConfirmedAt{ 0 };

public:
  explicit lease_controller(milliseconds aLease)
    : mLease(aLease)
  {
  }

  /** Renews the lease after a mark sent at this time was confirmed. */
  void Renew(steady_time aSentAt)
  {
    steady_time::rep sent = aSentAt.time_since_epoch().count();
    steady_time::rep known = mConfirmedAt.load();
    while (known < sent && !mConfirmedAt.compare_exchange_weak(known, sent)) {
    }
  }

  [[nodiscard]] bool IsValid(steady_time aNow) const
  {
    return mConfirmedAt.load() != 0 && Age(aNow) < mLease;
  }

  /** Time since the newest confirmed mark was sent. */
  [[nodiscard]] milliseconds Age(steady_time aNow) const
  {
    steady_time confirmed{ steady_time::duration(mConfirmedAt.load()) };
    return std::chrono::duration_cast<milliseconds>(aNow - confirmed);
  }

  [[nodiscard]] milliseconds LeaseDuration() const { return mLease; }
};

}
