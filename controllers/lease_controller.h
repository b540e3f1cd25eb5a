#pragma once

#include "core/clock.h"
#include "decisions/state/records.h"

#include <atomic>
#include <functional>
#include <optional>

namespace hibiscusspool {

/** When a mark was sent. */
struct sent_mark
{
  steady_time mSentAt;
  /** Time for which the machine had been suspended by then. */
  milliseconds mSuspendedTime{ 0 };
};

/**
 * The lease of this daemon, which may take new work only while the lease is
 * valid. A mark is a numbered read-index request that the daemon sends on its
 * watch stream. The lease is valid for its duration from the time at which the
 * newest confirmed mark was sent, by the daemon's steady clock and the time for
 * which the machine was suspended, which that clock doesn't count.
 */
class lease_controller
{
  milliseconds mLeaseDuration;
  /** Time for which the machine was suspended so far. */
  std::function<milliseconds()> mSuspendedTime;
  /** Send time of the newest confirmed mark plus the suspended time by then, in
   * ticks of the steady clock; 0 if none. */
  std::atomic<steady_time::rep> mConfirmedAt{ 0 };

public:
  lease_controller(milliseconds aLeaseDuration,
                   std::function<milliseconds()> aSuspendedTime)
    : mLeaseDuration(aLeaseDuration)
    , mSuspendedTime(std::move(aSuspendedTime))
  {
  }

  /** Renews the lease after this mark was confirmed. */
  void Renew(const sent_mark& aMark)
  {
    steady_time::rep sent =
      (aMark.mSentAt + aMark.mSuspendedTime).time_since_epoch().count();
    steady_time::rep known = mConfirmedAt.load();
    while (known < sent && !mConfirmedAt.compare_exchange_weak(known, sent)) {
    }
  }

  [[nodiscard]] bool IsValid(steady_time aNow) const
  {
    return mConfirmedAt.load() != 0 && Age(aNow) < mLeaseDuration;
  }

  /** Time since the newest confirmed mark was sent. */
  [[nodiscard]] milliseconds Age(steady_time aNow) const
  {
    steady_time confirmed{ steady_time::duration(mConfirmedAt.load()) };
    return std::chrono::duration_cast<milliseconds>(aNow + mSuspendedTime() -
                                                    confirmed);
  }

  /** The same; absent if no mark was confirmed yet. */
  [[nodiscard]] std::optional<milliseconds> ConfirmedAge(steady_time aNow) const
  {
    return mConfirmedAt.load() == 0 ? std::nullopt : std::optional(Age(aNow));
  }

  [[nodiscard]] milliseconds LeaseDuration() const { return mLeaseDuration; }
};

}
