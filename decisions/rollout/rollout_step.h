#pragma once

#include "core/name_table.h"
#include "decisions/rollout/rollout_counts.h"
#include "decisions/state/rollout_record.h"

#include <string>

namespace hibiscusspool {

enum class rollout_verdict
{
  Keep,
  RollBack,
  Complete,
};

template<>
inline constexpr name_table<rollout_verdict, 3> kNames<rollout_verdict>{ {
  { rollout_verdict::Keep, "keep" },
  { rollout_verdict::RollBack, "roll_back" },
  { rollout_verdict::Complete, "complete" },
} };

/** The part of a service's requests that a bad version may get. */
struct exposure_limits
{
  /** Of all requests that reach the service, 0 to 1. */
  double mShare = 0.1;
  /** Requests in addition to the share. */
  double mSlack = 50;
};

struct rollout_totals
{
  std::uint64_t mNewRequests = 0;
  std::uint64_t mNewFailures = 0;
  std::uint64_t mNewAnswers = 0;
  std::uint64_t mOldRequests = 0;
  std::uint64_t mOldFailures = 0;
};

struct rollout_step
{
  rollout_verdict mVerdict = rollout_verdict::Keep;
  /** Share of the first attempts for the target version from now on. */
  double mShare = 0;
  /** Why, for records and logs. */
  std::string mReason;
};

rollout_totals
TotalsOf(const rollout_evidence& aEvidence);

/** The share with which a rollout starts, before the load is known. */
double
InitialShare(const exposure_limits& aLimits);

/**
 * The next step of a rollout that has not ended. `aNow` is the time since the
 * order. `Complete` moves a running rollout to `Completing` and that one to
 * `Completed`.
 *
 * The target version is worse if its failures, or its slow responses, are much
 * likelier with a rate of its own than with that of the other versions on the
 * same routes in the same time (`VersionOdds`), on one route or on all. Of
 * several old servers, the worst is left out of that rate: one machine in
 * trouble must not hide a bad version.
 */
rollout_step
StepRollout(const rollout_record& aRecord,
            const rollout_evidence& aEvidence,
            const exposure_limits& aLimits,
            milliseconds aNow);

}
