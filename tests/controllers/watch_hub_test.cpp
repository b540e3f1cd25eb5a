#include "controllers/watch_hub.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

record_change
Fact(const std::string& aName)
{
  return record_removal{ record_kind::Team, aName };
}

}

TEST_GROUP(watch_hub)
{
  std::vector<std::function<void(log_index)>> mAsked;
  watch_hub mHub{ { [] {
                     return std::pair(
                       log_index(10),
                       std::vector<record_change>{ Fact("whole") });
                   },
                    [this](std::function<void(log_index)> aReply) {
                      mAsked.push_back(std::move(aReply));
                    } } };

  stream_id Open()
  {
    return mHub.Open(
      {}, [] {}, kNow);
  }

  /** A stream that holds all facts by now. */
  stream_id OpenWithFacts()
  {
    stream_id stream = Open();
    mHub.Report(stream, { 1, 0, {}, true }, kNow);
    mAsked.back()(10);
    mAsked.clear();
    mHub.Next(stream);
    return stream;
  }
};

TEST(watch_hub, AStreamGetsNothingBeforeItsFirstConfirmation)
{
  // A control host that has just restarted knows little of the log.
  mHub.ResetStreams(0);
  stream_id stream = Open();
  mHub.Report(stream, { 1, 500, {}, true }, kNow);
  mHub.Publish(1, { Fact("long past") });
  CHECK(!mHub.Next(stream));
  mHub.Publish(10, { Fact("now") });
  mAsked[0](10);
  auto first = mHub.Next(stream);
  CHECK(first->mIsFullState);
  LONGS_EQUAL(10, first->mIndex);
  LONGS_EQUAL(1, first->mConfirmedMark);
}

TEST(watch_hub, AStreamStartsWithAllFactsAndGoesOnInOrder)
{
  mHub.ResetStreams(10);
  stream_id stream = OpenWithFacts();
  CHECK(!mHub.Next(stream));
  mHub.Publish(11, { Fact("a") });
  mHub.Publish(12, {});
  mHub.Publish(13, { Fact("b") });
  auto next = mHub.Next(stream);
  CHECK(!next->mIsFullState);
  LONGS_EQUAL(2, next->mRecordChanges.size());
  LONGS_EQUAL(13, next->mIndex);
}

TEST(watch_hub, AStreamThatLagsTooFarStartsAnew)
{
  mHub.ResetStreams(10);
  stream_id stream = OpenWithFacts();
  for (log_index index = 11; index < 5000; ++index) {
    mHub.Publish(index, { Fact("x") });
  }
  CHECK(mHub.Next(stream)->mIsFullState);
}

TEST(watch_hub, AMarkIsConfirmedByARoundThatBeganAfterIt)
{
  mHub.ResetStreams(10);
  stream_id early = OpenWithFacts();
  stream_id late = OpenWithFacts();
  mHub.Report(early, { 2, 10, {}, true }, kNow);
  LONGS_EQUAL(1, mAsked.size());
  // This mark comes while the first round may have read already.
  mHub.Report(late, { 7, 10, {}, true }, kNow);
  LONGS_EQUAL(1, mAsked.size());
  mAsked[0](10);
  LONGS_EQUAL(2, mHub.Next(early)->mConfirmedMark);
  CHECK(!mHub.Next(late));
  LONGS_EQUAL(2, mAsked.size());
  mAsked[1](10);
  LONGS_EQUAL(7, mHub.Next(late)->mConfirmedMark);
}

TEST(watch_hub, OneRoundServesAllMarksThatWait)
{
  mHub.ResetStreams(10);
  std::vector<stream_id> streams;
  stream_id first = Open();
  mHub.Report(first, { 1, 10, {}, true }, kNow);
  for (int count = 0; count < 50; ++count) {
    streams.push_back(Open());
    mHub.Report(streams.back(), { 2, 10, {}, true }, kNow);
  }
  mAsked[0](10);
  LONGS_EQUAL(2, mAsked.size());
  mAsked[1](10);
  LONGS_EQUAL(2, mAsked.size());
  for (stream_id stream : streams) {
    LONGS_EQUAL(2, mHub.Next(stream)->mConfirmedMark);
  }
}
