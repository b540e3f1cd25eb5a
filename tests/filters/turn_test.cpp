#include "filters/turn.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

}

TEST_GROUP(turn)
{
  asio::io_context mContext;
  start_controller mStarts;
  filter mTurn = MakeTurn(mStarts, [] { return kNow; });
  std::vector<std::uint32_t> mStarted;
  std::vector<std::unique_ptr<request_context>> mRequests;

  /** A request that came in while this host was busy. */
  void Add(std::uint32_t aPriority, milliseconds aLeft)
  {
    auto& request =
      *mRequests.emplace_back(std::make_unique<request_context>());
    request.mPriority = aPriority;
    request.mDeadline = kNow + aLeft;
    asio::co_spawn(
      mContext,
      [this, &request]() -> asio::awaitable<void> {
        co_await mTurn.mHook(request);
        if (!request.mRefusal) {
          mStarted.push_back(request.mPriority);
        }
      },
      asio::detached);
  }
};

// Guards against urgent requests that start behind a pile of others.
TEST(turn, UrgentRequestsOfAPileStartFirst)
{
  for (std::uint32_t priority : { 2, 1, 0, 1, 0 }) {
    Add(priority, milliseconds(600));
  }
  mContext.run();
  CHECK(mStarted == (std::vector<std::uint32_t>{ 0, 0, 1, 1, 2 }));
}

// Guards against a request that never gets a turn once the pile is gone.
TEST(turn, EachLaterRequestGetsATurn)
{
  for (int count = 0; count < 3; ++count) {
    Add(1, milliseconds(600));
    mContext.run();
    mContext.restart();
  }
  LONGS_EQUAL(3, mStarted.size());
}

// Guards against work that is started after its deadline.
TEST(turn, ARequestWhoseDeadlineHasPassedIsRefused)
{
  Add(0, milliseconds(0));
  Add(1, milliseconds(600));
  mContext.run();
  CHECK(mRequests.front()->mRefusal.has_value());
  CHECK(mRequests.front()->mRefusal->mReason == refusal_reason::DeadlinePassed);
  CHECK(mRequests.front()->mRefusal->mRan == execution_status::No);
  CHECK(mStarted == (std::vector<std::uint32_t>{ 1 }));
}
