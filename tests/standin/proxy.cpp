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

struct proxied
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
  , mListen(std::move(aListen))
  , mTarget(std::move(aTarget))
  , mAcceptor(aContext)
{
}

bool
proxy_link::Start()
{
  boost::system::error_code error;
  mAcceptor.open(mListen.protocol(), error);
  mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  mAcceptor.bind(mListen, error);
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
    std::uint64_t number = mNextOpen++;
    auto open = std::make_shared<proxied>(
      proxied{ std::move(socket), tcp::socket(mContext) });
    mOpen[number] = open;
    asio::co_spawn(
      mContext,
      [self = shared_from_this(), open, number]() {
        return self->Serve(open, number);
      },
      asio::detached);
  }
}

asio::awaitable<void>
proxy_link::Serve(std::shared_ptr<proxied> aOpen, std::uint64_t aNumber)
{
  auto [error] = co_await aOpen->mTarget.async_connect(mTarget, kNoThrow);
  if (error) {
    Close(aNumber);
    co_return;
  }
  boost::system::error_code ignored;
  aOpen->mCaller.set_option(tcp::no_delay(true), ignored);
  aOpen->mTarget.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(
    mContext,
    [self = shared_from_this(), aOpen]() { return self->Pump(aOpen, false); },
    [self = shared_from_this(), aNumber](const std::exception_ptr&) {
      self->Close(aNumber);
    });
  co_await Pump(aOpen, true);
  Close(aNumber);
}

asio::awaitable<void>
proxy_link::Pump(std::shared_ptr<proxied> aOpen, bool aIsUp)
{
  tcp::socket& from = aIsUp ? aOpen->mCaller : aOpen->mTarget;
  tcp::socket& to = aIsUp ? aOpen->mTarget : aOpen->mCaller;
  auto chunk = std::make_shared<std::array<char, kChunkBytes>>();
  asio::steady_timer delay(mContext);
  while (true) {
    auto [error, count] =
      co_await from.async_read_some(asio::buffer(*chunk), kNoThrow);
    if (aOpen->mIsSilent) {
      // A forgotten connection says nothing more, not even that it ended.
      delay.expires_at(std::chrono::steady_clock::time_point::max());
      co_await delay.async_wait(kNoThrow);
      co_return;
    }
    if (error) {
      co_return;
    }
    bool isLost = aIsUp ? mLosesUp : mLosesDown;
    if (isLost) {
      continue;
    }
    if (mDelayMs > 0) {
      delay.expires_after(
        std::chrono::microseconds(static_cast<std::int64_t>(mDelayMs * 1000)));
      co_await delay.async_wait(kNoThrow);
    }
    (aIsUp ? mBytesUp : mBytesDown) += count;
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
  auto found = mOpen.find(aNumber);
  if (found == mOpen.end() || found->second->mIsSilent) {
    return;
  }
  boost::system::error_code ignored;
  found->second->mCaller.close(ignored);
  found->second->mTarget.close(ignored);
  mOpen.erase(found);
}

bool
proxy_link::Change(const json::object& aWishes)
{
  for (const auto& [key, value] : aWishes) {
    if (key == "delay_ms") {
      mDelayMs = value.to_number<double>();
    } else if (key == "loses_up") {
      mLosesUp = value.as_bool();
    } else if (key == "loses_down") {
      mLosesDown = value.as_bool();
    } else if (key == "cut") {
      mIsCut = value.as_bool();
      auto open = mOpen;
      for (auto& [number, connection] : open) {
        if (mIsCut) {
          Close(number);
        }
      }
    } else if (key == "silence_open") {
      for (auto& [number, connection] : mOpen) {
        connection->mIsSilent = true;
      }
    } else {
      return false;
    }
  }
  return true;
}

json::object
proxy_link::Describe() const
{
  return { { "link", mName },
           { "open", mOpen.size() },
           { "bytes_up", mBytesUp },
           { "bytes_down", mBytesDown } };
}

}
