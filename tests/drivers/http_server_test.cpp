#include "drivers/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;
using tcp = asio::ip::tcp;

/** A port that was free a moment ago. */
std::uint16_t
FreePort()
{
  asio::io_context context;
  tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
  return probe.local_endpoint().port();
}

}

/** A server that echoes the path of each request. */
TEST_GROUP(http_server)
{
  asio::io_context mContext;
  std::uint16_t mPort = FreePort();
  std::optional<http_server> mServer;
  std::thread mThread;

  void Start(bool aRuns)
  {
    http_server_config config;
    config.mAddress = "127.0.0.1:" + std::to_string(mPort);
    auto server = http_server::Create(
      mContext,
      config,
      [](http_request aRequest) -> asio::awaitable<http_response> {
        http_response response;
        response.mBody = aRequest.mPath;
        co_return response;
      });
    mServer.emplace(std::move(server.value()));
    if (aRuns) {
      RunServer();
    }
  }

  void RunServer()
  {
    mThread = std::thread([this] { mContext.run(); });
  }

  void teardown() override
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  tcp::socket Connect(asio::io_context & aContext) const
  {
    tcp::socket socket(aContext);
    socket.connect({ asio::ip::make_address("127.0.0.1"), mPort });
    return socket;
  }

  static void Write(tcp::socket & aSocket, const std::string& aBytes)
  {
    asio::write(aSocket, asio::buffer(aBytes));
  }

  /** All bytes until the server closes; "reset" if it resets. */
  static std::string ReadAll(tcp::socket & aSocket)
  {
    std::string bytes;
    boost::system::error_code error;
    asio::read(aSocket, asio::dynamic_buffer(bytes), error);
    return error == asio::error::eof ? bytes : "reset";
  }
};

TEST(http_server, RequestsThatArriveAtAStopAreAnswered)
{
  // Nothing runs yet, so the requests wait where a busy server leaves them: in
  // the sockets of connections that the kernel has accepted.
  Start(false);
  asio::io_context callers;
  std::vector<tcp::socket> sockets;
  for (int caller = 0; caller < 20; ++caller) {
    sockets.push_back(Connect(callers));
    Write(sockets.back(), "GET /whole HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  mServer->StartDraining();
  mServer->Stop();
  RunServer();
  for (tcp::socket& socket : sockets) {
    std::string answer = ReadAll(socket);
    CHECK(answer.find("200") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
  }
}

TEST(http_server, ARequestThatIsBeingReadAtAStopIsAnswered)
{
  Start(true);
  asio::io_context callers;
  tcp::socket socket = Connect(callers);
  Write(socket,
        "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
  std::this_thread::sleep_for(milliseconds(100));
  mServer->StartDraining();
  mServer->Stop();
  std::this_thread::sleep_for(milliseconds(100));
  Write(socket, "cd");
  CHECK(ReadAll(socket).find("200") != std::string::npos);
}

TEST(http_server, ARequestReadJustBeforeAStopIsAnswered)
{
  Start(false);
  asio::io_context callers;
  tcp::socket socket = Connect(callers);
  Write(socket, "GET /whole HTTP/1.1\r\nHost: h\r\n\r\n");
  // The connection is accepted, but its first read has not begun: its bytes
  // will be read before the stop looks at the connection, and handled after.
  while (mServer->ConnectionCount() == 0) {
    mContext.restart();
    mContext.poll_one();
  }
  mServer->StartDraining();
  mServer->Stop();
  mContext.restart();
  RunServer();
  CHECK(ReadAll(socket).find("200") != std::string::npos);
}

TEST(http_server, IdleConnectionsAreClosedAtAStop)
{
  Start(true);
  asio::io_context callers;
  tcp::socket socket = Connect(callers);
  std::this_thread::sleep_for(milliseconds(100));
  mServer->StartDraining();
  mServer->Stop();
  STRCMP_EQUAL("", ReadAll(socket).c_str());
}

TEST(http_server, EndlessChunkHeadersEndTheConnection)
{
  Start(true);
  asio::io_context callers;
  tcp::socket socket = Connect(callers);
  Write(
    socket,
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;e=");
  std::string block(16'384, 'e');
  boost::system::error_code error;
  auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!error && std::chrono::steady_clock::now() < limit) {
    asio::write(socket, asio::buffer(block), error);
  }
  CHECK(error.failed());
}

// Guards against a closing connection that stays for as long as its peer sends:
// reads that complete at once kept the time limit from ending it.
TEST(http_server, APeerThatNeverStopsSendingIsCutOff)
{
  // The most that the server reads, and what both kernels buffer.
  constexpr std::size_t kMaxBytes = 32 << 20;
  Start(true);
  asio::io_context callers;
  tcp::socket socket = Connect(callers);
  Write(socket, "no request\r\n\r\n");
  std::string block(65'536, 'e');
  boost::system::error_code error;
  std::size_t sent = 0;
  while (!error && sent <= kMaxBytes) {
    sent += asio::write(socket, asio::buffer(block), error);
  }
  CHECK(error.failed());
}
