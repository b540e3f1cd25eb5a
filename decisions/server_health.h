#pragma once

#include "core/clock.h"

#include <cstdint>

namespace hibiscusspool {

/**
 * Whether a server is worth sending to, from the answers of its own requests:
 * failures in a row suspend it for a time that doubles, and one request at a
 * time tries it again afterwards. A server that fails now and then is told by
 * the share of its attempts that failed lately.
 */
class server_health
{
  std::uint32_t mFailures = 0;
  steady_time mSuspendedUntil;
  /** Failed share as of `mShareAt`, from 0 to 1. */
  double mFailedShare = 0;
  steady_time mShareAt;

  void NoteOutcome(double aFailed, steady_time aNow);

public:
  /** Failures in a row after which a server is suspended. */
  static constexpr std::uint32_t kSuspendAfter = 2;
  static constexpr milliseconds kFirstSuspension{ 250 };
  static constexpr milliseconds kLongestSuspension{ 4000 };
  /** Weight of the newest attempt, so that about ten count. */
  static constexpr double kNewestWeight = 0.1;
  /** Time in which the share falls to a third without new attempts. */
  static constexpr milliseconds kForgetting{ 3000 };

  void OnAnswer(steady_time aNow);
  /** A refusal counts in the failed share alone: the server has no room. */
  void OnRefusal(steady_time aNow) { NoteOutcome(1, aNow); }
  void OnFailure(steady_time aNow);
  [[nodiscard]] bool IsSuspended(steady_time aNow) const
  {
    return aNow < mSuspendedUntil;
  }
  /** True while only one request at a time should try the server. */
  [[nodiscard]] bool NeedsProbe() const { return mFailures >= kSuspendAfter; }
  /** Share of the attempts of late that failed, from 0 to 1. */
  [[nodiscard]] double FailureRate(steady_time aNow) const;
};

}
