#include "tests/standin/proxy.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kChunkBytes = 64 << 10;

}

struct proxied_connection
{
  tcp::socket mCaller;
  tcp::socket mTarget;
  bool mIsSilent = false;
};

proxy_link::proxy_link(asio::io_context& aContext,
                       std::string aName,
                       tcp::endpoint aListen,
                       tcp::endpoint aTarget)
  : mContext(aContext)
  , mName(std::move(aName))
  , mListenEndpoint(std::move(aListen))
  , mTarget(std::move(aTarget))
  , mAcceptor(aContext)
{
}

bool
proxy_link::Start()
{
  boost::system::error_code error;
  mAcceptor.open(mListenEndpoint.protocol(), error);
  mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  mAcceptor.bind(mListenEndpoint, error);
  if (error) {
    return false;
  }
  mAcceptor.listen(1024, error);
  asio::co_spawn(
    mContext,
    [self = shared_from_this()]() { return self->Accept(); },
    asio::detached);
  return !error;
}

asio::awaitable<void>
proxy_link::Accept()
{
  while (true) {
    auto [error, socket] = co_await mAcceptor.async_accept(kNoThrow);
    if (error) {
      co_return;
    }
    if (mIsCut) {
      continue;
    }
    std::uint64_t number = mNextConnection++;
    auto connection = std::make_shared<proxied_connection>(
      proxied_connection{ std::move(socket), tcp::socket(mContext) });
    mConnections[number] = connection;
    asio::co_spawn(
      mContext,
      [self = shared_from_this(), connection, number]() {
        return self->Serve(connection, number);
      },
      asio::detached);
  }
}

asio::awaitable<void>
proxy_link::Serve(std::shared_ptr<proxied_connection> aConnection,
                  std::uint64_t aNumber)
{
  auto [error] = co_await aConnection->mTarget.async_connect(mTarget, kNoThrow);
  if (error) {
    Close(aNumber);
    co_return;
  }
  boost::system::error_code ignored;
  aConnection->mCaller.set_option(tcp::no_delay(true), ignored);
  aConnection->mTarget.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(
    mContext,
    [self = shared_from_this(), aConnection]() {
      return self->Forward(aConnection, false);
    },
    [self = shared_from_this(), aNumber](const std::exception_ptr&) {
      self->Close(aNumber);
    });
  co_await Forward(aConnection, true);
  Close(aNumber);
}

asio::awaitable<void>
proxy_link::Forward(std::shared_ptr<proxied_connection> aConnection,
                    bool aIsUpstream)
{
  tcp::socket& from = aIsUpstream ? aConnection->mCaller : aConnection->mTarget;
  tcp::socket& to = aIsUpstream ? aConnection->mTarget : aConnection->mCaller;
  auto chunk = std::make_shared<std::array<char, kChunkBytes>>();
  asio::steady_timer delay(mContext);
  while (true) {
    auto [error, count] =
      co_await from.async_read_some(asio::buffer(*chunk), kNoThrow);
    if (aConnection->mIsSilent) {
      // A silenced connection carries nothing more, not even its end.
      delay.expires_at(std::chrono::steady_clock::time_point::max());
      co_await delay.async_wait(kNoThrow);
      co_return;
    }
    if (error) {
      co_return;
    }
    bool isLost = aIsUpstream ? mDropsUpstream : mDropsDownstream;
    if (isLost) {
      continue;
    }
    if (mDelayMs > 0) {
      delay.expires_after(
        std::chrono::microseconds(static_cast<std::int64_t>(mDelayMs * 1000)));
      co_await delay.async_wait(kNoThrow);
    }
    (aIsUpstream ? mBytesUp : mBytesDown) += count;
    auto [failed, written] = co_await asio::async_write(
      to, asio::buffer(chunk->data(), count), kNoThrow);
    if (failed) {
      co_return;
    }
  }
}

void
proxy_link::Close(std::uint64_t aNumber)
{
  auto found = mConnections.find(aNumber);
  if (found == mConnections.end() || found->second->mIsSilent) {
    return;
  }
  boost::system::error_code ignored;
  found->second->mCaller.close(ignored);
  found->second->mTarget.close(ignored);
  mConnections.erase(found);
}

bool
proxy_link::ApplyOptions(const json::object& aOptions)
{
  for (const auto& [key, value] : aOptions) {
    if (key == "delay_ms") {
      mDelayMs = value.to_number<double>();
    } else if (key == "loses_up") {
      mDropsUpstream = value.as_bool();
    } else if (key == "loses_down") {
      mDropsDownstream = value.as_bool();
    } else if (key == "cut") {
      mIsCut = value.as_bool();
      auto connections = mConnections;
      for (auto& [number, connection] : connections) {
        if (mIsCut) {
          Close(number);
        }
      }
    } else if (key == "silence_open") {
      for (auto& [number, connection] : mConnections) {
        connection->mIsSilent = true;
      }
    } else {
      return false;
    }
  }
  return true;
}

json::object
proxy_link::ToJson() const
{
  return { { "link", mName },
           { "open", mConnections.size() },
           { "bytes_up", mBytesUp },
           { "bytes_down", mBytesDown } };
}

}
