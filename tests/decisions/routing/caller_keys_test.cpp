#include "decisions/routing/caller_keys.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

constexpr milliseconds kFresh{ 100 };
const key_limits kStrict{ true, milliseconds(5000) };
const key_limits kLoose{ false, milliseconds(5000) };
const team_id kTeam{ "t1" };

caller_team_record
Team(const std::string& aName, std::vector<std::string> aKeys)
{
  caller_team_record team;
  team.mTeam.mValue = aName;
  team.mKeys = std::move(aKeys);
  return team;
}

route_table
Routes(configuration_number aNumber, std::vector<caller_team_record> aTeams)
{
  configuration_record configuration;
  configuration.mNumber = aNumber;
  configuration.mCallerTeams = std::move(aTeams);
  std::vector<std::string> invalid;
  return route_table::Create(configuration, invalid);
}

}

TEST_GROUP(caller_keys){};

// Guards against a host that serves keys for so long after its last contact
// that a change it has not heard of is already binding.
TEST(caller_keys, KeysMayBeUsedForSixTenthsOfTheRevocationTime)
{
  LONGS_EQUAL(3000, MaxConfirmedAge(kStrict).count());
  CHECK(MayUseKeys(kStrict, milliseconds(0)));
  CHECK(MayUseKeys(kStrict, milliseconds(2999)));
  CHECK(!MayUseKeys(kStrict, milliseconds(3000)));
  CHECK(!MayUseKeys(kStrict, std::chrono::hours(1)));
  // The rule is a part of the setting, not a time of its own.
  CHECK(!MayUseKeys({ true, milliseconds(1000) }, milliseconds(600)));
  CHECK(MayUseKeys({ true, milliseconds(1000) }, milliseconds(599)));
}

// Guards against a process that has just started, and takes the age of a state
// that was never confirmed for that of a new one.
TEST(caller_keys, NoKeyIsUsedBeforeAnyStateWasConfirmed)
{
  CHECK(!MayUseKeys(kStrict, std::nullopt));
}

TEST(caller_keys, WithoutStrictRevocationTheAgeDoesNotMatter)
{
  CHECK(MayUseKeys(kLoose, std::nullopt));
  CHECK(MayUseKeys(kLoose, std::chrono::hours(1)));
}

// Guards against a queued request whose key was taken away, or given to another
// team, after the request was authenticated.
TEST(caller_keys, AKeyMustStillBeHeldByTheTeamItWasFoundFor)
{
  auto judge = [](const route_table* aRoutes, milliseconds aAge = kFresh) {
    return JudgeKey(kStrict, aAge, aRoutes, "k1", kTeam);
  };
  route_table held = Routes(1, { Team("t1", { "k0", "k1" }) });
  route_table taken = Routes(2, { Team("t1", { "k0" }) });
  route_table moved = Routes(3, { Team("t1", {}), Team("t2", { "k1" }) });
  route_table none = Routes(4, {});
  CHECK(judge(&held) == key_verdict::Usable);
  CHECK(judge(&taken) == key_verdict::Removed);
  CHECK(judge(&moved) == key_verdict::Removed);
  CHECK(judge(&none) == key_verdict::Removed);
  CHECK(judge(nullptr) == key_verdict::Removed);
  CHECK(judge(&held, milliseconds(3000)) == key_verdict::Stale);
}

// Guards against a subquery at a host whose state is outdated, and against the
// loss of parts while hosts learn of a new configuration one after the other.
TEST(caller_keys, ASubqueryIsSentUnderItsOwnConfigurationOrALaterOne)
{
  auto judge = [](const route_table* aRoutes, milliseconds aAge = kFresh) {
    return JudgeSubqueryKey(kStrict, aAge, aRoutes, 2);
  };
  route_table same = Routes(2, { Team("t1", { "k1" }) });
  route_table later = Routes(3, { Team("t1", { "k1" }) });
  route_table earlier = Routes(1, { Team("t1", { "k1" }) });
  CHECK(judge(&same) == key_verdict::Usable);
  CHECK(judge(&later) == key_verdict::Usable);
  CHECK(judge(&earlier) == key_verdict::Removed);
  CHECK(judge(nullptr) == key_verdict::Removed);
  CHECK(judge(&same, milliseconds(3000)) == key_verdict::Stale);
}
