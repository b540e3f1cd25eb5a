#include "decisions/server_health.h"

#include <algorithm>

namespace hibiscusspool {

void
server_health::OnFailure(steady_time aNow)
{
  ++mFailures;
  if (mFailures < kSuspendAfter || IsSuspended(aNow)) {
    return;
  }
  std::uint32_t doublings = std::min(mFailures - kSuspendAfter, 8U);
  milliseconds pause = kFirstSuspension * (1U << doublings);
  mSuspendedUntil = aNow + std::min(pause, kLongestSuspension);
}

}
