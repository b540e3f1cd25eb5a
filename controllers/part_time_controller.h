#pragma once

#include "core/ids.h"
#include "core/sharded_map.h"
#include "decisions/servers/server_limit.h"

#include <optional>

namespace hibiscusspool {

/**
 * Service times of the parts of fan-outs by team, over all its services. There
 * are enough samples soon after a start, and they tell teams with short
 * requests from those with long ones.
 */
class part_time_controller
{
  double mQuantile;
  sharded_map<team_id, std::optional<quantile_tracker>> mTrackers;

public:
  /** `aQuantile` is the part of the attempts that are not slow. */
  explicit part_time_controller(double aQuantile)
    : mQuantile(aQuantile)
  {
  }

  void Add(const team_id& aTeam, microseconds aSample)
  {
    mTrackers.Update(aTeam, [&](std::optional<quantile_tracker>& aTracker) {
      if (!aTracker) {
        aTracker.emplace(mQuantile);
      }
      aTracker->Add(aSample);
    });
  }

  /** Time after which an attempt counts as slow; nothing until there are enough
   * samples. */
  [[nodiscard]] std::optional<microseconds> SlowThreshold(
    const team_id& aTeam) const
  {
    auto tracker = mTrackers.Get(aTeam);
    if (!tracker || !*tracker || !(*tracker)->HasEnoughSamples()) {
      return std::nullopt;
    }
    return (*tracker)->Value();
  }
};

}
