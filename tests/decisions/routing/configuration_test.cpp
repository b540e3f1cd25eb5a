#include "decisions/routing/route_policy.h"
#include "decisions/routing/route_table.h"
#include "decisions/routing/weighted_choice.h"
#include "decisions/state/control_state.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

route_record
Route(const std::string& aName,
      const std::string& aHost,
      const std::string& aPrefix)
{
  route_record route;
  route.mName = aName;
  route.mAuthority = aHost;
  route.mPathPrefix = aPrefix;
  route.mTimeout = milliseconds(800);
  route.mLatencyObjective = milliseconds(100);
  route.mMaxAttempts = 2;
  route.mBackends = { { service_id{ "a" }, 1 } };
  return route;
}

configuration_record
Configuration(configuration_number aNumber, const std::string& aDocument)
{
  configuration_record record;
  record.mNumber = aNumber;
  record.mRoutes = { Route("r1", "shop.example", "/x/") };
  record.mServices = { { service_id{ "a" }, 50, milliseconds(0), 0 },
                       { service_id{ "b" }, 50, milliseconds(0), 0 } };
  record.mDocument = aDocument;
  return record;
}

configuration_error
ErrorOf(const configuration_record& aRecord)
{
  auto checked = CheckConfiguration(aRecord);
  CHECK(!checked);
  return checked.error().mCode;
}

change_outcome
Put(control_state& aState, log_index aIndex, configuration_record aRecord)
{
  change_command command;
  command.mChanges.push_back(std::move(aRecord));
  return aState.Apply(aIndex, command).mOutcomes.front();
}

}

TEST_GROUP(configuration){};

TEST(configuration, RefusesEachKindOfInvalidDocument)
{
  configuration_record valid = Configuration(1, "one");
  CHECK(CheckConfiguration(valid).has_value());

  configuration_record unknown = valid;
  unknown.mRoutes[0].mBackends[0].mService.mValue = "z";
  CHECK(ErrorOf(unknown) == configuration_error::UnknownService);

  configuration_record unknownShard = valid;
  unknownShard.mRoutes[0].mBackends.clear();
  unknownShard.mRoutes[0].mShards = { service_id{ "a" }, service_id{ "z" } };
  CHECK(ErrorOf(unknownShard) == configuration_error::UnknownService);

  configuration_record sharedKey = valid;
  caller_team_record holder;
  holder.mTeam.mValue = "t1";
  holder.mKeys = { "k1", "k2" };
  caller_team_record other;
  other.mTeam.mValue = "t2";
  other.mKeys = { "k2" };
  sharedKey.mCallerTeams = std::vector{ holder, other };
  CHECK(ErrorOf(sharedKey) == configuration_error::SharedKey);
  CHECK(CheckConfiguration(sharedKey).error().mDetail.find("k2") ==
        std::string::npos);

  // A name with a line break would add a field of its own to what servers get.
  for (const char* name :
       { "", " t", "t ", "t\r\nX-Tenant: u", "t\tu", "t\x7f" }) {
    configuration_record badName = valid;
    holder.mTeam.mValue = name;
    badName.mCallerTeams = std::vector{ holder };
    CHECK(ErrorOf(badName) == configuration_error::BadTeamName);
  }

  configuration_record duplicate = valid;
  duplicate.mRoutes.push_back(Route("r2", "shop.example", "/x/"));
  CHECK(ErrorOf(duplicate) == configuration_error::DuplicateRoute);

  configuration_record withoutWeight = valid;
  withoutWeight.mRoutes[0].mBackends[0].mWeight = 0;
  CHECK(ErrorOf(withoutWeight) == configuration_error::NoWeight);

  configuration_record withoutTimeout = valid;
  withoutTimeout.mRoutes[0].mTimeout = milliseconds(0);
  CHECK(ErrorOf(withoutTimeout) == configuration_error::NoTimeout);

  configuration_record badPrefix = valid;
  badPrefix.mRoutes[0].mPathPrefix = "/x";
  CHECK(ErrorOf(badPrefix) == configuration_error::BadPrefix);

  configuration_record withoutTarget = valid;
  withoutTarget.mRoutes[0].mBackends.clear();
  CHECK(ErrorOf(withoutTarget) == configuration_error::NoTarget);
}

TEST(configuration, TheHighestNumberIsInForceAndLowerOnesAreIgnored)
{
  control_state state({});
  CHECK(Put(state, 1, Configuration(5, "five")).mVerdict ==
        change_verdict::Accepted);
  CHECK(Put(state, 2, Configuration(4, "four")).mVerdict ==
        change_verdict::Accepted);
  STRCMP_EQUAL("five", state.Configuration()->mDocument.c_str());
  // A resend, as after a lost response, is accepted again.
  CHECK(Put(state, 3, Configuration(5, "five")).mVerdict ==
        change_verdict::Accepted);
  // Other content under the same number is refused and doesn't take effect.
  CHECK(Put(state, 4, Configuration(5, "other")).mVerdict ==
        change_verdict::Conflict);
  STRCMP_EQUAL("five", state.Configuration()->mDocument.c_str());
  CHECK(Put(state, 5, Configuration(9, "nine")).mVerdict ==
        change_verdict::Accepted);
  LONGS_EQUAL(9, state.Configuration()->mNumber);
  LONGS_EQUAL(5, state.Configuration()->mVersion);
}

TEST(configuration, AnInvalidDocumentIsNeverInForce)
{
  control_state state({});
  Put(state, 1, Configuration(1, "one"));
  configuration_record invalid = Configuration(2, "two");
  invalid.mRoutes[0].mTimeout = milliseconds(0);
  CHECK(Put(state, 2, invalid).mVerdict == change_verdict::Invalid);
  STRCMP_EQUAL("one", state.Configuration()->mDocument.c_str());
}

TEST(configuration, SurvivesASnapshot)
{
  control_state state({});
  Put(state, 1, Configuration(7, "seven"));
  control_state restored =
    control_state::Restore({}, 1, 0, state.Records(), {}, {});
  CHECK(restored.Configuration().has_value());
  CHECK(*restored.Configuration() == *state.Configuration());
}

TEST(configuration, FindsARouteByHostAndLongestPrefix)
{
  configuration_record record = Configuration(3, "three");
  record.mRoutes.push_back(Route("r2", "shop.example", "/x/deep/"));
  record.mRoutes.push_back(Route("r3", "other.example", "/"));
  std::vector<std::string> invalid;
  route_table table = route_table::Create(record, invalid);
  CHECK(invalid.empty());
  auto nameOf = [&](const char* aHost, const char* aPath) {
    const resolved_route* found = table.Find(aHost, aPath);
    return found == nullptr ? std::string("none") : found->mRoute.mName;
  };
  STRCMP_EQUAL("r1", nameOf("shop.example", "/x/1").c_str());
  STRCMP_EQUAL("r2", nameOf("Shop.Example:80", "/x/deep/1").c_str());
  STRCMP_EQUAL("r3", nameOf("other.example", "/x/deep/1").c_str());
  STRCMP_EQUAL("none", nameOf("shop.example", "/xy/1").c_str());
  STRCMP_EQUAL("none", nameOf("shop.example", "/x").c_str());
  STRCMP_EQUAL("none", nameOf("no.example", "/x/1").c_str());
}

TEST(configuration, ExpandsARouteIntoATeamPolicy)
{
  route_record route = Route("r1", "shop.example", "/x/");
  route.mBackends.clear();
  route.mShards = { service_id{ "b" }, service_id{ "a" } };
  route.mMinimumCoverage = 0.75;
  auto policy = PolicyOf(route);
  CHECK(policy.has_value());
  LONGS_EQUAL(2, policy.value().mServices.size());
  DOUBLES_EQUAL(0.75, policy.value().mMinimumCoverage, 1e-9);
  LONGS_EQUAL(800, policy.value().mMaxWait.count());
  LONGS_EQUAL(100, policy.value().mLatencyObjective.count());
}

TEST(configuration, DistributesRequestsByWeightWithinAFewChoices)
{
  weighted_choice choice({ { service_id{ "a" }, 3 }, { service_id{ "b" }, 1 } },
                         0.5);
  int first = 0;
  constexpr int kChoices = 40;
  for (int number = 0; number < kChoices; ++number) {
    first += choice.Next().mValue == "a" ? 1 : 0;
  }
  LONGS_EQUAL(30, first);
}
