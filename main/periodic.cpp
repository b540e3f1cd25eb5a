#include "main/periodic.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

asio::awaitable<void>
RunLoop(milliseconds aPause,
        const std::atomic<bool>& aIsStopping,
        std::function<asio::awaitable<void>()> aStep)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!aIsStopping) {
    co_await aStep();
    timer.expires_after(aPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}

void
RunPeriodically(asio::io_context& aContext,
                milliseconds aPause,
                const std::atomic<bool>& aIsStopping,
                std::function<asio::awaitable<void>()> aStep)
{
  asio::co_spawn(asio::make_strand(aContext),
                 RunLoop(aPause, aIsStopping, std::move(aStep)),
                 asio::detached);
}

}
