#include "core/background_task.h"
#include "core/periodic.h"

#include <boost/asio/post.hpp>

#include <stdexcept>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;

asio::awaitable<void>
Fail()
{
  throw std::runtime_error("a failure");
  co_return;
}

}

TEST_GROUP(background_task)
{
  asio::io_context mContext;
  std::uint64_t mFailuresBefore = TaskFailureCount();

  std::uint64_t NewFailures() const
  {
    return TaskFailureCount() - mFailuresBefore;
  }
};

TEST(background_task, AnExceptionThatEndsATaskIsCounted)
{
  RunInBackground(mContext.get_executor(), "test", Fail());
  mContext.run();
  LONGS_EQUAL(1, NewFailures());
}

TEST(background_task, APeriodicStepThatThrowsDoesNotEndItsLoop)
{
  std::atomic<bool> isStopping = false;
  int steps = 0;
  RunPeriodically(mContext,
                  "test",
                  milliseconds(1),
                  isStopping,
                  [&]() -> asio::awaitable<void> {
                    ++steps;
                    isStopping = steps == 3;
                    return Fail();
                  });
  mContext.run();
  LONGS_EQUAL(3, steps);
  LONGS_EQUAL(3, NewFailures());
}

TEST(background_task, AHandlerThatThrowsDoesNotEndTheOthers)
{
  bool hasRun = false;
  asio::post(mContext, [] { throw std::runtime_error("a failure"); });
  asio::post(mContext, [&] { hasRun = true; });
  RunHandlers(mContext);
  CHECK(hasRun);
  LONGS_EQUAL(1, NewFailures());
}
