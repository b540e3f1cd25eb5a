#include "decisions/group/control_host_choice.h"

#include "drivers/watch_client.h"

#include <set>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };
constexpr int kDaemons = 810;

std::vector<host_id>
ControlHosts(int aCount)
{
  std::vector<host_id> hosts;
  for (int number = 0; number < aCount; ++number) {
    hosts.push_back(host_id{ "10.1.0." + std::to_string(40 + number) });
  }
  return hosts;
}

std::vector<control_host>
Listed(const std::vector<host_id>& aHosts)
{
  std::vector<control_host> listed;
  for (const host_id& host : aHosts) {
    listed.push_back({ host });
  }
  return listed;
}

std::vector<control_host_choice>
Daemons(const std::vector<host_id>& aHosts)
{
  std::vector<control_host_choice> daemons;
  for (std::uint64_t seed = 1; seed <= kDaemons; ++seed) {
    daemons.push_back(
      control_host_choice::Create(aHosts, {}, seed * 0x9E3779B97F4A7C15U));
  }
  return daemons;
}

std::map<host_id, int>
StreamsOf(const std::vector<control_host_choice>& aDaemons, steady_time aNow)
{
  std::map<host_id, int> streams;
  for (const control_host_choice& daemon : aDaemons) {
    ++streams[daemon.Preferred(aNow)];
  }
  return streams;
}

int
MaxOf(const std::map<host_id, int>& aStreams)
{
  int most = 0;
  for (const auto& [host, count] : aStreams) {
    most = std::max(most, count);
  }
  return most;
}

}

TEST_GROUP(control_host_choice){};

TEST(control_host_choice, DaemonsSpreadOverAllHostsOnceTheyAreKnown)
{
  auto daemons = Daemons(ControlHosts(3));
  LONGS_EQUAL(3, StreamsOf(daemons, kNow).size());
  for (control_host_choice& daemon : daemons) {
    daemon.SetHosts(Listed(ControlHosts(9)));
  }
  auto streams = StreamsOf(daemons, kNow);
  LONGS_EQUAL(9, streams.size());
  CHECK(MaxOf(streams) <= kDaemons / 9 * 3 / 2);
}

TEST(control_host_choice, DaemonsOfALostHostSpreadOverAllOthers)
{
  auto daemons = Daemons(ControlHosts(9));
  host_id lost = ControlHosts(9).front();
  auto before = StreamsOf(daemons, kNow);
  std::vector<host_id> choices;
  for (control_host_choice& daemon : daemons) {
    host_id chosen = daemon.Preferred(kNow);
    if (chosen == lost) {
      daemon.OnFailure(lost, kNow);
    }
    // The daemons of other hosts stay where they are.
    CHECK(chosen == lost || daemon.Preferred(kNow) == chosen);
  }
  auto after = StreamsOf(daemons, kNow);
  LONGS_EQUAL(8, after.size());
  for (const auto& [host, count] : after) {
    CHECK(count - before[host] <= before[lost] / 3);
  }
}

TEST(control_host_choice, AHostThatFailsAgainIsAvoidedForLonger)
{
  auto hosts = ControlHosts(2);
  auto choice = control_host_choice::Create(hosts, {}, 7);
  host_id first = choice.Preferred(kNow);
  choice.OnFailure(first, kNow);
  CHECK(choice.Preferred(kNow) != first);
  CHECK(choice.Preferred(kNow + milliseconds(9999)) != first);
  steady_time later = kNow + milliseconds(10'000);
  CHECK(choice.Preferred(later) == first);
  choice.OnFailure(first, later);
  CHECK(choice.Preferred(later + milliseconds(10'000)) != first);
  choice.OnSuccess(first);
  CHECK(choice.Preferred(later + milliseconds(10'000)) == first);
}

TEST(control_host_choice, AHostInTheMajorityIsReachedWithoutRetryingOthers)
{
  // The control hosts are cut in two. Each stream to the minority fails after
  // the time limit for its first confirmed mark.
  std::vector<control_host> listed = Listed(ControlHosts(9));
  for (std::size_t index = 0; index < listed.size(); ++index) {
    listed[index].mFailureDomain.mValue = "d" + std::to_string(index % 3);
  }
  std::set<host_id> minority{
    listed[0].mHost, listed[3].mHost, listed[1].mHost, listed[2].mHost
  };
  const watch_client_config config;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    auto choice = control_host_choice::Create(
      ControlHosts(3), failure_domain_id{ "d0" }, seed);
    choice.SetHosts(listed);
    steady_time now = kNow;
    std::set<host_id> failed;
    host_id host = choice.Preferred(now);
    while (minority.contains(host)) {
      CHECK(failed.insert(host).second);
      now += config.mOpenTimeout;
      choice.OnFailure(host, now);
      host = choice.Preferred(now);
    }
    // What was learned must be in force within the platform's bound for hosts
    // that are in touch with the majority.
    CHECK(now - kNow <= milliseconds(4000));
    choice.OnSuccess(host);
    CHECK(choice.Preferred(now + config.mMarkInterval) == host);
  }
}

TEST(control_host_choice, AHostThatIsCutOffIsLeftForAnotherFailureDomain)
{
  std::vector<control_host> listed = Listed(ControlHosts(9));
  for (std::size_t index = 0; index < listed.size(); ++index) {
    listed[index].mFailureDomain.mValue = "d" + std::to_string(index % 3);
  }
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    auto choice = control_host_choice::Create(
      ControlHosts(3), failure_domain_id{ "d0" }, seed);
    choice.SetHosts(listed);
    auto domainOf = [&](const host_id& aHost) {
      auto found = std::find_if(
        listed.begin(), listed.end(), [&](const control_host& aListed) {
          return aListed.mHost == aHost;
        });
      return found->mFailureDomain.mValue;
    };
    host_id first = choice.Preferred(kNow);
    STRCMP_EQUAL("d0", domainOf(first).c_str());
    choice.OnCutOff(first, kNow);
    host_id second = choice.Preferred(kNow);
    CHECK(domainOf(second) != "d0");
    choice.OnCutOff(second, kNow);
    host_id third = choice.Preferred(kNow);
    CHECK(domainOf(third) != "d0" && domainOf(third) != domainOf(second));
    CHECK(choice.Preferred(kNow + milliseconds(10'000)) == first);
  }
}

TEST(control_host_choice, NoHostIsUntriedOnceAllAreCutOff)
{
  auto hosts = ControlHosts(3);
  auto choice = control_host_choice::Create(hosts, {}, 7);
  for (const host_id& host : hosts) {
    CHECK(choice.HasUntried(kNow));
    choice.OnCutOff(host, kNow);
  }
  CHECK(!choice.HasUntried(kNow));
  // Hosts that are still cut off when they are asked again are left alone for
  // longer.
  steady_time later = kNow + milliseconds(2000);
  CHECK(choice.HasUntried(later));
  for (const host_id& host : hosts) {
    choice.OnCutOff(host, later);
  }
  CHECK(!choice.HasUntried(later + milliseconds(2000)));
  CHECK(choice.HasUntried(later + milliseconds(4000)));
}

TEST(control_host_choice, TheHostAvoidedForTheShortestTimeIsUsedWhenAllFailed)
{
  auto hosts = ControlHosts(2);
  auto choice = control_host_choice::Create(hosts, {}, 7);
  choice.OnFailure(hosts[1], kNow);
  choice.OnFailure(hosts[0], kNow + milliseconds(10));
  CHECK(choice.Preferred(kNow + milliseconds(20)) == hosts[1]);
}

TEST(control_host_choice, SeedsThatLeftAreALastResort)
{
  auto seeds = ControlHosts(3);
  std::vector<host_id> current{ host_id{ "10.9.0.1" }, host_id{ "10.9.0.2" } };
  auto choice = control_host_choice::Create(seeds, {}, 7);
  choice.SetHosts(Listed(current));
  for (int count = 0; count < 2; ++count) {
    host_id preferred = choice.Preferred(kNow);
    CHECK(preferred == current[0] || preferred == current[1]);
    choice.OnFailure(preferred, kNow);
  }
  host_id seed = choice.Preferred(kNow);
  CHECK(std::find(seeds.begin(), seeds.end(), seed) != seeds.end());
}

TEST(control_host_choice, HostsOfTheOwnDomainComeFirstUntilTheyFail)
{
  std::vector<control_host> listed = Listed(ControlHosts(9));
  for (std::size_t index = 0; index < listed.size(); ++index) {
    listed[index].mFailureDomain.mValue = "d" + std::to_string(index % 5);
  }
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    auto choice = control_host_choice::Create(
      ControlHosts(3), failure_domain_id{ "d3" }, seed);
    choice.SetHosts(listed);
    host_id first = choice.Preferred(kNow);
    CHECK(first == listed[3].mHost || first == listed[8].mHost);
    choice.OnFailure(first, kNow);
    host_id second = choice.Preferred(kNow);
    CHECK(second != first);
    CHECK(second == listed[3].mHost || second == listed[8].mHost);
    choice.OnFailure(second, kNow);
    host_id third = choice.Preferred(kNow);
    CHECK(third != first && third != second);
  }
}

TEST(control_host_choice, HostsThatMayBeOutdatedOnlyAddToTheCurrentOnes)
{
  auto choice = control_host_choice::Create({}, {}, 7);
  choice.SetHosts(Listed(ControlHosts(3)));
  host_id preferred = choice.Preferred(kNow);
  host_id gone{ "10.1.0.9" };
  choice.AddHosts({ { gone }, { ControlHosts(1).front() } });
  CHECK(choice.Preferred(kNow) == preferred);
  for (int host = 0; host < 3; ++host) {
    CHECK(choice.Preferred(kNow) != gone);
    choice.OnFailure(choice.Preferred(kNow), kNow);
  }
  CHECK(choice.Preferred(kNow) == gone);
  choice.SetHosts(Listed(ControlHosts(3)));
  CHECK(choice.Preferred(kNow) != gone);
}
