#include "decisions/routing/route_table.h"

#include "core/text.h"
#include "decisions/routing/route_policy.h"

#include <algorithm>

namespace hibiscusspool {

route_table
route_table::Create(const configuration_record& aConfiguration,
                    std::vector<std::string>& aInvalid)
{
  route_table table;
  table.mNumber = aConfiguration.mNumber;
  table.mLimits = aConfiguration.mLimits;
  table.mRequiresKeys = aConfiguration.mCallerTeams.has_value();
  if (aConfiguration.mCallerTeams) {
    table.mCallerTeams = *aConfiguration.mCallerTeams;
  }
  for (std::size_t team = 0; team < table.mCallerTeams.size(); ++team) {
    for (const std::string& key : table.mCallerTeams[team].mKeys) {
      table.mByKey.emplace(key, team);
    }
  }
  for (const route_record& route : aConfiguration.mRoutes) {
    auto policy = PolicyOf(route);
    if (!policy) {
      aInvalid.push_back(route.mName + ": " + policy.error().mDetail);
      continue;
    }
    table.mByVirtualHost[ToLower(route.mAuthority)].push_back(
      table.mRoutes.size());
    table.mRoutes.push_back(
      { route, service_set::Create(route.mShards), std::move(policy.value()) });
  }
  for (auto& [virtualHost, indices] : table.mByVirtualHost) {
    std::sort(indices.begin(),
              indices.end(),
              [&](std::size_t aOne, std::size_t aOther) {
                return table.mRoutes[aOne].mRoute.mPathPrefix.size() >
                       table.mRoutes[aOther].mRoute.mPathPrefix.size();
              });
  }
  return table;
}

const resolved_route*
route_table::Find(std::string_view aVirtualHost, std::string_view aPath) const
{
  std::string virtualHost =
    ToLower(aVirtualHost.substr(0, aVirtualHost.find(':')));
  auto found = mByVirtualHost.find(virtualHost);
  if (found == mByVirtualHost.end()) {
    return nullptr;
  }
  for (std::size_t index : found->second) {
    if (aPath.starts_with(mRoutes[index].mRoute.mPathPrefix)) {
      return &mRoutes[index];
    }
  }
  return nullptr;
}

const caller_team_record*
route_table::FindCallerTeam(std::string_view aKey) const
{
  auto found = mByKey.find(aKey);
  return found == mByKey.end() ? nullptr : &mCallerTeams[found->second];
}

}
