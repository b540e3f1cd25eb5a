#pragma once

#include "core/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace hibiscusspool {

/** The index versions that each service in scope can answer from now. */
struct service_snapshots
{
  service_id mService;
  std::vector<snapshot_number> mSnapshots;
};

struct snapshot_plan
{
  snapshot_number mSnapshot = 0;
  /** Services in scope that can answer from it. */
  std::size_t mAvailable = 0;
};

/**
 * The newest index version whose services reach the coverage asked for; if
 * none does, the one that covers most. Nothing when no service has any.
 */
std::optional<snapshot_plan>
ChooseSnapshot(const std::vector<service_snapshots>& aServices,
               double aMinimumCoverage);

/** Services that must answer to reach a coverage of all in scope. */
std::size_t
NeededServices(std::size_t aInScope, double aMinimumCoverage);

}
