#pragma once

#include "decisions/configuration.h"
#include "decisions/team_policy.h"

#include <map>
#include <string_view>

namespace hibiscusspool {

/** A route and the policy of its team, as one configuration has them. */
struct resolved_route
{
  route_record mRoute;
  team_policy mPolicy;
};

/** The routes of one configuration, found by host and longest path prefix. */
class route_table
{
  configuration_number mNumber = 0;
  caller_limits mLimits;
  std::vector<resolved_route> mRoutes;
  /** Places in `mRoutes` by virtual host, the longest prefix first. */
  std::map<std::string, std::vector<std::size_t>, std::less<>> mByHost;

public:
  /** Leaves out routes whose policy does not fit and names them. */
  static route_table Create(const configuration_record& aConfiguration,
                            std::vector<std::string>& aUnfit);

  /** The route of a request, or nothing; the host may carry a port. */
  [[nodiscard]] const resolved_route* Find(std::string_view aHost,
                                           std::string_view aPath) const;
  [[nodiscard]] configuration_number Number() const { return mNumber; }
  [[nodiscard]] const caller_limits& Limits() const { return mLimits; }
};

}
