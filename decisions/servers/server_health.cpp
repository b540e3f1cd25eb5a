#include "decisions/servers/server_health.h"

#include <algorithm>
#include <cmath>

namespace hibiscusspool {

double
server_health::FailureRate(steady_time aNow) const
{
  if (mFailureRate == 0) {
    return 0;
  }
  std::chrono::duration<double> age = aNow - mFailureRateAt;
  std::chrono::duration<double> decay = kFailureRateDecay;
  return mFailureRate * std::exp(-age / decay);
}

void
server_health::RecordOutcome(double aFailed, steady_time aNow)
{
  double rate = FailureRate(aNow);
  mFailureRate = rate + kSampleWeight * (aFailed - rate);
  mFailureRateAt = aNow;
}

void
server_health::OnResponse(steady_time aNow)
{
  RecordOutcome(0, aNow);
  mConsecutiveFailures = 0;
}

void
server_health::OnFailure(steady_time aNow)
{
  RecordOutcome(1, aNow);
  ++mConsecutiveFailures;
  if (mConsecutiveFailures < kSuspendAfterFailures || IsSuspended(aNow)) {
    return;
  }
  std::uint32_t doublings =
    std::min(mConsecutiveFailures - kSuspendAfterFailures, 8U);
  milliseconds suspension = kMinSuspension * (1U << doublings);
  mSuspendedUntil = aNow + std::min(suspension, kMaxSuspension);
}

}
