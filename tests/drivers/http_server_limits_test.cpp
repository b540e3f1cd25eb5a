#include "drivers/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;
using tcp = asio::ip::tcp;

constexpr std::size_t kBodyBytes = 262'144;

std::uint16_t
FreePort()
{
  asio::io_context context;
  tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
  return probe.local_endpoint().port();
}

std::string
Post(const std::string& aPath, std::size_t aBodyBytes)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aBodyBytes) + "\r\n\r\n";
}

}

/** A server with limits; it echoes the path and the size of the body. */
TEST_GROUP(http_server_limits)
{
  asio::io_context mContext;
  asio::io_context mCallers;
  std::uint16_t mPort = FreePort();
  std::shared_ptr<client_controller> mClients;
  std::optional<http_server> mServer;
  std::thread mThread;

  void Start(client_limits aLimits)
  {
    mClients = std::make_shared<client_controller>(aLimits);
    http_server_config config;
    config.mAddress = "127.0.0.1:" + std::to_string(mPort);
    config.mClients = mClients;
    config.mTakesBody = [](const http_request_head& aHead) {
      return aHead.mPath != "/none" && aHead.mHost == "h";
    };
    auto server = http_server::Create(
      mContext,
      config,
      [](http_request aRequest) -> asio::awaitable<http_response> {
        http_response response;
        response.mBody =
          aRequest.mPath + " " + std::to_string(aRequest.mBody.size());
        co_return response;
      });
    mServer.emplace(std::move(server.value()));
    mThread = std::thread([this] { mContext.run(); });
  }

  void teardown() override
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  tcp::socket Connect(const std::string& aBytes)
  {
    tcp::socket socket(mCallers);
    socket.connect({ asio::ip::make_address("127.0.0.1"), mPort });
    asio::write(socket, asio::buffer(aBytes));
    return socket;
  }

  /** What the server sends until its response contains a text or it closes. */
  static std::string ReadUntil(tcp::socket & aSocket, const std::string& aText)
  {
    std::string bytes;
    boost::system::error_code error;
    asio::read_until(aSocket, asio::dynamic_buffer(bytes), aText, error);
    return bytes;
  }

  [[nodiscard]] bool IsAnswered()
  {
    tcp::socket socket = Connect("GET /small HTTP/1.1\r\nHost: h\r\n\r\n");
    return ReadUntil(socket, "/small 0").find("/small 0") != std::string::npos;
  }

  [[nodiscard]] std::uint64_t Closed(client_limit aLimit) const
  {
    return mClients->Status().mClosed[static_cast<std::size_t>(aLimit)];
  }
};

// Guards against a sum that refuses what a single request may send.
TEST(http_server_limits, ALargeBodyIsServedInCalm)
{
  Start({ kBodyBytes / 2, 10 });
  tcp::socket socket = Connect(Post("/large", kBodyBytes));
  asio::write(socket, asio::buffer(std::string(kBodyBytes, 'b')));
  std::string text = "/large " + std::to_string(kBodyBytes);
  CHECK(ReadUntil(socket, text).find(text) != std::string::npos);
  LONGS_EQUAL(0, Closed(client_limit::Bytes));
}

// Guards against bodies that stop short of their end and take all memory.
TEST(http_server_limits, StalledBodiesGiveWay)
{
  Start({ 4 * kBodyBytes, 100 });
  std::vector<tcp::socket> stalled;
  for (int number = 0; number < 20; ++number) {
    stalled.push_back(Connect(Post("/stalled", kBodyBytes)));
    boost::system::error_code ignored;
    asio::write(
      stalled.back(), asio::buffer(std::string(kBodyBytes - 1, 'b')), ignored);
  }
  CHECK(IsAnswered());
  CHECK(mClients->Status().mBytes <= 4 * kBodyBytes);
  CHECK(Closed(client_limit::Bytes) >= 15);
}

// Guards against an unfinished head that is not counted until it is complete.
TEST(http_server_limits, UnfinishedHeadsGiveWay)
{
  constexpr std::size_t kHead = 15'000;
  Start({ 10 * kHead, 100 });
  std::vector<tcp::socket> stalled;
  for (int number = 0; number < 30; ++number) {
    stalled.push_back(
      Connect("GET /x HTTP/1.1\r\nf: " + std::string(kHead, 'h')));
  }
  CHECK(IsAnswered());
  auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (Closed(client_limit::Bytes) < 15 &&
         std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(Closed(client_limit::Bytes) >= 15);
  CHECK(mClients->Status().mBytes <= 10 * kHead);
}

// Guards against idle clients that keep everybody else out.
TEST(http_server_limits, ANewConnectionReplacesAnIdleOne)
{
  Start({ kBodyBytes, 2 });
  std::vector<tcp::socket> idle;
  for (int number = 0; number < 5; ++number) {
    idle.push_back(Connect(""));
  }
  CHECK(IsAnswered());
  CHECK(Closed(client_limit::Connections) >= 3);
  // Closed without a response.
  STRCMP_EQUAL("", ReadUntil(idle.front(), "\r\n").c_str());
}

// Guards against heads whose fields take many times their bytes, and against a
// limit that is off by one.
TEST(http_server_limits, TheNumberOfFieldsIsLimited)
{
  Start({ kBodyBytes, 10 });
  auto request = [](std::size_t aFields) {
    std::string text = "GET /f HTTP/1.1\r\nHost: h\r\n";
    for (std::size_t number = 1; number < aFields; ++number) {
      text += "a:\r\n";
    }
    return text + "\r\n";
  };
  std::size_t max = http_server_config{}.mMaxHeaderFields;
  tcp::socket allowed = Connect(request(max));
  CHECK(ReadUntil(allowed, "/f 0").find("Connection: close") ==
        std::string::npos);
  tcp::socket refused = Connect(request(max + 1));
  CHECK(ReadUntil(refused, "/f 0").find("Connection: close") !=
        std::string::npos);
  LONGS_EQUAL(1, Closed(client_limit::HeaderFields));
}

// Guards against counting fields only once the head is complete: the parser
// holds those of an unfinished head too.
TEST(http_server_limits, TheFieldsOfAnUnfinishedHeadAreLimited)
{
  Start({ kBodyBytes, 10 });
  std::string head = "GET /f HTTP/1.1\r\nHost: h\r\n";
  for (int number = 0; number < 1000; ++number) {
    head += "a:\r\n";
  }
  tcp::socket socket = Connect(head);
  CHECK(ReadUntil(socket, "/f 0").find("Connection: close") !=
        std::string::npos);
  LONGS_EQUAL(1, Closed(client_limit::HeaderFields));
}

// Guards against bodies that are kept although nothing will read them.
TEST(http_server_limits, AnUnusedBodyIsNotAwaited)
{
  Start({ kBodyBytes, 10 });
  tcp::socket socket = Connect(Post("/none", kBodyBytes) + "begins");
  std::string response = ReadUntil(socket, "/none 0");
  CHECK(response.find("/none 0") != std::string::npos);
  CHECK(response.find("Connection: close") != std::string::npos);
  CHECK(mClients->Status().mBytes < kBodyBytes / 2);
}

// Guards against losing a connection over a body of a few bytes.
TEST(http_server_limits, ASmallUnusedBodyKeepsTheConnection)
{
  Start({ kBodyBytes, 10 });
  tcp::socket socket = Connect(Post("/none", 5) + "fives");
  CHECK(ReadUntil(socket, "/none 5").find("Connection: close") ==
        std::string::npos);
  asio::write(socket, asio::buffer(Post("/next", 0)));
  CHECK(ReadUntil(socket, "/next 0").find("/next 0") != std::string::npos);
}

// Guards against idle connections that hold the buffer of their last request.
TEST(http_server_limits, AnIdleConnectionHoldsNoBytes)
{
  Start({ kBodyBytes, 10 });
  tcp::socket socket =
    Connect("GET /x HTTP/1.1\r\nHost: h\r\nf: " + std::string(10'000, 'h') +
            "\r\n\r\n");
  CHECK(ReadUntil(socket, "/x 0").find("/x 0") != std::string::npos);
  auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (mClients->Status().mBytes > 0 &&
         std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  LONGS_EQUAL(0, mClients->Status().mBytes);
  LONGS_EQUAL(1, mClients->Status().mConnections);
}

// Guards against pipelined requests that are lost, or read without a limit.
TEST(http_server_limits, PipelinedRequestsAreAnsweredInOrder)
{
  Start({ kBodyBytes, 10 });
  std::string requests;
  for (int number = 0; number < 50; ++number) {
    requests += Post("/p" + std::to_string(number), 3) + "abc";
  }
  tcp::socket socket = Connect(requests);
  std::string responses = ReadUntil(socket, "/p49 3");
  std::size_t at = 0;
  for (int number = 0; number < 50 && at != std::string::npos; ++number) {
    at = responses.find("/p" + std::to_string(number) + " 3", at);
  }
  CHECK(at != std::string::npos);
}
