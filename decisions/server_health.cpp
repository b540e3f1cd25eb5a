#include "decisions/server_health.h"

#include <algorithm>
#include <cmath>

namespace hibiscusspool {

double
server_health::FailureRate(steady_time aNow) const
{
  if (mFailedShare == 0) {
    return 0;
  }
  std::chrono::duration<double> age = aNow - mShareAt;
  std::chrono::duration<double> forgetting = kForgetting;
  return mFailedShare * std::exp(-age / forgetting);
}

void
server_health::NoteOutcome(double aFailed, steady_time aNow)
{
  double share = FailureRate(aNow);
  mFailedShare = share + kNewestWeight * (aFailed - share);
  mShareAt = aNow;
}

void
server_health::OnAnswer(steady_time aNow)
{
  NoteOutcome(0, aNow);
  mFailures = 0;
}

void
server_health::OnFailure(steady_time aNow)
{
  NoteOutcome(1, aNow);
  ++mFailures;
  if (mFailures < kSuspendAfter || IsSuspended(aNow)) {
    return;
  }
  std::uint32_t doublings = std::min(mFailures - kSuspendAfter, 8U);
  milliseconds pause = kFirstSuspension * (1U << doublings);
  mSuspendedUntil = aNow + std::min(pause, kLongestSuspension);
}

}
