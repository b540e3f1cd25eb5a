#include "tests/integration/platform_server.h"

#include "core/address.h"
#include "tests/integration/call.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>
#include <sys/socket.h>

namespace test {

namespace asio = boost::asio;
using hibiscusspool::milliseconds;

namespace {

constexpr milliseconds kDownTime{ 1500 };
constexpr milliseconds kHeartbeatInterval{ 300 };

}

platform_server::platform_server(std::string aId,
                                 std::string aAddress,
                                 std::string aControlAddress,
                                 platform_server_options aOptions)
  : mId(std::move(aId))
  , mAddress(std::move(aAddress))
  , mControlAddress(std::move(aControlAddress))
  , mOptions(std::move(aOptions))
  , mListener([this] { Listen(); })
  , mHeartbeats([this] { SendHeartbeats(); })
{
}

platform_server::~platform_server()
{
  mIsStopping = true;
  Crash();
  mListener.join();
  mHeartbeats.join();
  for (std::thread& connection : mConnections) {
    connection.join();
  }
}

void
platform_server::Crash()
{
  std::lock_guard guard(mLock);
  mIsUp = false;
  for (int descriptor : mOpen) {
    shutdown(descriptor, SHUT_RDWR);
  }
}

void
platform_server::Record(std::string aHead)
{
  std::lock_guard guard(mLock);
  mHeads.push_back(std::move(aHead));
}

std::vector<std::string>
platform_server::Heads()
{
  std::lock_guard guard(mLock);
  return mHeads;
}

void
platform_server::Listen()
{
  auto address = hibiscusspool::ParseAddress(mAddress);
  asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->mIp),
                                   address->mPort);
  while (!mIsStopping) {
    asio::ip::tcp::acceptor acceptor(mContext, endpoint);
    int start = ++mStarts;
    mIsUp = true;
    while (mIsUp && !mIsStopping) {
      pollfd waiter{ acceptor.native_handle(), POLLIN, 0 };
      if (poll(&waiter, 1, 20) <= 0) {
        continue;
      }
      mConnections.emplace_back(
        [this, start, peer = acceptor.accept()]() mutable {
          Serve(std::move(peer), start);
        });
    }
    acceptor.close();
    std::this_thread::sleep_for(kDownTime);
  }
}

void
platform_server::Serve(socket aPeer, int aStart)
{
  int descriptor = aPeer.native_handle();
  {
    std::lock_guard guard(mLock);
    mOpen.insert(descriptor);
  }
  asio::streambuf buffer;
  boost::system::error_code error;
  while (!error && aStart == mStarts && mIsUp) {
    std::size_t size = asio::read_until(aPeer, buffer, "\r\n\r\n", error);
    if (error) {
      break;
    }
    std::string head(asio::buffers_begin(buffer.data()),
                     asio::buffers_begin(buffer.data()) +
                       static_cast<std::ptrdiff_t>(size));
    buffer.consume(size);
    Record(head);
    if (head.find("harmful") != std::string::npos) {
      ++mHarmfulArrivals;
      Crash();
      break;
    }
    int arrival = ++mArrivals;
    if (mOptions.mLosesEach > 0 && arrival % mOptions.mLosesEach == 0) {
      // Without a linger time, closing resets the connection.
      aPeer.set_option(asio::socket_base::linger(true, 0), error);
      break;
    }
    bool fails = mOptions.mFailsEach > 0 && arrival % mOptions.mFailsEach == 0;
    const std::string field = "X-Request-Id: ";
    std::size_t id = head.find(field) + field.size();
    std::string response =
      std::string(fails ? "HTTP/1.1 500 Error" : "HTTP/1.1 200 OK") +
      "\r\nX-Server-Stamp: " + mId +
      "\r\nX-Request-Id: " + head.substr(id, head.find('\r', id) - id) +
      "\r\nContent-Length: 2\r\n\r\nok";
    asio::write(aPeer, asio::buffer(response), error);
  }
  std::lock_guard guard(mLock);
  mOpen.erase(descriptor);
}

void
platform_server::SendHeartbeats()
{
  int sequence = 0;
  while (!mIsStopping) {
    if (mIsUp) {
      std::string body = R"({"service":")" + mOptions.mService +
                         R"(","address":")" + mAddress +
                         R"(","zone":"a","version":")" + mOptions.mVersion +
                         R"(","slots":4,)"
                         R"("state":"ready","warmup_left_ms":0,"born":)" +
                         std::to_string(1000 + mStarts) + R"(,"seq":)" +
                         std::to_string(++sequence) + "}";
      Call("POST", mControlAddress, "/api/Instances.Heartbeat/" + mId, body);
    }
    std::this_thread::sleep_for(kHeartbeatInterval);
  }
}

}
