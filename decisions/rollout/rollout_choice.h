#pragma once

#include "core/clock.h"
#include "core/name_table.h"
#include "decisions/state/rollout_record.h"

#include <cstdint>
#include <vector>

namespace hibiscusspool {

/** Servers of a service, by their software version. */
enum class version_side
{
  Any,
  /** Servers of the target version. */
  Target,
  /** All other servers. */
  Other,
  /** The target version's server on which the load is concentrated now. */
  Concentrated,
};

template<>
inline constexpr name_table<version_side, 4> kNames<version_side>{ {
  { version_side::Any, "any" },
  { version_side::Target, "target" },
  { version_side::Other, "other" },
  { version_side::Concentrated, "concentrated" },
} };

/** What a host knows when it chooses a server during a rollout. */
struct rollout_view
{
  /** Servers of each side that can answer. */
  std::size_t mTargets = 0;
  std::size_t mOthers = 0;
  /** An other server is not suspended for its failures. */
  bool mHasHealthyOther = false;
  /** This host's view of the system is confirmed. */
  bool mIsConfirmed = true;
  /** The attempt is a retry or a hedge. */
  bool mIsExtra = false;
  /** Random number of the request, the same in each of its attempts. */
  std::uint64_t mDraw = 0;
  /** Time from when this host learned of the rollout to the request's first
   * attempt. */
  milliseconds mSinceLearned{ 0 };
};

/**
 * The sides to try in order; an attempt for which none has a free server
 * waits.
 *
 * Each request draws at random whether the target version gets it, so that the
 * sum over any number of hosts keeps to the share without their counts. After
 * the first seconds, the draws are concentrated in time and on one server: in
 * these windows it has the load that each server has after the rollout, and a
 * fault that shows under load only shows.
 */
std::vector<version_side>
SidesToTry(const rollout_record& aRecord, const rollout_view& aView);

/** Position, among the target version's servers, of the one on which the load
 * is concentrated. */
std::size_t
ConcentratedPosition(std::size_t aTargets, milliseconds aSinceLearned);

}
