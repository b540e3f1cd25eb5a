#include "filters/route.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

std::shared_ptr<const route_table>
Routes()
{
  configuration_record configuration;
  configuration.mNumber = 7;
  route_record route;
  route.mName = "known";
  route.mAuthority = "a.example";
  route.mPathPrefix = "/known/";
  route.mBackends = { { service_id{ "s" }, 1 } };
  route.mTimeout = milliseconds(1000);
  configuration.mRoutes.push_back(route);
  std::vector<std::string> invalid;
  return std::make_shared<const route_table>(
    route_table::Create(configuration, invalid));
}

}

TEST_GROUP(route)
{
  bool mAreRoutesConfirmed = true;

  std::optional<refusal> Route(const std::string& aPath)
  {
    route_hooks hooks;
    hooks.mRoutes = [] { return Routes(); };
    hooks.mNow = [] { return kNow; };
    hooks.mAreRoutesConfirmed = [this](steady_time /*aNow*/) {
      return mAreRoutesConfirmed;
    };
    hooks.mNextService = [](const route_record& /*aRoute*/) {
      return service_id{ "s" };
    };
    request_context request;
    request.mReceivedAt = kNow;
    request.mAuthority = "a.example";
    request.mPath = aPath;
    request.mBody = std::make_shared<const std::string>();
    request.mForwarded = std::make_shared<const forwarded_request>();
    filter route = MakeRoute(std::move(hooks));
    asio::io_context context;
    asio::co_spawn(context, route.mHook(request), asio::detached);
    context.run();
    return request.mRefusal;
  }
};

TEST(route, AnUnknownPathIsRefusedForGoodOnlyByAConfirmedConfiguration)
{
  CHECK(Route("/unknown/x")->mReason == refusal_reason::UnknownTeam);
  mAreRoutesConfirmed = false;
  auto refused = Route("/unknown/x");
  CHECK(refused->mReason == refusal_reason::NotConfirmed);
  CHECK(refused->mRetryAfter > milliseconds(0));
  // What the host does know is still served.
  CHECK(!Route("/known/x"));
}
