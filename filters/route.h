#pragma once

#include "decisions/route_table.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct route_hooks
{
  /** The routes in force, or nothing before the first configuration. */
  std::function<std::shared_ptr<const route_table>()> mRoutes;
  /** The service that takes the next request of a route without shards. */
  std::function<service_id(const route_record&)> mNextService;
  /** Time kept back from the objective for the way to the caller. */
  milliseconds mObjectiveMargin{ 0 };
};

/** Finds a forwarded request's route, and with it services and times. */
filter
MakeRoute(route_hooks aHooks);

}
