#include "decisions/servers/exchange_history.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

}

TEST_GROUP(exchange_history)
{
  exchange_history mHistory;

  void Carry(const std::string& aId, milliseconds aFor)
  {
    mHistory.OnRequest(aId, kNow + aFor, kNow);
  }
};

TEST(exchange_history, RequestIsCarriedOnceUntilItCanNotBeSentAgain)
{
  CHECK(mHistory.MayCarry("r1", kNow));
  Carry("r1", milliseconds(100));
  CHECK_FALSE(mHistory.MayCarry("r1", kNow + milliseconds(99)));
  CHECK(mHistory.MayCarry("r2", kNow));
  CHECK(mHistory.MayCarry("r1", kNow + milliseconds(100)));
}

TEST(exchange_history, ConnectionIsReplacedInsteadOfForgettingRequests)
{
  for (std::size_t number = 0; number < exchange_history::kMaxCarried;
       ++number) {
    CHECK(mHistory.MayCarry("new", kNow));
    Carry("r" + std::to_string(number), milliseconds(100));
  }
  CHECK_FALSE(mHistory.MayCarry("new", kNow));
  CHECK(mHistory.MayCarry("new", kNow + milliseconds(100)));
}

TEST(exchange_history, ResponseBelongsToTheRequestThatItNames)
{
  Carry("r1", milliseconds(100));
  CHECK(mHistory.OnResponse("r1", "r1") == response_owner::Current);
  Carry("r2", milliseconds(100));
  CHECK(mHistory.OnResponse("r2", "r1") == response_owner::Earlier);
  CHECK(mHistory.OnResponse("r2", "") == response_owner::Doubtful);
  CHECK(mHistory.OnResponse("r2", "r2") == response_owner::Current);
}

TEST(exchange_history, ResponseWithoutIdBelongsToTheOnlyRequest)
{
  Carry("r1", milliseconds(100));
  CHECK(mHistory.OnResponse("r1", "") == response_owner::Current);
  Carry("r2", milliseconds(100));
  CHECK(mHistory.OnResponse("r2", "") == response_owner::Unnamed);
}
