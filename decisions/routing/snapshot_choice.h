#pragma once

#include "core/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace hibiscusspool {

/** The index versions from which a service can respond. */
struct service_snapshots
{
  service_id mService;
  std::vector<snapshot_number> mSnapshots;
};

struct snapshot_plan
{
  snapshot_number mSnapshot = 0;
  /** Number of services in scope that can respond from this index version. */
  std::size_t mAvailable = 0;
};

/**
 * The newest index version whose services reach the required coverage; if
 * none does, the one with the highest coverage. Nothing if no service has any.
 */
std::optional<snapshot_plan>
ChooseSnapshot(const std::vector<service_snapshots>& aServices,
               double aMinimumCoverage);

/** Number of services in scope that must respond to reach the coverage. */
std::size_t
NeededServices(std::size_t aInScope, double aMinimumCoverage);

}
