#pragma once

#include "core/clock.h"

#include <cstdint>

namespace hibiscusspool {

/**
 * Whether a server is worth sending to, from the answers of its own requests:
 * failures in a row suspend it for a time that doubles, and one request at a
 * time tries it again afterwards.
 */
class server_health
{
  std::uint32_t mFailures = 0;
  steady_time mSuspendedUntil;

public:
  /** Failures in a row after which a server is suspended. */
  static constexpr std::uint32_t kSuspendAfter = 2;
  static constexpr milliseconds kFirstSuspension{ 250 };
  static constexpr milliseconds kLongestSuspension{ 4000 };

  void OnAnswer() { mFailures = 0; }
  void OnFailure(steady_time aNow);
  [[nodiscard]] bool IsSuspended(steady_time aNow) const
  {
    return aNow < mSuspendedUntil;
  }
  /** True while only one request at a time should try the server. */
  [[nodiscard]] bool IsOnTrial() const { return mFailures >= kSuspendAfter; }
};

}
