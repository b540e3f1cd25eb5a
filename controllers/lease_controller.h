#pragma once

#include "core/clock.h"
#include "decisions/records.h"

#include <atomic>

namespace hibiscusspool {

/**
 * Whether this daemon may take new work: only while its newest confirmed
 * mark is younger than the lease, by its own steady clock.
 */
class lease_controller
{
  milliseconds mLease;
  /** Steady time of the newest confirmed mark, in ticks; 0 before any. */
  std::atomic<steady_time::rep> mConfirmedAt{ 0 };

public:
  explicit lease_controller(milliseconds aLease)
    : mLease(aLease)
  {
  }

  /** A mark that was sent at this time is confirmed. */
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

  [[nodiscard]] milliseconds Lease() const { return mLease; }
};

}
