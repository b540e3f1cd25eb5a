#include "tests/controllers/quota_fleet.h"

#include <cmath>
#include <functional>

#include <CppUTest/TestHarness.h>

using namespace test;

namespace {

/** The load: 77 caller teams, a few of them large, with 121 requests a second
 * at 104 entry hosts. Quotas are 1.6 times the usual rate. */
constexpr std::size_t kHosts = 104;
constexpr std::size_t kTeams = 77;
constexpr double kTotalRate = 121;
constexpr double kSkew = 0.8;
constexpr double kQuotaFactor = 1.6;
constexpr milliseconds kWindow{ 5000 };
constexpr milliseconds kWarmUp{ 8000 };
constexpr milliseconds kHotTime{ 6000 };
constexpr milliseconds kCoolDown{ 8000 };

team_id
Team(std::size_t aRank)
{
  return team_id{ "t" + std::to_string(aRank) };
}

void
AddTeams(quota_fleet& aFleet)
{
  double sum = 0;
  for (std::size_t rank = 1; rank <= kTeams; ++rank) {
    sum += std::pow(static_cast<double>(rank), -kSkew);
  }
  for (std::size_t rank = 1; rank <= kTeams; ++rank) {
    fleet_team team;
    team.mTeam = Team(rank);
    team.mUsualRate =
      kTotalRate * std::pow(static_cast<double>(rank), -kSkew) / sum;
    team.mTerms = { 1,
                    kQuotaFactor * team.mUsualRate,
                    kQuotaFactor * team.mUsualRate };
    aFleet.AddTeam(team);
  }
}

double
QuotaOf(const quota_terms& aTerms)
{
  return aTerms.mRatePerSecond * 5 + aTerms.mBurst;
}

/** The requirement: quota * 1.1 + 20 in any window. */
double
BoundOf(const quota_terms& aTerms)
{
  return QuotaOf(aTerms) * 1.1 + 20;
}

/** Checks each team's bound; returns how many refusals below the quota the
 * teams other than `aHot` got. */
std::size_t
CheckBounds(const quota_fleet& aFleet, const team_id& aHot)
{
  std::size_t wrong = 0;
  for (const auto& [id, team] : aFleet.Teams()) {
    std::size_t highest = MaxAdmitted(aFleet.Requests(id), kWindow);
    std::string text = id.mValue + ": " + std::to_string(highest) + " of " +
                       std::to_string(BoundOf(team.mTerms));
    CHECK_TEXT(static_cast<double>(highest) <= BoundOf(team.mTerms),
               text.c_str());
    if (id != aHot) {
      wrong += RefusedBelow(aFleet.Requests(id), kWindow, QuotaOf(team.mTerms));
    }
  }
  return wrong;
}

std::size_t
RefusedBelowQuota(const quota_fleet& aFleet, const team_id& aTeam)
{
  return RefusedBelow(
    aFleet.Requests(aTeam), kWindow, QuotaOf(aFleet.Teams().at(aTeam).mTerms));
}

}

TEST_GROUP(quota_fleet){};

// Guards against hosts that each admit a part of a hot team's requests, and
// together more than its quota, and against refusals below it.
TEST(quota_fleet, AHotTeamKeepsToItsQuotaAndCostsNoOtherTeamARequest)
{
  std::size_t wrong = 0;
  for (std::uint64_t seed : { 1, 2, 3 }) {
    for (std::size_t rank : { 1, 3, 20, 70 }) {
      for (double factor : { 5.0, 7.5 }) {
        team_id hot = Team(rank);
        quota_fleet fleet(kHosts, seed);
        AddTeams(fleet);
        fleet.RunFor(kWarmUp);
        fleet.SetRateFactor(hot, factor);
        fleet.RunFor(kHotTime);
        fleet.SetRateFactor(hot, 1);
        fleet.RunFor(kCoolDown);
        LONGS_EQUAL(0, CheckBounds(fleet, hot));
        wrong += RefusedBelowQuota(fleet, hot);
      }
    }
  }
  LONGS_EQUAL(0, wrong);
}

namespace {

/** What happens to a team's owner a second after the team became hot. */
using fleet_fault = std::function<void(quota_fleet&, const team_id&)>;

void
PlayFault(double aFactor, const fleet_fault& aFault)
{
  for (std::uint64_t seed : { 1, 2 }) {
    for (std::size_t rank : { 1, 20 }) {
      team_id hot = Team(rank);
      quota_fleet fleet(kHosts, seed);
      AddTeams(fleet);
      fleet.RunFor(kWarmUp);
      fleet.SetRateFactor(hot, aFactor);
      fleet.RunFor(milliseconds(1000));
      aFault(fleet, hot);
      fleet.RunFor(kHotTime - milliseconds(1000));
      fleet.SetRateFactor(hot, 1);
      fleet.RunFor(kCoolDown);
      CheckBounds(fleet, hot);
    }
  }
}

std::vector<std::size_t>
Domain(std::size_t aNumber)
{
  constexpr std::size_t kDomains = 4;
  std::vector<std::size_t> hosts;
  for (std::size_t host = aNumber; host < kHosts; host += kDomains) {
    hosts.push_back(host);
  }
  return hosts;
}

}

// Guards against an owner and its successor that both grant the quota, and
// against hosts out of contact that add to it.
TEST(quota_fleet, TheBoundHoldsWhateverHappensToTheOwner)
{
  for (double factor : { 1.0, 7.5 }) {
    PlayFault(factor, [](quota_fleet& aFleet, const team_id& aTeam) {
      aFleet.Kill(aFleet.OwnerOf(aTeam));
    });
    PlayFault(factor, [](quota_fleet& aFleet, const team_id& aTeam) {
      std::size_t owner = aFleet.OwnerOf(aTeam);
      aFleet.Kill(owner);
      aFleet.RunFor(milliseconds(1000));
      aFleet.Restart(owner);
    });
    PlayFault(factor, [](quota_fleet& aFleet, const team_id& aTeam) {
      aFleet.Freeze(aFleet.OwnerOf(aTeam), milliseconds(5000));
    });
    PlayFault(factor, [](quota_fleet& aFleet, const team_id& aTeam) {
      aFleet.Freeze(aFleet.OwnerOf(aTeam), milliseconds(2000));
    });
    PlayFault(factor, [](quota_fleet& aFleet, const team_id& aTeam) {
      aFleet.CutOff({ aFleet.OwnerOf(aTeam) });
    });
    PlayFault(factor, [](quota_fleet& aFleet, const team_id&) {
      aFleet.CutOff(Domain(1));
    });
    PlayFault(factor, [](quota_fleet& aFleet, const team_id&) {
      aFleet.CutOff(Domain(1));
      aFleet.RunFor(milliseconds(2500));
      aFleet.Reconnect(Domain(1));
    });
  }
}

// Guards against refusals below the quota in ordinary bursts of load.
TEST(quota_fleet, BurstsOfTheWholeLoadRefuseNoTeamBelowItsQuota)
{
  constexpr double kBurst = 1.7;
  constexpr milliseconds kBurstTime{ 3000 };
  for (std::uint64_t seed : { 1, 2, 3 }) {
    quota_fleet fleet(kHosts, seed);
    AddTeams(fleet);
    fleet.RunFor(kWarmUp);
    for (double factor : { kBurst, 1.0, kBurst, 1.0 }) {
      for (std::size_t rank = 1; rank <= kTeams; ++rank) {
        fleet.SetRateFactor(Team(rank), factor);
      }
      fleet.RunFor(kBurstTime);
    }
    LONGS_EQUAL(0, CheckBounds(fleet, {}));
  }
}

// Guards against a limit that was lowered and that some hosts keep to later.
TEST(quota_fleet, ALowerLimitBindsAWindowLater)
{
  constexpr double kFactor = 3;
  constexpr double kLower = 0.4;
  for (std::size_t rank : { 1, 20 }) {
    team_id team = Team(rank);
    quota_fleet fleet(kHosts, 1);
    AddTeams(fleet);
    fleet.RunFor(kWarmUp);
    fleet.SetRateFactor(team, kFactor);
    fleet.RunFor(kHotTime);
    quota_terms lower = fleet.Teams().at(team).mTerms;
    lower.mConfiguration = 2;
    lower.mRatePerSecond *= kLower;
    lower.mBurst = 0;
    fleet.SetTerms(team, lower);
    steady_time changed = fleet.Now();
    fleet.RunFor(kCoolDown + kHotTime);
    std::vector<fleet_request> after;
    for (const fleet_request& request : fleet.Requests(team)) {
      if (request.mSentAt >= changed) {
        after.push_back(request);
      }
    }
    CHECK(static_cast<double>(MaxAdmitted(after, kWindow)) <= BoundOf(lower));
    LONGS_EQUAL(
      0, RefusedBelow(fleet.Requests(team), kWindow, QuotaOf(lower), changed));
  }
}

namespace {

/** Plays the usual load and a fault of a team's owner; returns how many
 * requests of the team were refused below its quota. */
std::size_t
RefusedInFault(const fleet_fault& aFault)
{
  std::size_t wrong = 0;
  for (std::uint64_t seed : { 1, 2 }) {
    for (std::size_t rank : { 1, 20 }) {
      quota_fleet fleet(kHosts, seed);
      AddTeams(fleet);
      fleet.RunFor(kWarmUp);
      aFault(fleet, Team(rank));
      fleet.RunFor(kCoolDown);
      wrong += RefusedBelowQuota(fleet, Team(rank));
    }
  }
  return wrong;
}

}

// Guards against teams that a killed owner stops until the hosts agree on the
// next one.
TEST(quota_fleet, AKilledOwnerRefusesNothingBelowTheQuota)
{
  LONGS_EQUAL(0, RefusedInFault([](quota_fleet& aFleet, const team_id& aTeam) {
                aFleet.Kill(aFleet.OwnerOf(aTeam));
              }));
}

// The same for an owner that is cut off.
TEST(quota_fleet, AnOwnerThatIsCutOffRefusesNothingBelowTheQuota)
{
  LONGS_EQUAL(0, RefusedInFault([](quota_fleet& aFleet, const team_id& aTeam) {
                aFleet.CutOff({ aFleet.OwnerOf(aTeam) });
              }));
}

// The same for one that is frozen and thawed.
TEST(quota_fleet, AFrozenOwnerRefusesNothingBelowTheQuota)
{
  LONGS_EQUAL(0, RefusedInFault([](quota_fleet& aFleet, const team_id& aTeam) {
                aFleet.Freeze(aFleet.OwnerOf(aTeam), milliseconds(5000));
              }));
}
