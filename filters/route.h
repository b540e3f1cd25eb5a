#pragma once

#include "decisions/routing/route_table.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct route_hooks
{
  /** The routes in force, or nothing before the first configuration. */
  std::function<std::shared_ptr<const route_table>()> mRoutes;
  std::function<steady_time()> mNow;
  /** The routes were confirmed so recently that no other configuration is due
   * to be in force. */
  std::function<bool(steady_time)> mAreRoutesConfirmed;
  /** The service for the next request of a route without shards. */
  std::function<service_id(const route_record&)> mNextService;
  /** Part of the latency objective reserved for the transfer to the caller. */
  milliseconds mObjectiveMargin{ 0 };
  /** The same for fan-outs that are divided among entry hosts. */
  milliseconds mDividedMargin{ 0 };
};

/** Finds the route of a forwarded request and sets its services and
 * deadlines. */
filter
MakeRoute(route_hooks aHooks);

}
