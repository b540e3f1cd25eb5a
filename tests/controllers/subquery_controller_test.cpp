#include "controllers/subquery_controller.h"

#include <algorithm>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };
constexpr int kDomains = 5;
constexpr int kHostsPerDomain = 58;

failure_domain_id
Domain(int aNumber)
{
  return { "d" + std::to_string(aNumber % kDomains) };
}

std::vector<entry_host_record>
Hosts()
{
  std::vector<entry_host_record> hosts;
  for (int domain = 0; domain < kDomains; ++domain) {
    for (int number = 0; number < kHostsPerDomain; ++number) {
      entry_host_record host;
      host.mHost.mValue =
        "10." + std::to_string(domain) + ".0." + std::to_string(number);
      host.mFailureDomain = Domain(domain);
      host.mSubqueryAddress = host.mHost.mValue + ":7001";
      hosts.push_back(host);
    }
  }
  return hosts;
}

/** Each service has servers in three neighbouring domains. */
std::vector<fan_out_service>
DomainsOf(const std::vector<service_id>& aServices)
{
  std::vector<fan_out_service> all;
  int number = 0;
  for (const service_id& service : aServices) {
    all.push_back(
      { service, { Domain(number), Domain(number + 1), Domain(number + 2) } });
    ++number;
  }
  return all;
}

subquery_controller
Controller(const entry_host_record& aSelf)
{
  subquery_config config;
  config.mSelf = aSelf.mHost;
  config.mFailureDomain = aSelf.mFailureDomain;
  config.mCosts.mAttempt = microseconds(670);
  return { config,
           [](const std::vector<service_id>& aServices, steady_time /*aNow*/) {
             return DomainsOf(aServices);
           } };
}

}

TEST_GROUP(subquery_controller)
{
  std::vector<entry_host_record> mHosts = Hosts();
  std::vector<service_id> mServices;

  void setup() override
  {
    for (int number = 0; number < 90; ++number) {
      mServices.push_back(service_id{ "s" + std::to_string(number) });
    }
  }
};

TEST(subquery_controller, HostsOfTheServersDomainAskThem)
{
  subquery_controller controller = Controller(mHosts[0]);
  controller.SetHosts(mHosts);
  auto plan = controller.Plan(mServices, kNow);
  std::size_t planned = 0;
  for (const assigned_subquery& subquery : plan) {
    planned += subquery.mServices.size();
    CHECK(subquery.mHost != mHosts[0].mHost);
  }
  LONGS_EQUAL(5, plan.size());
  LONGS_EQUAL(90, planned);
}

TEST(subquery_controller, LoadIsSpreadAndEachHostAsksFewServers)
{
  std::map<host_id, int> load;
  std::map<host_id, std::set<service_id>> services;
  for (const entry_host_record& host : mHosts) {
    subquery_controller controller = Controller(host);
    controller.SetHosts(mHosts);
    for (int round = 0; round < 3; ++round) {
      for (const auto& subquery : controller.Plan(mServices, kNow)) {
        ++load[subquery.mHost];
        services[subquery.mHost].insert(subquery.mServices.begin(),
                                        subquery.mServices.end());
      }
    }
  }
  // 15 subqueries for each host on average.
  int most = 0;
  for (const auto& [host, count] : load) {
    most = std::max(most, count);
  }
  CHECK(most <= 60);
  std::size_t servers = 0;
  for (const auto& [host, asked] : services) {
    servers += asked.size();
  }
  // A host has servers of 54 services in its domain.
  CHECK(servers / services.size() <= 40);
}

TEST(subquery_controller, HostsThatFailedAreLeftAloneForATime)
{
  subquery_controller controller = Controller(mHosts[0]);
  controller.SetHosts(mHosts);
  std::set<host_id> failed;
  for (const assigned_subquery& subquery : controller.Plan(mServices, kNow)) {
    controller.Finish(subquery.mHost, true, kNow);
    failed.insert(subquery.mHost);
  }
  for (const auto& subquery : controller.Plan(mServices, kNow)) {
    CHECK(!failed.contains(subquery.mHost));
    controller.Finish(subquery.mHost, false, kNow);
  }
  std::set<host_id> later;
  for (int round = 0; round < 10; ++round) {
    for (const auto& subquery :
         controller.Plan(mServices, kNow + std::chrono::seconds(10))) {
      later.insert(subquery.mHost);
    }
  }
  CHECK(std::any_of(failed.begin(), failed.end(), [&](const host_id& aHost) {
    return later.contains(aHost);
  }));
}

TEST(subquery_controller, LeavingSilentAndOlderHostsAreNotUsed)
{
  for (entry_host_record& host : mHosts) {
    if (host.mFailureDomain == Domain(0)) {
      host.mState = entry_host_state::Leaving;
    } else if (host.mFailureDomain == Domain(1)) {
      host.mState = entry_host_state::Silent;
    } else {
      host.mSubqueryAddress.clear();
    }
  }
  subquery_controller controller = Controller(mHosts[0]);
  controller.SetHosts(mHosts);
  LONGS_EQUAL(0, controller.Plan(mServices, kNow).size());
}
