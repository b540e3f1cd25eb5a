#include "decisions/routing/subquery_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

using service_list = std::vector<const fan_out_service*>;

bool
CanAnswerIn(const fan_out_service& aService, const failure_domain_id& aDomain)
{
  return std::find(aService.mDomains.begin(),
                   aService.mDomains.end(),
                   aDomain) != aService.mDomains.end();
}

/** The domain that can answer most of the services; empty if none can. */
failure_domain_id
WidestDomain(const service_list& aServices,
             const std::map<failure_domain_id, std::size_t>& aAssigned,
             std::uint64_t aSeed)
{
  std::map<failure_domain_id, std::size_t> counts;
  for (const fan_out_service* service : aServices) {
    for (const failure_domain_id& domain : service->mDomains) {
      ++counts[domain];
    }
  }
  auto rank = [&](const auto& aEntry) {
    auto assigned = aAssigned.find(aEntry.first);
    const std::string& name = aEntry.first.mValue;
    return std::tuple(aEntry.second,
                      assigned == aAssigned.end() ? 1 : 0,
                      XXH3_64bits_withSeed(name.data(), name.size(), aSeed));
  };
  auto widest = std::max_element(
    counts.begin(), counts.end(), [&](const auto& aOne, const auto& aOther) {
      return rank(aOne) < rank(aOther);
    });
  return widest == counts.end() ? failure_domain_id{} : widest->first;
}

/** Moves up to `aCount` services that the domain can answer into a group. */
subquery_group
TakeGroup(service_list& aServices,
          const failure_domain_id& aDomain,
          std::size_t aCount)
{
  subquery_group group;
  group.mFailureDomain = aDomain;
  service_list left;
  for (const fan_out_service* service : aServices) {
    bool isTaken =
      group.mServices.size() < aCount && CanAnswerIn(*service, aDomain);
    if (isTaken) {
      group.mServices.push_back(service->mService);
    } else {
      left.push_back(service);
    }
  }
  aServices = std::move(left);
  return group;
}

}

std::size_t
SubqueryGroupCount(std::size_t aServices, const subquery_costs& aCosts)
{
  // Other costs than processor time speak for a division only if it saves a
  // clear part of the time.
  constexpr double kMaxFraction = 0.8;
  auto services = static_cast<double>(aServices);
  double groups =
    std::round(std::sqrt(services / (2 * aCosts.mAttemptsPerSubquery)));
  if (groups < 2) {
    return 0;
  }
  auto attempt = static_cast<double>(aCosts.mAttempt.count());
  double direct = services * attempt;
  // A group's attempts, and the sending and receiving of all subqueries.
  double divided =
    (services / groups + 2 * groups * aCosts.mAttemptsPerSubquery) * attempt +
    static_cast<double>(aCosts.mHop.count());
  return divided < direct * kMaxFraction ? static_cast<std::size_t>(groups) : 0;
}

std::vector<subquery_group>
PlanSubqueries(const std::vector<fan_out_service>& aServices,
               const failure_domain_id& aOwnDomain,
               std::size_t aGroups,
               std::uint64_t aSeed)
{
  service_list own;
  service_list others;
  for (const fan_out_service& service : aServices) {
    (CanAnswerIn(service, aOwnDomain) ? own : others).push_back(&service);
  }
  std::vector<subquery_group> groups;
  std::size_t perGroup =
    (aServices.size() + aGroups - 1) / std::max<std::size_t>(1, aGroups);
  std::size_t ownGroups = (own.size() + perGroup - 1) / perGroup;
  for (std::size_t left = ownGroups; left > 0; --left) {
    // Groups of the own domain are of equal size.
    std::size_t count = (own.size() + left - 1) / left;
    groups.push_back(TakeGroup(own, aOwnDomain, count));
  }
  std::map<failure_domain_id, std::size_t> assigned;
  while (!others.empty()) {
    failure_domain_id domain = WidestDomain(others, assigned, aSeed);
    if (domain.IsEmpty()) {
      break;
    }
    groups.push_back(TakeGroup(others, domain, perGroup));
    assigned[domain] += groups.back().mServices.size();
  }
  return groups;
}

}
