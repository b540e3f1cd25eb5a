#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/name_table.h"

#include <cmath>
#include <cstdint>
#include <string>

namespace hibiscusspool {

enum class rollout_state
{
  /** The target version gets a share of the service's requests. */
  Running,
  /** All requests go to the target version, and the old servers finish what
   * they have; operators are still told `running`. */
  Completing,
  Completed,
  RolledBack,
};

template<>
inline constexpr name_table<rollout_state, 4> kNames<rollout_state>{ {
  { rollout_state::Running, "running" },
  { rollout_state::Completing, "completing" },
  { rollout_state::Completed, "completed" },
  { rollout_state::RolledBack, "rolled_back" },
} };

/**
 * The move of a service's requests to servers of another software version. A
 * service has one record, that of its latest rollout. In a proposal, start
 * index 0 stands for an order, any other one for a step of that rollout.
 */
struct rollout_record
{
  service_id mService;
  log_index mVersion = 0;
  std::string mTargetVersion;
  /** Time from the order until which the rollout has to end. */
  milliseconds mDuration{ 0 };
  rollout_state mState = rollout_state::Running;
  /** Log index of the order, which identifies the rollout. */
  log_index mStartIndex = 0;
  /** When the order was applied, by the clock of the log. */
  wall_ms mStartedAt = 0;
  /** When the rollout ended, by the clock of the log; 0 while it runs. */
  wall_ms mEndedAt = 0;
  /** Time since the order that the leaders have measured so far. */
  milliseconds mElapsed{ 0 };
  /** Part of the first attempts that goes to the target version, 0 to 1. */
  double mShare = 0;
  /** Why the rollout ended, in words. */
  std::string mReason;

  /** The share as a whole number, for logs. */
  [[nodiscard]] std::int64_t SharePermille() const
  {
    constexpr double kPermille = 1000;
    return std::llround(mShare * kPermille);
  }

  [[nodiscard]] bool HasEnded() const
  {
    return mState == rollout_state::Completed ||
           mState == rollout_state::RolledBack;
  }

  bool operator==(const rollout_record&) const = default;
};

}
