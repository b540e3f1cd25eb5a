#include "filters/authenticate.h"

#include "filters/fingerprint.h"
#include "filters/route.h"
#include "filters/subquery_result.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;

const std::string kKeyField = "key";
const std::string kTeamField = "team";

/** The fields of a protocol of the test's own. */
std::shared_ptr<const forwarded_request>
SetTeam(const forwarded_request& aRequest, const caller_team_record* aTeam)
{
  auto changed = std::make_shared<forwarded_request>(aRequest);
  std::erase_if(changed->mFields, [](const header_field& aField) {
    return aField.mName == kKeyField || aField.mName == kTeamField;
  });
  if (aTeam != nullptr) {
    changed->mFields.push_back({ kTeamField, aTeam->mTeam.mValue });
  }
  return changed;
}

std::string_view
TeamOf(const forwarded_request& aRequest)
{
  const header_field* team = FindField(aRequest.mFields, kTeamField);
  return team == nullptr ? std::string_view{} : team->mValue;
}

caller_team_record
Team(const std::string& aName,
     std::vector<std::string> aKeys,
     std::optional<std::uint32_t> aPriority = {})
{
  caller_team_record team;
  team.mTeam.mValue = aName;
  team.mKeys = std::move(aKeys);
  team.mPriority = aPriority;
  return team;
}

route_record
Route(const std::string& aPrefix, bool aIsPublic)
{
  route_record route;
  route.mName = aPrefix;
  route.mAuthority = "a.example";
  route.mPathPrefix = aPrefix;
  route.mBackends = { { service_id{ "s" }, 1 } };
  route.mTimeout = milliseconds(1000);
  route.mPriority = 2;
  route.mIsPublic = aIsPublic;
  return route;
}

using team_list = std::vector<caller_team_record>;

/** Routes that require no keys if there is no list of teams. */
std::shared_ptr<const route_table>
Routes(configuration_number aNumber, std::optional<team_list> aTeams)
{
  configuration_record configuration;
  configuration.mNumber = aNumber;
  configuration.mRoutes = { Route("/private/", false), Route("/open/", true) };
  configuration.mCallerTeams = std::move(aTeams);
  std::vector<std::string> invalid;
  return std::make_shared<const route_table>(
    route_table::Create(configuration, invalid));
}

}

/** Requests on a host whose configuration and contact the test sets. */
TEST_GROUP(authenticate)
{
  steady_time mNow{ std::chrono::hours(1) };
  /** When the newest confirmed mark was sent. */
  std::optional<steady_time> mConfirmedAt = mNow;
  std::shared_ptr<const route_table> mRoutes =
    Routes(7, team_list{ Team("t1", { "k1", "k2" }, 0), Team("t2", { "k3" }) });
  bool mAreRoutesConfirmed = true;
  caller_key_controller mStrict{ { true, milliseconds(5000) }, Hooks() };
  caller_key_controller mLoose{ { false, milliseconds(5000) }, Hooks() };
  caller_key_controller* mKeys = &mStrict;

  caller_key_hooks Hooks()
  {
    caller_key_hooks hooks;
    hooks.mConfirmedAge =
      [this](steady_time aNow) -> std::optional<milliseconds> {
      if (!mConfirmedAt) {
        return std::nullopt;
      }
      return std::chrono::duration_cast<milliseconds>(aNow - *mConfirmedAt);
    };
    hooks.mRoutes = [this] { return mRoutes; };
    return hooks;
  }

  request_context Serve(const std::string& aPath,
                        const std::string& aKey,
                        std::vector<header_field> aFields = {})
  {
    route_hooks routes;
    routes.mRoutes = [this] { return mRoutes; };
    routes.mNow = [this] { return mNow; };
    routes.mAreRoutesConfirmed = [this](steady_time /*aNow*/) {
      return mAreRoutesConfirmed;
    };
    routes.mNextService = [](const route_record& /*aRoute*/) {
      return service_id{ "s" };
    };
    authenticate_hooks hooks;
    hooks.mNow = routes.mNow;
    hooks.mRoutes = routes.mRoutes;
    hooks.mAreRoutesConfirmed = routes.mAreRoutesConfirmed;
    hooks.mFields = { SetTeam, TeamOf };
    filter_chain chain{ MakeRoute(std::move(routes)),
                        MakeAuthenticate(*mKeys, std::move(hooks)) };
    request_context request;
    request.mReceivedAt = mNow;
    request.mAuthority = "a.example";
    request.mPath = aPath;
    request.mCallerKey = aKey;
    request.mBody = std::make_shared<const std::string>("body");
    auto forwarded = std::make_shared<forwarded_request>();
    forwarded->mMethod = "GET";
    forwarded->mTarget = aPath;
    forwarded->mFields = std::move(aFields);
    if (!aKey.empty()) {
      forwarded->mFields.push_back({ kKeyField, aKey });
    }
    request.mForwarded = std::move(forwarded);
    asio::io_context context;
    asio::co_spawn(context, RunChain(chain, request), asio::detached);
    context.run();
    return request;
  }

  static bool CarriesKey(const request_context& aRequest)
  {
    return FindField(aRequest.mForwarded->mFields, kKeyField) != nullptr;
  }

  static void CheckRefused(const request_context& aRequest,
                           refusal_reason aReason)
  {
    CHECK(aRequest.mRefusal.has_value());
    CHECK(aRequest.mRefusal->mReason == aReason);
    CHECK(aRequest.mRefusal->mRan == execution_status::No);
  }

  bool MaySend(const request_context& aRequest) const
  {
    return aRequest.mMaySend == nullptr || (*aRequest.mMaySend)(mNow);
  }
};

TEST(authenticate, TheTeamOfTheKeyIsForwardedInPlaceOfTheKey)
{
  request_context request = Serve("/private/x", "k3");
  CHECK(!request.mRefusal);
  STRCMP_EQUAL("t2", request.mCallerTeam.mValue.c_str());
  CHECK(TeamOf(*request.mForwarded) == "t2");
  CHECK(!CarriesKey(request));
}

TEST(authenticate, UnknownAndMissingKeysAreRefusedWithoutShowingThem)
{
  request_context unknown = Serve("/private/x", "some-unknown-key");
  CheckRefused(unknown, refusal_reason::UnknownKey);
  CHECK(unknown.mRefusal->mDetail.find("some-unknown-key") ==
        std::string::npos);
  CheckRefused(Serve("/private/x", ""), refusal_reason::UnknownKey);
  LONGS_EQUAL(2, mStrict.Counts().mUnknown);
}

// Guards against 401 for a key that a newer configuration holds, of which a
// host out of contact has not heard.
TEST(authenticate, AnUnconfirmedHostRefusesUnknownKeysForNowOnly)
{
  mAreRoutesConfirmed = false;
  for (const char* key : { "k9", "" }) {
    request_context request = Serve("/private/x", key);
    CheckRefused(request, refusal_reason::NotConfirmed);
    CHECK(request.mRefusal->mRetryAfter > milliseconds(0));
  }
  LONGS_EQUAL(2, mStrict.Counts().mUnconfirmed);
  LONGS_EQUAL(0, mStrict.Counts().mUnknown);
  // What it does know is served.
  CHECK(!Serve("/private/x", "k1").mRefusal);
}

// Guards against a server that runs a request for the team that the client
// named, rather than that of its key.
TEST(authenticate, AForgedTeamIsReplacedOrRemoved)
{
  request_context known = Serve("/private/x", "k1", { { kTeamField, "t2" } });
  CHECK(TeamOf(*known.mForwarded) == "t1");
  request_context open = Serve("/open/x", "", { { kTeamField, "t2" } });
  CHECK(!open.mRefusal);
  CHECK(TeamOf(*open.mForwarded).empty());
}

TEST(authenticate, PublicRoutesNeedNoKeyButNameTheTeamOfAKnownOne)
{
  for (const char* key : { "", "k9" }) {
    request_context request = Serve("/open/x", key);
    CHECK(!request.mRefusal);
    CHECK(request.mCallerTeam.IsEmpty());
    CHECK(TeamOf(*request.mForwarded).empty());
    CHECK(!CarriesKey(request));
    CHECK(request.mMaySend == nullptr);
  }
  request_context known = Serve("/open/x", "k1");
  CHECK(TeamOf(*known.mForwarded) == "t1");
  CHECK(!CarriesKey(known));
}

// Guards against changes to deployments whose configuration has no teams.
TEST(authenticate, WithoutTeamsRequestsAreForwardedUnchanged)
{
  mRoutes = Routes(8, std::nullopt);
  mConfirmedAt.reset();
  mAreRoutesConfirmed = false;
  std::vector<header_field> sent{ { kTeamField, "own" } };
  request_context request = Serve("/private/x", "k9", sent);
  CHECK(!request.mRefusal);
  sent.push_back({ kKeyField, "k9" });
  CHECK(request.mForwarded->mFields == sent);
  CHECK(request.mMaySend == nullptr);
  CHECK(request.mFingerprint ==
        FingerprintOf(*request.mForwarded, *request.mBody));
}

// Guards against routes that are open to everyone once the last team is taken
// away.
TEST(authenticate, AnEmptyListOfTeamsMakesAllKeysUnknown)
{
  request_context waiting = Serve("/private/x", "k1");
  CHECK(MaySend(waiting));
  mRoutes = Routes(8, team_list{});
  CHECK(!MaySend(waiting));
  for (const char* key : { "k1", "k9", "" }) {
    CheckRefused(Serve("/private/x", key, { { kTeamField, "t1" } }),
                 refusal_reason::UnknownKey);
    request_context open = Serve("/open/x", key, { { kTeamField, "t1" } });
    CHECK(!open.mRefusal);
    CHECK(!CarriesKey(open));
    CHECK(TeamOf(*open.mForwarded).empty());
  }
  mAreRoutesConfirmed = false;
  CheckRefused(Serve("/private/x", "k1"), refusal_reason::NotConfirmed);
  CHECK(!Serve("/open/x", "").mRefusal);
}

// Guards against a host that serves by a list of teams that was replaced by
// none, and against a request of that time that is sent without its check.
TEST(authenticate, AfterTheListIsGoneOnlyHostsInTouchServeWithoutKeys)
{
  request_context waiting = Serve("/private/x", "k1");
  mNow += milliseconds(3000);
  mAreRoutesConfirmed = false;
  for (const char* key : { "k1", "k9", "" }) {
    CheckRefused(Serve("/private/x", key), refusal_reason::NotConfirmed);
  }
  CHECK(!Serve("/open/x", "").mRefusal);
  mConfirmedAt = mNow;
  mAreRoutesConfirmed = true;
  mRoutes = Routes(8, std::nullopt);
  for (const char* key : { "k1", "k9", "" }) {
    CHECK(!Serve("/private/x", key).mRefusal);
  }
  CHECK(!MaySend(waiting));
}

TEST(authenticate, TheTeamsPriorityReplacesTheRoutes)
{
  LONGS_EQUAL(0, Serve("/private/x", "k1").mPriority);
  LONGS_EQUAL(2, Serve("/private/x", "k3").mPriority);
  LONGS_EQUAL(2, Serve("/open/x", "").mPriority);
}

// Guards against a crashing request that is not recognized when its caller
// sends it again with another key of its team, and against one team's crashing
// request that stops the same request of another team.
TEST(authenticate, TheFingerprintDependsOnTheTeamAndNotOnTheKey)
{
  fingerprint_id first = Serve("/private/x", "k1").mFingerprint;
  CHECK(first == Serve("/private/x", "k2").mFingerprint);
  CHECK(!(first == Serve("/private/x", "k3").mFingerprint));
}

// Guards against a host that is cut off and serves a key after it was taken
// away; it must serve again by itself.
TEST(authenticate, AStaleHostRefusesKnownKeysUntilItIsConfirmedAgain)
{
  mNow += milliseconds(2999);
  CHECK(!Serve("/private/x", "k1").mRefusal);
  mNow += milliseconds(1);
  for (const char* path : { "/private/x", "/open/x" }) {
    request_context request = Serve(path, "k1");
    CheckRefused(request, refusal_reason::NotConfirmed);
    CHECK(request.mRefusal->mRetryAfter > milliseconds(0));
  }
  LONGS_EQUAL(2, mStrict.Counts().mStale);
  CHECK(!Serve("/open/x", "").mRefusal);
  mConfirmedAt = mNow;
  CHECK(!Serve("/private/x", "k1").mRefusal);
}

TEST(authenticate, AHostThatWasNeverConfirmedRefusesKnownKeys)
{
  mConfirmedAt.reset();
  CheckRefused(Serve("/private/x", "k1"), refusal_reason::NotConfirmed);
}

TEST(authenticate, WithoutStrictRevocationAStaleHostServes)
{
  mKeys = &mLoose;
  mConfirmedAt.reset();
  request_context request = Serve("/private/x", "k1");
  CHECK(!request.mRefusal);
  CHECK(request.mMaySend == nullptr);
}

// Guards against a request that was authenticated, waited, and is sent after
// its key was taken away or could have been.
TEST(authenticate, TheKeyIsJudgedAgainBeforeEachSend)
{
  request_context request = Serve("/private/x", "k1");
  CHECK(MaySend(request));
  mNow += milliseconds(3000);
  CHECK(!MaySend(request));
  mConfirmedAt = mNow;
  CHECK(MaySend(request));
  mRoutes = Routes(8, team_list{ Team("t1", { "k2" }), Team("t2", { "k3" }) });
  CHECK(!MaySend(request));
  LONGS_EQUAL(1, mStrict.Counts().mRemoved);
  CheckRefused(Serve("/private/x", "k1"), refusal_reason::UnknownKey);
}

// Guards against the part of a fan-out that waits at another host, which does
// not know the key.
TEST(authenticate, ASubqueryIsJudgedByItsConfiguration)
{
  subquery sent;
  sent.mConfiguration = 7;
  sent.mForwarded = Serve("/private/x", "k1").mForwarded;
  sent.mBody = std::make_shared<const std::string>("body");
  auto receive = [&] {
    request_context context = ToContext(sent, nullptr, nullptr, mNow);
    AuthenticateSubquery(*mKeys, { SetTeam, TeamOf }, context);
    return context;
  };
  request_context received = receive();
  CHECK(MaySend(received));
  // Both hosts must count a crash for the same request.
  CHECK(received.mFingerprint == Serve("/private/x", "k1").mFingerprint);
  mNow += milliseconds(3000);
  CHECK(!MaySend(received));
  mConfirmedAt = mNow;
  CHECK(MaySend(received));
  mRoutes = Routes(8, team_list{ Team("t1", { "k1" }) });
  CHECK(MaySend(received));
  mRoutes = Routes(6, team_list{ Team("t1", { "k1" }) });
  CHECK(!MaySend(received));
  // Subqueries without a team need no check.
  sent.mForwarded = Serve("/open/x", "").mForwarded;
  CHECK(receive().mMaySend == nullptr);
  mKeys = &mLoose;
  sent.mForwarded = Serve("/private/x", "k1").mForwarded;
  CHECK(receive().mMaySend == nullptr);
}
