#include "decisions/routing/snapshot_choice.h"
#include "decisions/servers/replica_choice.h"
#include "decisions/servers/server_limit.h"

#include <map>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

}

TEST_GROUP(snapshot_choice){};

TEST(snapshot_choice, ChoosesTheNewestSnapshotThatReachesTheCoverage)
{
  std::vector<service_snapshots> services{ { service_id{ "a" }, { 1, 2 } },
                                           { service_id{ "b" }, { 1, 2 } },
                                           { service_id{ "c" }, { 1 } } };
  LONGS_EQUAL(1, ChooseSnapshot(services, 1.0)->mSnapshot);
  LONGS_EQUAL(2, ChooseSnapshot(services, 0.6)->mSnapshot);
}

TEST(snapshot_choice, ReturnsTheHighestCoverageIfNoneIsSufficient)
{
  std::vector<service_snapshots> services{ { service_id{ "a" }, { 1 } },
                                           { service_id{ "b" }, {} } };
  auto plan = ChooseSnapshot(services, 1.0);
  LONGS_EQUAL(1, plan->mAvailable);
  CHECK(!ChooseSnapshot({ { service_id{ "a" }, {} } }, 0));
}

TEST(snapshot_choice, RoundsNeededServicesUpDespiteFloatingPointErrors)
{
  LONGS_EQUAL(9, NeededServices(10, 0.9));
  LONGS_EQUAL(10, NeededServices(10, 0.91));
  LONGS_EQUAL(0, NeededServices(10, 0));
  LONGS_EQUAL(3, NeededServices(3, 1));
}

TEST_GROUP(replica_choice){};

TEST(replica_choice, PrefersTheServerThatRespondsSooner)
{
  std::mt19937_64 random(1);
  std::vector<replica_candidate> candidates{
    { 0, 0, microseconds(50'000), true, true },
    { 1, 0, microseconds(5'000), false, true },
  };
  for (int count = 0; count < 20; ++count) {
    LONGS_EQUAL(1, *PickReplica(candidates, random));
  }
}

TEST(replica_choice, TheOwnFailureDomainDecidesBetweenEqualsOnly)
{
  std::mt19937_64 random(1);
  std::vector<replica_candidate> candidates{
    { 0, 1, microseconds(5'000), false, true },
    { 1, 1, microseconds(5'000), true, true },
  };
  LONGS_EQUAL(1, *PickReplica(candidates, random));
  candidates[1].mOutstanding = 2;
  LONGS_EQUAL(0, *PickReplica(candidates, random));
}

TEST(replica_choice, AServerOfTheOwnFailureDomainIsAlwaysConsidered)
{
  std::mt19937_64 random(5);
  constexpr microseconds kServiceTime{ 10'000 };
  constexpr microseconds kRemotePenalty{ 6'000 };
  std::vector<replica_candidate> candidates{
    { 0, 0, kServiceTime, false, true, kRemotePenalty },
    { 1, 0, kServiceTime, true, true, {} },
    { 2, 0, kServiceTime, false, true, kRemotePenalty },
  };
  for (int draw = 0; draw < 200; ++draw) {
    LONGS_EQUAL(1, PickReplica(candidates, random).value());
  }
  // One attempt in progress outweighs the penalty of another domain.
  candidates[1].mOutstanding = 1;
  for (int draw = 0; draw < 200; ++draw) {
    CHECK(PickReplica(candidates, random).value() != 1);
  }
}

TEST(replica_choice, SpreadsOverEqualServers)
{
  std::mt19937_64 random(1);
  std::vector<replica_candidate> candidates;
  for (std::size_t position = 0; position < 10; ++position) {
    candidates.push_back({ position, 0, microseconds(5'000), false, true });
  }
  std::map<std::size_t, int> picks;
  for (int count = 0; count < 1000; ++count) {
    ++picks[*PickReplica(candidates, random)];
  }
  for (const auto& [position, count] : picks) {
    CHECK(count > 50);
  }
  LONGS_EQUAL(10, picks.size());
}

TEST_GROUP(server_limit){};

TEST(server_limit, GrowsOnlyWhileUsedAndDecreasesOncePerServiceTime)
{
  server_limit limit;
  for (int count = 0; count < 100; ++count) {
    limit.OnResponse(0);
  }
  LONGS_EQUAL(4, limit.Allowed());
  for (int count = 0; count < 100; ++count) {
    limit.OnResponse(limit.Allowed());
  }
  CHECK(limit.Allowed() > 8);
  std::uint32_t before = limit.Allowed();
  limit.OnOverload(kNow, milliseconds(10));
  std::uint32_t decreased = limit.Allowed();
  CHECK(decreased < before);
  limit.OnOverload(kNow + milliseconds(5), milliseconds(10));
  LONGS_EQUAL(decreased, limit.Allowed());
  for (int count = 1; count < 100; ++count) {
    limit.OnOverload(kNow + milliseconds(20 * count), milliseconds(10));
  }
  LONGS_EQUAL(1, limit.Allowed());
}

TEST(server_limit, TheTrackerConvergesToItsQuantile)
{
  quantile_tracker tracker(0.95);
  std::mt19937_64 random(3);
  std::uniform_int_distribution<int> sample(1000, 11'000);
  for (int count = 0; count < 20'000; ++count) {
    tracker.Add(microseconds(sample(random)));
  }
  CHECK(tracker.Value() > microseconds(9'500));
  CHECK(tracker.Value() < microseconds(11'500));
}

TEST(server_limit, ABudgetAllowsItsRatioOfExtraAttempts)
{
  ratio_budget budget(0.05, 20);
  int spent = 0;
  for (int count = 0; count < 10'000; ++count) {
    budget.OnRegularAttempt();
    spent += budget.TrySpend() ? 1 : 0;
  }
  CHECK(spent <= 501);
  CHECK(spent >= 495);
}
