#include "controllers/watch_hub.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

record_change
Change(const std::string& aName)
{
  return record_removal{ record_kind::Team, aName };
}

}

TEST_GROUP(watch_hub)
{
  std::vector<std::function<void(log_index)>> mPendingReads;
  watch_hub mHub{ { [] {
                     return std::pair(
                       log_index(10),
                       std::vector<record_change>{ Change("whole") });
                   },
                    [this](std::function<void(log_index)> aCallback) {
                      mPendingReads.push_back(std::move(aCallback));
                    } } };

  stream_id Open()
  {
    return mHub.Open(
      {}, [] {}, kNow);
  }

  /** Opens a stream that has already received the full state. */
  stream_id OpenWithFullState()
  {
    stream_id stream = Open();
    mHub.Report(stream, { 1, 0, {}, true }, kNow);
    mPendingReads.back()(10);
    mPendingReads.clear();
    mHub.Next(stream);
    return stream;
  }
};

TEST(watch_hub, StreamGetsNoUpdateBeforeFirstConfirmation)
{
  // A control host that has just restarted may be far behind in the log.
  mHub.ResetStreams(0);
  stream_id stream = Open();
  mHub.Report(stream, { 1, 500, {}, true }, kNow);
  mHub.Publish(1, { Change("long past") });
  CHECK(!mHub.Next(stream));
  mHub.Publish(10, { Change("now") });
  mPendingReads[0](10);
  auto first = mHub.Next(stream);
  CHECK(first->mIsFullState);
  LONGS_EQUAL(10, first->mIndex);
  LONGS_EQUAL(1, first->mConfirmedMark);
}

TEST(watch_hub, StreamStartsWithFullStateThenGetsChangesInOrder)
{
  mHub.ResetStreams(10);
  stream_id stream = OpenWithFullState();
  CHECK(!mHub.Next(stream));
  mHub.Publish(11, { Change("a") });
  mHub.Publish(12, {});
  mHub.Publish(13, { Change("b") });
  auto next = mHub.Next(stream);
  CHECK(!next->mIsFullState);
  LONGS_EQUAL(2, next->mRecordChanges.size());
  LONGS_EQUAL(13, next->mIndex);
}

TEST(watch_hub, LaggingStreamGetsFullState)
{
  mHub.ResetStreams(10);
  stream_id stream = OpenWithFullState();
  for (log_index index = 11; index < 5000; ++index) {
    mHub.Publish(index, { Change("x") });
  }
  CHECK(mHub.Next(stream)->mIsFullState);
}

TEST(watch_hub, MarkIsConfirmedByRoundStartedAfterIt)
{
  mHub.ResetStreams(10);
  stream_id early = OpenWithFullState();
  stream_id late = OpenWithFullState();
  mHub.Report(early, { 2, 10, {}, true }, kNow);
  LONGS_EQUAL(1, mPendingReads.size());
  // This mark arrives while the first round is active; the read of that round
  // may predate it.
  mHub.Report(late, { 7, 10, {}, true }, kNow);
  LONGS_EQUAL(1, mPendingReads.size());
  mPendingReads[0](10);
  LONGS_EQUAL(2, mHub.Next(early)->mConfirmedMark);
  CHECK(!mHub.Next(late));
  LONGS_EQUAL(2, mPendingReads.size());
  mPendingReads[1](10);
  LONGS_EQUAL(7, mHub.Next(late)->mConfirmedMark);
}

TEST(watch_hub, OneRoundConfirmsAllWaitingMarks)
{
  mHub.ResetStreams(10);
  std::vector<stream_id> streams;
  stream_id first = Open();
  mHub.Report(first, { 1, 10, {}, true }, kNow);
  for (int count = 0; count < 50; ++count) {
    streams.push_back(Open());
    mHub.Report(streams.back(), { 2, 10, {}, true }, kNow);
  }
  mPendingReads[0](10);
  LONGS_EQUAL(2, mPendingReads.size());
  mPendingReads[1](10);
  LONGS_EQUAL(2, mPendingReads.size());
  for (stream_id stream : streams) {
    LONGS_EQUAL(2, mHub.Next(stream)->mConfirmedMark);
  }
}
