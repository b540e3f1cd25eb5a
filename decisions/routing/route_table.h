#pragma once

#include "decisions/routing/configuration.h"
#include "decisions/routing/team_policy.h"

#include <map>
#include <string_view>

namespace hibiscusspool {

/** A route, the shards that its requests are sent to, and the policy of its
 * team. */
struct resolved_route
{
  route_record mRoute;
  service_set mShards;
  team_policy mPolicy;
};

/** The routes of one configuration by virtual host and longest path prefix. */
class route_table
{
  configuration_number mNumber = 0;
  caller_limits mLimits;
  std::vector<resolved_route> mRoutes;
  /** Indices into `mRoutes` by virtual host, with the longest prefix first. */
  std::map<std::string, std::vector<std::size_t>, std::less<>> mByVirtualHost;
  bool mRequiresKeys = false;
  std::vector<caller_team_record> mCallerTeams;
  /** Indices into `mCallerTeams` by key. */
  std::map<std::string, std::size_t, std::less<>> mByKey;

public:
  /** Omits routes whose policy is invalid and reports them in `aInvalid`. */
  static route_table Create(const configuration_record& aConfiguration,
                            std::vector<std::string>& aInvalid);

  /** The route of a request, or null; the host may include a port. */
  [[nodiscard]] const resolved_route* Find(std::string_view aVirtualHost,
                                           std::string_view aPath) const;
  /** True if requests need a key, unless their route is public. */
  [[nodiscard]] bool RequiresKeys() const { return mRequiresKeys; }
  /** The team that holds a key, or null. */
  [[nodiscard]] const caller_team_record* FindCallerTeam(
    std::string_view aKey) const;
  [[nodiscard]] const std::vector<caller_team_record>& CallerTeams() const
  {
    return mCallerTeams;
  }
  [[nodiscard]] configuration_number Number() const { return mNumber; }
  [[nodiscard]] const caller_limits& Limits() const { return mLimits; }
};

}
