#pragma once

#include "decisions/routing/snapshot_choice.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct plan_hooks
{
  std::function<std::vector<service_snapshots>(const std::vector<service_id>&)>
    mSnapshots;
};

/** Pins a query to one index version. */
filter
MakePlan(plan_hooks aHooks);

}
