#pragma once

#include "core/clock.h"

#include <cstdint>

namespace hibiscusspool {

/**
 * Circuit breaker for one server, driven by the outcomes of regular requests.
 * Consecutive failures suspend the server for a time that doubles; afterwards,
 * one request at a time probes it. Sporadic failures show in the recent failure
 * rate.
 */
class server_health
{
  std::uint32_t mConsecutiveFailures = 0;
  steady_time mSuspendedUntil;
  /** Failure rate as of `mFailureRateAt`, from 0 to 1. */
  double mFailureRate = 0;
  steady_time mFailureRateAt;

  void RecordOutcome(double aFailed, steady_time aNow);

public:
  /** Consecutive failures after which a server is suspended. */
  static constexpr std::uint32_t kSuspendAfterFailures = 2;
  static constexpr milliseconds kMinSuspension{ 250 };
  static constexpr milliseconds kMaxSuspension{ 4000 };
  /** Weight of the latest attempt, so that about the last ten count. */
  static constexpr double kSampleWeight = 0.1;
  /** Time in which the rate decays to 1/e without new attempts. */
  static constexpr milliseconds kFailureRateDecay{ 3000 };

  void OnResponse(steady_time aNow);
  /** A refusal counts in the failure rate only: the server is at capacity. */
  void OnRefusal(steady_time aNow) { RecordOutcome(1, aNow); }
  void OnFailure(steady_time aNow);
  [[nodiscard]] bool IsSuspended(steady_time aNow) const
  {
    return aNow < mSuspendedUntil;
  }
  /** True while at most one request at a time should probe the server. */
  [[nodiscard]] bool NeedsProbe() const
  {
    return mConsecutiveFailures >= kSuspendAfterFailures;
  }
  /** Fraction of recent attempts that failed, from 0 to 1. */
  [[nodiscard]] double FailureRate(steady_time aNow) const;
};

}
