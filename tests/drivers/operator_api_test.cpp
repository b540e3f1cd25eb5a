#include "drivers/operator_api.h"

#include "drivers/metrics_text.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace hibiscusspool;

namespace {

namespace asio = boost::asio;

constexpr const char* kToken = "token-of-the-operators";

http_response
Send(const http_handler& aHandler, http_request aRequest)
{
  asio::io_context context;
  auto response =
    asio::co_spawn(context, aHandler(std::move(aRequest)), asio::use_future);
  context.run();
  return response.get();
}

}

/** The API of a host whose operators need a token. */
TEST_GROUP(operator_api)
{
  std::string mFolder;
  std::optional<http_handler> mApi;

  void setup() override
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "operators-XXXXXX").string();
    mFolder = mkdtemp(pattern.data());
    std::string file = mFolder + "/token";
    std::ofstream(file) << kToken;
    operator_api_hooks hooks;
    hooks.mMetrics = [] { return std::string("the page"); };
    hooks.mStatus = []() -> asio::awaitable<std::vector<wire::StatusReply>> {
      co_return std::vector<wire::StatusReply>{};
    };
    mApi = MakeOperatorApi(std::move(access_token::Create(file).value()),
                           std::move(hooks));
  }

  void teardown() override
  {
    mApi.reset();
    std::filesystem::remove_all(mFolder);
  }
};

TEST(operator_api, MetricsNeedNoToken)
{
  http_request request;
  request.mMethod = "GET";
  request.mPath = kMetricsPath;
  http_response response = Send(*mApi, request);
  LONGS_EQUAL(200, response.mStatus);
  STRCMP_EQUAL("text/plain; version=0.0.4", response.mContentType.c_str());
  STRCMP_EQUAL("the page", response.mBody.c_str());
}

TEST(operator_api, OtherPathsAndMethodsStillNeedTheToken)
{
  struct row
  {
    const char* mMethod;
    const char* mPath;
  };
  for (const row& sent : { row{ "GET", "/v1/status" },
                           row{ "PUT", "/metrics" },
                           row{ "GET", "/metrics/more" } }) {
    http_request request;
    request.mMethod = sent.mMethod;
    request.mPath = sent.mPath;
    LONGS_EQUAL(401, Send(*mApi, request).mStatus);
  }
  http_request request;
  request.mMethod = "GET";
  request.mPath = "/v1/status";
  request.mFields.push_back(
    { "Authorization", "Bearer " + std::string(kToken) });
  LONGS_EQUAL(200, Send(*mApi, request).mStatus);
}
