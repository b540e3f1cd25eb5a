#include "decisions/routing/subquery_plan.h"

#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

failure_domain_id
Domain(int aNumber)
{
  return { "d" + std::to_string(aNumber % 5) };
}

/** Services whose three servers are in neighbouring domains, in turn. */
std::vector<fan_out_service>
Services(int aCount)
{
  std::vector<fan_out_service> services;
  for (int number = 0; number < aCount; ++number) {
    services.push_back(
      { service_id{ "s" + std::to_string(number) },
        { Domain(number), Domain(number + 1), Domain(number + 2) } });
  }
  return services;
}

std::map<service_id, std::vector<failure_domain_id>>
DomainsOf(const std::vector<fan_out_service>& aServices)
{
  std::map<service_id, std::vector<failure_domain_id>> domains;
  for (const fan_out_service& service : aServices) {
    domains[service.mService] = service.mDomains;
  }
  return domains;
}

}

TEST_GROUP(subquery_plan){};

TEST(subquery_plan, SmallFanOutsAreNotDivided)
{
  subquery_costs costs{ microseconds(470), 2, microseconds(3000) };
  LONGS_EQUAL(0, SubqueryGroupCount(1, costs));
  LONGS_EQUAL(0, SubqueryGroupCount(10, costs));
  LONGS_EQUAL(0, SubqueryGroupCount(15, costs));
}

TEST(subquery_plan, LargeFanOutsOnSlowHostsAreDivided)
{
  subquery_costs slower{ microseconds(950), 2, microseconds(3000) };
  LONGS_EQUAL(3, SubqueryGroupCount(36, slower));
  subquery_costs costs{ microseconds(670), 2, microseconds(3000) };
  LONGS_EQUAL(5, SubqueryGroupCount(90, costs));
  LONGS_EQUAL(6, SubqueryGroupCount(135, costs));
}

TEST(subquery_plan, FastHostsAskTheServersThemselves)
{
  subquery_costs costs{ microseconds(10), 2, microseconds(3000) };
  LONGS_EQUAL(0, SubqueryGroupCount(90, costs));
}

TEST(subquery_plan, EachServiceIsAskedOnceWhereItHasAServer)
{
  for (int own = 0; own < 5; ++own) {
    for (int count : { 36, 90, 135 }) {
      auto services = Services(count);
      auto domains = DomainsOf(services);
      std::set<service_id> seen;
      auto groups = PlanSubqueries(services, Domain(own), 5, 17);
      for (const subquery_group& group : groups) {
        CHECK(!group.mServices.empty());
        for (const service_id& service : group.mServices) {
          CHECK(seen.insert(service).second);
          const auto& known = domains[service];
          CHECK(std::find(known.begin(), known.end(), group.mFailureDomain) !=
                known.end());
        }
      }
      LONGS_EQUAL(count, seen.size());
    }
  }
}

TEST(subquery_plan, OwnDomainAnswersAllThatItCanAndFewOthersAreAsked)
{
  auto groups = PlanSubqueries(Services(90), Domain(2), 5, 17);
  std::size_t own = 0;
  std::size_t others = 0;
  for (const subquery_group& group : groups) {
    CHECK(group.mServices.size() <= 18);
    bool isOwn = group.mFailureDomain == Domain(2);
    own += isOwn ? group.mServices.size() : 0;
    others += isOwn ? 0 : 1;
  }
  LONGS_EQUAL(54, own);
  LONGS_EQUAL(2, others);
}

TEST(subquery_plan, HostsWithDifferentSeedsPreferDifferentDomains)
{
  std::set<failure_domain_id> asked;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (const auto& group : PlanSubqueries(Services(90), Domain(0), 5, seed)) {
      asked.insert(group.mFailureDomain);
    }
  }
  CHECK(asked.size() >= 3);
}

TEST(subquery_plan, ServicesThatNobodyAnswersAreInNoGroup)
{
  auto services = Services(30);
  services[7].mDomains.clear();
  std::size_t planned = 0;
  for (const auto& group : PlanSubqueries(services, Domain(1), 3, 5)) {
    planned += group.mServices.size();
  }
  LONGS_EQUAL(29, planned);
}
