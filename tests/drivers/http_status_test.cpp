#include "drivers/backend_client.h"
#include "drivers/http_client.h"
#include "platform/server_protocol.h"
#include "tests/drivers/scripted_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;

/** Texts in the place of a status that are none. */
const std::vector<std::string> kInvalid{ "000", "001", "099",  "600", "604",
                                         "700", "999", "2000", "20",  "2x0",
                                         "abc", "-20", "+20",  "",    "0" };

std::string
Response(const std::string& aStatus, const std::string& aExtra = "")
{
  return "HTTP/1.1 " + aStatus +
         " Text\r\nX-Request-Id: r1\r\nRequest-Id: r1\r\n"
         "X-Server-Stamp: stamp\r\n" +
         aExtra + "Content-Length: 2\r\n\r\nok";
}

}

/** Responses whose status is outside 100 to 599, or no number. */
TEST_GROUP(http_status)
{
  asio::io_context mContext;

  backend_client MakeClient()
  {
    backend_client_config config;
    config.mForwardProtocol = platform::MakePlatformProtocol();
    backend_client_hooks hooks;
    hooks.mMaySend = [](const server_request& /*aRequest*/,
                        steady_time /*aNow*/) { return true; };
    return backend_client::Create(mContext, config, hooks);
  }

  /** An attempt of a request, forwarded or in the own protocol. */
  static server_request MakeRequest(
    const std::string& aAddress, request_kind aKind, bool aIsPart)
  {
    server_request request;
    request.mKind = aKind;
    request.mAttemptId.mValue = "r1";
    request.mPermit.mAddress = aAddress;
    request.mPermit.mServer.mValue = "i-1";
    request.mDeadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
    request.mGiveUpAt = request.mDeadline;
    request.mBody = std::make_shared<const std::string>();
    request.mIsPart = aIsPart;
    bool isForwarded =
      aKind == request_kind::Forward || aKind == request_kind::ForwardOnce;
    if (isForwarded) {
      auto forwarded = std::make_shared<forwarded_request>();
      forwarded->mMethod = "GET";
      forwarded->mTarget = "/a/";
      forwarded->mFields = { { "X-Request-Id", "r1" } };
      request.mForwarded = forwarded;
    }
    return request;
  }

  attempt_result Send(
    const std::string& aResponse, request_kind aKind, bool aIsPart)
  {
    scripted_server server(1, [&](scripted_server::socket& aPeer) {
      scripted_server::ReadHead(aPeer);
      scripted_server::Write(aPeer, aResponse);
      // The connection stays open: what is read must end the attempt.
      scripted_server::ReadHead(aPeer);
    });
    backend_client client = MakeClient();
    attempt_result result;
    asio::co_spawn(
      mContext,
      [&]() -> asio::awaitable<void> {
        result = co_await client.SendAttempt(
          MakeRequest(server.Address(), aKind, aIsPart));
        // Closes the connection, so that the server ends.
        client.Close({ result.mConnection });
      },
      asio::detached);
    mContext.restart();
    mContext.run();
    return result;
  }

  void CheckRefused(request_kind aKind, bool aIsPart, const std::string& aExtra)
  {
    for (const std::string& status : kInvalid) {
      attempt_result result = Send(Response(status, aExtra), aKind, aIsPart);
      STRCMP_EQUAL_TEXT("bad_answer",
                        std::string(NameOf(result.mStatus)).c_str(),
                        status.c_str());
      LONGS_EQUAL_TEXT(0, result.mConnection, status.c_str());
    }
  }
};

// Guards against a server in trouble whose status passed for its answer, and
// reached the caller.
TEST(http_status, AWholeRequestGetsNoInvalidStatus)
{
  CheckRefused(request_kind::Forward, false, "");
  CheckRefused(request_kind::ForwardOnce, false, "");
}

TEST(http_status, APartOfAScatteredRequestGetsNoInvalidStatus)
{
  CheckRefused(request_kind::Forward, true, "");
}

TEST(http_status, ARequestInTheOwnProtocolGetsNoInvalidStatus)
{
  CheckRefused(request_kind::Query, true, "");
}

// Guards against an invalid response that passed for the proof that a request
// has not run.
TEST(http_status, AnInvalidStatusProvesNothing)
{
  CheckRefused(request_kind::ForwardOnce, false, "X-Not-Executed: 1\r\n");
}

// Guards against an invalid response from which pauses and leaves are read.
TEST(http_status, AnInvalidStatusGivesNoNotice)
{
  attempt_result result = Send(
    Response("000", "Server-Leaving: 1\r\n"), request_kind::Forward, false);
  CHECK(!result.mNotice.mIsLeaving);
}

// Guards against reading a body without end after an invalid status.
TEST(http_status, TheBodyOfAnInvalidStatusIsNotAwaited)
{
  attempt_result result =
    Send("HTTP/1.1 000 Text\r\nX-Request-Id: r1\r\n"
         "X-Server-Stamp: stamp\r\nContent-Length: 1000\r\n\r\nbegins",
         request_kind::Forward,
         false);
  CHECK(result.mStatus == attempt_status::BadResponse);
}

TEST(http_status, ValidStatusesAreTheServersAnswer)
{
  for (const char* status : { "200", "299", "300", "404", "499" }) {
    attempt_result result =
      Send(Response(status), request_kind::Forward, false);
    CHECK(result.mStatus == attempt_status::Answered);
    CHECK(result.mConnection != 0);
  }
  for (const char* status : { "500", "599" }) {
    CHECK(Send(Response(status), request_kind::Forward, false).mStatus ==
          attempt_status::Failed);
  }
}

TEST(http_status, ClassifyRefusesAnInvalidStatus)
{
  backend_protocol protocol = platform::MakePlatformProtocol();
  server_request request = MakeRequest("", request_kind::Forward, false);
  for (unsigned status : { 0U, 99U, 600U, 999U, 1000U, 4294967295U }) {
    server_response response;
    response.mStatus = status;
    response.mFields = { { "x-not-executed", "1" } };
    CHECK(protocol.mClassify(request, response) == attempt_status::BadResponse);
  }
}

// Guards against tools and own processes that take such a response for one.
TEST(http_status, TheClientOfToolsGetsNoInvalidStatus)
{
  for (const std::string& status : kInvalid) {
    scripted_server server(1, [&](scripted_server::socket& aPeer) {
      scripted_server::ReadHead(aPeer);
      scripted_server::Write(aPeer, Response(status));
    });
    http_client_request request;
    request.mAddress = server.Address();
    request.mPath = "/";
    http_client_response response = SendHttpRequest(request);
    LONGS_EQUAL_TEXT(0, response.mStatus, status.c_str());
    STRCMP_EQUAL_TEXT("", response.mBody.c_str(), status.c_str());
  }
}
