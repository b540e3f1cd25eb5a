#include "filters/turn.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** A request that waits for its turn. */
struct waiting_request
{
  asio::steady_timer mTimer;
  std::optional<bool> mIsInTime;
};

void
GiveTurns(start_controller& aStarts,
          const std::function<steady_time()>& aNow,
          const asio::any_io_executor& aExecutor)
{
  asio::post(aExecutor, [&aStarts, aNow, aExecutor] {
    if (aStarts.GiveTurn(aNow())) {
      GiveTurns(aStarts, aNow, aExecutor);
    }
  });
}

waiting_start
StartOf(const request_context& aRequest)
{
  waiting_start start;
  start.mPriority = aRequest.mPriority;
  start.mDueAt =
    aRequest.mOnProgress ? aRequest.mReportBy : aRequest.mSoftDeadline;
  start.mDeadline = aRequest.mDeadline;
  return start;
}

asio::awaitable<void>
AwaitTurn(start_controller& aStarts,
          const std::function<steady_time()>& aNow,
          request_context& aRequest)
{
  auto executor = co_await asio::this_coro::executor;
  auto waiting = std::make_shared<waiting_request>(
    waiting_request{ asio::steady_timer(executor), std::nullopt });
  waiting->mTimer.expires_at(steady_time::max());
  start_callback callback = [waiting, executor](bool aIsInTime) {
    asio::post(executor, [waiting, aIsInTime] {
      waiting->mIsInTime = aIsInTime;
      waiting->mTimer.cancel();
    });
  };
  bool givesTurns = aStarts.Enter(StartOf(aRequest), std::move(callback));
  if (givesTurns) {
    GiveTurns(aStarts, aNow, executor);
  }
  while (!waiting->mIsInTime) {
    co_await waiting->mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (!*waiting->mIsInTime) {
    aRequest.Refuse(refusal_reason::DeadlinePassed,
                    "The deadline passed before this host began the request.");
  }
}

}

filter
MakeTurn(start_controller& aStarts, std::function<steady_time()> aNow)
{
  return { filter_name::Turn,
           filter_condition::NotRefused,
           [&aStarts, now = std::move(aNow)](
             request_context& aRequest) -> asio::awaitable<void> {
             co_await AwaitTurn(aStarts, now, aRequest);
           } };
}

}
