#include "drivers/tcp_listener.h"

#include "core/address.h"
#include "core/background_task.h"
#include "core/clock.h"
#include "core/log_event.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>

namespace hibiscusspool {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr milliseconds kAcceptRetryDelay{ 50 };
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

result<void, tcp_listener_error>
Listen(tcp::acceptor& aAcceptor, const std::string& aAddress)
{
  auto address = ParseAddress(aAddress);
  if (!address) {
    return Fail(tcp_listener_error::CannotListen,
                "The listener's address is not an ip:port: " + aAddress);
  }
  tcp::endpoint endpoint(asio::ip::make_address(address->mIp), address->mPort);
  boost::system::error_code error;
  aAcceptor.open(endpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(tcp_listener_error::CannotListen,
                aAddress + ": " + error.message());
  }
  return boost::outcome_v2::success();
}

}

struct tcp_listener::state
{
  std::string mAddress;
  tcp_listener_hooks mHooks;
  tcp::acceptor mAcceptor;
  /** Accepting waits on this timer while there is no capacity. */
  asio::steady_timer mCapacityTimer;
  /** The cause of the latest failure, or empty after a success. */
  std::string mLastCause;
  std::atomic<bool> mIsStopped{ false };

  state(asio::io_context& aContext,
        std::string aAddress,
        tcp_listener_hooks aHooks)
    : mAddress(std::move(aAddress))
    , mHooks(std::move(aHooks))
    , mAcceptor(asio::make_strand(aContext))
    , mCapacityTimer(mAcceptor.get_executor())
  {
  }

  /** Logs the first of a series of failures, and its end. */
  void LogOutcome(const boost::system::error_code& aError)
  {
    std::string cause = aError ? aError.message() : std::string();
    if (cause == mLastCause) {
      return;
    }
    if (aError) {
      log_event("accept_failed", log_event::severity::Error)
        .Add("address", mAddress)
        .Add("cause", cause);
    } else {
      log_event("accept_regained").Add("address", mAddress);
    }
    mLastCause = std::move(cause);
  }
};

tcp_listener::tcp_listener(std::shared_ptr<state> aState)
  : mState(std::move(aState))
{
}

result<tcp_listener, tcp_listener_error>
tcp_listener::Create(asio::io_context& aContext,
                     const std::string& aAddress,
                     tcp_listener_hooks aHooks)
{
  auto made = std::make_shared<state>(aContext, aAddress, std::move(aHooks));
  auto listening = Listen(made->mAcceptor, aAddress);
  if (!listening) {
    return listening.error();
  }
  return tcp_listener(std::move(made));
}

result<void, tcp_listener_error>
tcp_listener::CheckAddress(asio::io_context& aContext,
                           const std::string& aAddress)
{
  tcp::acceptor acceptor(aContext);
  return Listen(acceptor, aAddress);
}

void
tcp_listener::Start()
{
  RunInBackground(mState->mAcceptor.get_executor(), "accept", Run(mState));
}

asio::awaitable<void>
tcp_listener::Run(std::shared_ptr<state> aState)
{
  asio::steady_timer retryTimer(co_await asio::this_coro::executor);
  while (!aState->mIsStopped) {
    if (aState->mHooks.mHasCapacity && !aState->mHooks.mHasCapacity()) {
      aState->mCapacityTimer.expires_at(steady_time::max());
      co_await aState->mCapacityTimer.async_wait(kNoThrow);
      continue;
    }
    auto [error, socket] = co_await aState->mAcceptor.async_accept(
      aState->mHooks.mSelectExecutor(), kNoThrow);
    if (error && aState->mIsStopped) {
      break;
    }
    aState->LogOutcome(error);
    if (error) {
      retryTimer.expires_after(kAcceptRetryDelay);
      co_await retryTimer.async_wait(kNoThrow);
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    aState->mHooks.mOnAccepted(std::move(socket));
  }
}

void
tcp_listener::Resume()
{
  asio::post(mState->mAcceptor.get_executor(),
             [self = mState] { self->mCapacityTimer.cancel(); });
}

void
tcp_listener::Stop()
{
  mState->mIsStopped = true;
  asio::post(mState->mAcceptor.get_executor(), [self = mState] {
    // Peers that the kernel has accepted already may have sent a request.
    boost::system::error_code error;
    self->mAcceptor.cancel(error);
    self->mCapacityTimer.cancel();
    self->mAcceptor.non_blocking(true, error);
    while (!error) {
      tcp::socket socket =
        self->mAcceptor.accept(self->mHooks.mSelectExecutor(), error);
      if (!error) {
        self->mHooks.mOnAccepted(std::move(socket));
      }
    }
    self->mAcceptor.close(error);
  });
}

}
