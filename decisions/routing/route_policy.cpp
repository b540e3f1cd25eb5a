#include "decisions/routing/route_policy.h"

#include <algorithm>
#include <sstream>

namespace hibiscusspool {

namespace {

/** Concurrent requests of one route over all hosts. */
constexpr std::string_view kRouteConcurrency = "100000";

std::string
JoinServices(const std::vector<service_id>& aServices)
{
  std::string joined;
  for (const service_id& service : aServices) {
    joined += joined.empty() ? "" : ",";
    joined += service.mValue;
  }
  return joined;
}

std::string
FormatWait(milliseconds aWait)
{
  auto clamped = std::clamp<std::int64_t>(aWait.count(), 1, kMaxWait.count());
  return std::to_string(clamped);
}

}

const template_record&
RouteTemplate()
{
  static const template_record sTemplate{
    template_id{ "route" },
    0,
    { { "services", "${services}" },
      { "minimum_coverage", "${minimum_coverage}" },
      { "wait_ms", "${wait_ms}" },
      { "latency_objective_ms", "${latency_objective_ms}" },
      { "concurrency", std::string(kRouteConcurrency) } },
    {}
  };
  return sTemplate;
}

team_record
TeamOf(const route_record& aRoute)
{
  std::vector<service_id> services = aRoute.mShards;
  for (const weighted_service& backend : aRoute.mBackends) {
    services.push_back(backend.mService);
  }
  std::ostringstream coverage;
  coverage << (aRoute.mShards.empty() ? 1.0 : aRoute.mMinimumCoverage);
  team_record team;
  team.mTeam.mValue = aRoute.mName;
  team.mTemplate = RouteTemplate().mTemplate;
  team.mParameters = {
    { "services", JoinServices(services) },
    { "minimum_coverage", coverage.str() },
    { "wait_ms", FormatWait(aRoute.mTimeout) },
    { "latency_objective_ms", FormatWait(aRoute.mLatencyObjective) },
  };
  return team;
}

result<team_policy, policy_error>
PolicyOf(const route_record& aRoute)
{
  return ExpandTemplate(RouteTemplate(), TeamOf(aRoute));
}

}
