#include "decisions/servers/crash_suspects.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };
const server_start kStart{ server_id{ "s" }, 7 };

server_fate
Unchanged(const server_start& /*aStart*/)
{
  return server_fate::Unchanged;
}

}

TEST_GROUP(crash_suspects)
{
  crash_suspects mSuspects;

  void Lose(const std::string& aRequest)
  {
    mSuspects.OnLost(fingerprint_id{ aRequest }, kStart, "1.2.3.4:5", kNow);
  }
};

TEST(crash_suspects, ServerIsProbedOnceAfterItsListenerIsClosed)
{
  Lose("one");
  Lose("two");
  CHECK(mSuspects.TakeDueProbes(kNow).empty());
  auto due = mSuspects.TakeDueProbes(kNow + crash_suspects::kProbeDelay);
  LONGS_EQUAL(1, due.size());
  STRCMP_EQUAL("1.2.3.4:5", due.front().mAddress.c_str());
  CHECK(mSuspects.TakeDueProbes(kNow + milliseconds(1000)).empty());
}

TEST(crash_suspects, RequestsAreConfirmedOnceTheirServerHasEnded)
{
  Lose("one");
  Lose("two");
  CHECK(mSuspects.TakeConfirmed(Unchanged, kNow).empty());
  mSuspects.OnProbe(kStart, connect_result::Refused);
  LONGS_EQUAL(2, mSuspects.TakeConfirmed(Unchanged, kNow).size());
  CHECK(mSuspects.IsEmpty());
}

TEST(crash_suspects, ALostConnectionToASoundServerIsNoCrash)
{
  Lose("one");
  mSuspects.OnProbe(kStart, connect_result::Accepted);
  CHECK(mSuspects.IsEmpty());
  Lose("one");
  mSuspects.OnProbe(kStart, connect_result::Unknown);
  steady_time end = kNow + crash_suspects::kVerdictTime;
  CHECK(mSuspects.TakeConfirmed(Unchanged, end).empty());
  CHECK(mSuspects.IsEmpty());
}

TEST(crash_suspects, AServerThatIsRecordedWithALaterStartHasEnded)
{
  Lose("one");
  mSuspects.OnProbe(kStart, connect_result::Unknown);
  auto ended = [](const server_start&) { return server_fate::Ended; };
  LONGS_EQUAL(1, mSuspects.TakeConfirmed(ended, kNow).size());
}

TEST(crash_suspects, AServerThatSaidThatItLeavesDidNotCrash)
{
  Lose("one");
  mSuspects.OnProbe(kStart, connect_result::Refused);
  auto left = [](const server_start&) { return server_fate::Left; };
  CHECK(mSuspects.TakeConfirmed(left, kNow).empty());
  CHECK(mSuspects.IsEmpty());
}
