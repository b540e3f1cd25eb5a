#include "core/periodic.h"
#include "core/background_task.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

asio::awaitable<void>
RunLoop(std::string aTask,
        milliseconds aPause,
        const std::atomic<bool>& aIsStopping,
        std::function<asio::awaitable<void>()> aStep)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!aIsStopping) {
    // A failed step must not end the loop.
    try {
      co_await aStep();
    } catch (...) {
      ReportTaskFailure(aTask, std::current_exception());
    }
    timer.expires_after(aPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}

void
RunPeriodically(asio::io_context& aContext,
                const std::string& aTask,
                milliseconds aPause,
                const std::atomic<bool>& aIsStopping,
                std::function<asio::awaitable<void>()> aStep)
{
  RunInBackground(asio::make_strand(aContext),
                  aTask,
                  RunLoop(aTask, aPause, aIsStopping, std::move(aStep)));
}

}
