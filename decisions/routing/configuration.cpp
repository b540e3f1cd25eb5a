#include "decisions/routing/configuration.h"

#include "decisions/routing/route_policy.h"

#include <algorithm>
#include <map>
#include <set>

namespace hibiscusspool {

namespace {

/** Checks that the route's targets are services of the document. */
result<void, configuration_error>
CheckTargets(const route_record& aRoute, const std::set<service_id>& aServices)
{
  if (aRoute.mBackends.empty() && aRoute.mShards.empty()) {
    return Fail(configuration_error::NoTarget,
                "Route \"" + aRoute.mName +
                  "\" has neither backends nor shards.");
  }
  double totalWeight = 0;
  std::vector<service_id> referenced = aRoute.mShards;
  for (const weighted_service& backend : aRoute.mBackends) {
    totalWeight += backend.mWeight;
    referenced.push_back(backend.mService);
  }
  for (const service_id& service : referenced) {
    if (!aServices.contains(service)) {
      return Fail(configuration_error::UnknownService,
                  "Route \"" + aRoute.mName + "\" names service \"" +
                    service.mValue +
                    "\", which the configuration doesn't define.");
    }
  }
  if (!aRoute.mBackends.empty() && totalWeight <= 0) {
    return Fail(configuration_error::NoWeight,
                "The weights of route \"" + aRoute.mName +
                  "\" must add up to more than 0.");
  }
  return boost::outcome_v2::success();
}

result<void, configuration_error>
CheckRoute(const route_record& aRoute, const std::set<service_id>& aServices)
{
  if (aRoute.mTimeout <= milliseconds(0)) {
    return Fail(configuration_error::NoTimeout,
                "Route \"" + aRoute.mName +
                  "\" must have a timeout of at least 1 ms.");
  }
  if (!aRoute.mPathPrefix.starts_with('/') ||
      !aRoute.mPathPrefix.ends_with('/')) {
    return Fail(configuration_error::BadPrefix,
                "The path prefix of route \"" + aRoute.mName +
                  "\" must begin and end with a slash.");
  }
  auto targets = CheckTargets(aRoute, aServices);
  if (!targets) {
    return targets.error();
  }
  auto policy = PolicyOf(aRoute);
  if (!policy) {
    return Fail(configuration_error::BadPolicy,
                "Route \"" + aRoute.mName + "\": " + policy.error().mDetail);
  }
  return boost::outcome_v2::success();
}

/** True for a name that a header field can carry unchanged. */
bool
IsFieldValue(const std::string& aName)
{
  auto isControl = [](char aByte) {
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    auto byte = static_cast<unsigned char>(aByte);
    return byte < kFirstPrintable || byte == kDelete;
  };
  return !aName.empty() && aName.front() != ' ' && aName.back() != ' ' &&
         std::none_of(aName.begin(), aName.end(), isControl);
}

/** Checks that servers can be told the names of all teams of callers. */
result<void, configuration_error>
CheckTeamNames(const std::vector<caller_team_record>& aTeams)
{
  for (const caller_team_record& team : aTeams) {
    if (!IsFieldValue(team.mTeam.mValue)) {
      return Fail(configuration_error::BadTeamName,
                  "The name of a team must not be empty, begin or end with a "
                  "space, or have control characters.");
    }
  }
  return boost::outcome_v2::success();
}

/** Checks that each key identifies one team. */
result<void, configuration_error>
CheckKeys(const std::vector<caller_team_record>& aTeams)
{
  std::map<std::string, team_id> holders;
  for (const caller_team_record& team : aTeams) {
    for (const std::string& key : team.mKeys) {
      auto [holder, isNew] = holders.emplace(key, team.mTeam);
      if (!isNew && holder->second != team.mTeam) {
        return Fail(configuration_error::SharedKey,
                    "Teams \"" + holder->second.mValue + "\" and \"" +
                      team.mTeam.mValue + "\" share a key.");
      }
    }
  }
  return boost::outcome_v2::success();
}

}

result<void, configuration_error>
CheckConfiguration(const configuration_record& aConfiguration)
{
  std::set<service_id> services;
  for (const service_profile& service : aConfiguration.mServices) {
    services.insert(service.mService);
  }
  std::set<std::pair<std::string, std::string>> routeKeys;
  for (const route_record& route : aConfiguration.mRoutes) {
    auto checked = CheckRoute(route, services);
    if (!checked) {
      return checked.error();
    }
    bool isNew = routeKeys.emplace(route.mAuthority, route.mPathPrefix).second;
    if (!isNew) {
      return Fail(configuration_error::DuplicateRoute,
                  "Two routes have virtual host \"" + route.mAuthority +
                    "\" and path prefix \"" + route.mPathPrefix + "\".");
    }
  }
  if (!aConfiguration.mCallerTeams) {
    return boost::outcome_v2::success();
  }
  auto named = CheckTeamNames(*aConfiguration.mCallerTeams);
  if (!named) {
    return named.error();
  }
  return CheckKeys(*aConfiguration.mCallerTeams);
}

}
