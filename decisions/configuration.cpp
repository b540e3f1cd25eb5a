#include "decisions/configuration.h"

#include "decisions/route_policy.h"

#include <set>

namespace hibiscusspool {

namespace {

/** Checks the targets of one route against the services of the document. */
result<void, configuration_error>
CheckTargets(const route_record& aRoute, const std::set<service_id>& aKnown)
{
  if (aRoute.mBackends.empty() && aRoute.mShards.empty()) {
    return Fail(configuration_error::NoTarget,
                "Route \"" + aRoute.mName + "\" names no service.");
  }
  double weights = 0;
  std::vector<service_id> named = aRoute.mShards;
  for (const weighted_service& backend : aRoute.mBackends) {
    weights += backend.mWeight;
    named.push_back(backend.mService);
  }
  for (const service_id& service : named) {
    if (!aKnown.contains(service)) {
      return Fail(configuration_error::UnknownService,
                  "Route \"" + aRoute.mName + "\" names service \"" +
                    service.mValue + "\", which is not in the document.");
    }
  }
  if (!aRoute.mBackends.empty() && weights <= 0) {
    return Fail(configuration_error::NoWeight,
                "The weights of route \"" + aRoute.mName + "\" sum to 0.");
  }
  return boost::outcome_v2::success();
}

result<void, configuration_error>
CheckRoute(const route_record& aRoute, const std::set<service_id>& aKnown)
{
  if (aRoute.mTimeout <= milliseconds(0)) {
    return Fail(configuration_error::NoTimeout,
                "Route \"" + aRoute.mName + "\" has a timeout of 0.");
  }
  if (!aRoute.mPathPrefix.starts_with('/') ||
      !aRoute.mPathPrefix.ends_with('/')) {
    return Fail(configuration_error::BadPrefix,
                "The prefix of route \"" + aRoute.mName +
                  "\" must begin and end with a slash.");
  }
  auto targets = CheckTargets(aRoute, aKnown);
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

}

result<void, configuration_error>
CheckConfiguration(const configuration_record& aConfiguration)
{
  std::set<service_id> known;
  for (const service_profile& service : aConfiguration.mServices) {
    known.insert(service.mService);
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const route_record& route : aConfiguration.mRoutes) {
    auto checked = CheckRoute(route, known);
    if (!checked) {
      return checked.error();
    }
    bool isNew = places.emplace(route.mAuthority, route.mPathPrefix).second;
    if (!isNew) {
      return Fail(configuration_error::DuplicateRoute,
                  "Two routes share host \"" + route.mAuthority +
                    "\" and prefix \"" + route.mPathPrefix + "\".");
    }
  }
  return boost::outcome_v2::success();
}

}
