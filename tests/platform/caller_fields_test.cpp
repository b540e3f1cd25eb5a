#include "platform/caller_fields.h"
#include "platform/client_api.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;

using field_list = std::vector<header_field>;

const field_list kSent{ { "Host", "a" },
                        { "Authorization", "Bearer k1" },
                        { "x-tenant", "forged" },
                        { "X-Tenant", "forged too" },
                        { "AUTHORIZATION", "Basic abc" },
                        { "X-Other", "kept" } };

http_response
Answer(refusal_reason aReason)
{
  filter refuse;
  refuse.mHook = [aReason](request_context& aRequest) -> asio::awaitable<void> {
    aRequest.Refuse(aReason, "detail", milliseconds(500));
    co_return;
  };
  http_handler handler = platform::MakeClientApi(
    std::make_shared<const filter_chain>(filter_chain{ refuse }),
    [] { return steady_time{}; });
  http_response answer;
  asio::io_context context;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      http_request request;
      request.mMethod = "GET";
      request.mPath = "/x";
      answer = co_await handler(std::move(request));
    },
    asio::detached);
  context.run();
  return answer;
}

bool
HasHeader(const http_response& aResponse, const std::string& aName)
{
  for (const auto& [name, value] : aResponse.mHeaders) {
    if (name == aName) {
      return true;
    }
  }
  return false;
}

}

TEST_GROUP(platform_caller_fields){};

TEST(platform_caller_fields, ReadsTheKeyOfABearer)
{
  auto keyOf = [](const std::string& aValue) {
    return platform::CallerKeyOf(
      { { "Host", "a" }, { "authorization", aValue } });
  };
  STRCMP_EQUAL("k1", keyOf("Bearer k1").c_str());
  STRCMP_EQUAL("k1", keyOf("bEARER \t k1 ").c_str());
  STRCMP_EQUAL("", keyOf("Basic k1").c_str());
  STRCMP_EQUAL("", keyOf("Bearer").c_str());
  STRCMP_EQUAL("", keyOf("Bearer ").c_str());
  STRCMP_EQUAL("", keyOf("Bearerk1").c_str());
  STRCMP_EQUAL("", keyOf("").c_str());
  STRCMP_EQUAL("", platform::CallerKeyOf({ { "Host", "a" } }).c_str());
}

// Guards against a request with two keys that is served for one of them and
// counted, or refused, for the other.
TEST(platform_caller_fields, TwoKeysAreNone)
{
  STRCMP_EQUAL("", platform::CallerKeyOf(kSent).c_str());
}

// Guards against a key that reaches a server, and a client that names the team
// for which its request counts.
TEST(platform_caller_fields, ReplacesWhatTheClientSent)
{
  auto fields = platform::MakeCallerFields();
  caller_team_record team;
  team.mTeam.mValue = "t1";
  team.mKeys = { "k1" };
  forwarded_request request{ "GET", "/x?y", kSent };

  auto named = fields.mSetTeam(request, &team);
  field_list expected{ { "Host", "a" },
                       { "X-Other", "kept" },
                       { "X-Tenant", "t1" } };
  CHECK(named->mFields == expected);
  STRCMP_EQUAL("GET", named->mMethod.c_str());
  STRCMP_EQUAL("/x?y", named->mTarget.c_str());
  CHECK(fields.mTeamOf(*named) == "t1");

  auto unnamed = fields.mSetTeam(request, nullptr);
  expected.pop_back();
  CHECK(unnamed->mFields == expected);
  CHECK(fields.mTeamOf(*unnamed).empty());
}

// A refusal for the key isn't a promise to be served later, and names the
// scheme that the client needs.
TEST(platform_caller_fields, UnknownKeyIsAnswered401)
{
  http_response refused = Answer(refusal_reason::UnknownKey);
  LONGS_EQUAL(401, refused.mStatus);
  CHECK(HasHeader(refused, "WWW-Authenticate"));
  CHECK(!HasHeader(refused, "Retry-After"));

  http_response unconfirmed = Answer(refusal_reason::NotConfirmed);
  LONGS_EQUAL(503, unconfirmed.mStatus);
  CHECK(!HasHeader(unconfirmed, "WWW-Authenticate"));
  CHECK(HasHeader(unconfirmed, "Retry-After"));
}
