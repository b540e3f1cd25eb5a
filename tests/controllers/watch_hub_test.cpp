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

/** Encodes removals as their names, each followed by a comma. */
std::string
EncodeNames(const std::vector<record_change>& aChanges)
{
  std::string names;
  for (const record_change& change : aChanges) {
    names += std::get<record_removal>(change).mName + ",";
  }
  return names;
}

std::string
ChangesOf(const std::optional<watch_message>& aMessage)
{
  std::string changes;
  if (aMessage) {
    for (const encoded_changes& encoded : aMessage->mChanges) {
      changes += *encoded;
    }
  }
  return changes;
}

}

TEST_GROUP(watch_hub)
{
  std::vector<std::function<void(log_index)>> mPendingReads;
  std::vector<steady_time> mScheduledFlushes;
  int mStateReads = 0;
  steady_time mTime = kNow;
  watch_hub mHub{ { milliseconds(50) }, Hooks() };

  watch_hub_hooks Hooks()
  {
    watch_hub_hooks hooks;
    hooks.mReadState = [this] {
      ++mStateReads;
      return std::pair(log_index(10),
                       std::vector<record_change>{ Change("whole") });
    };
    hooks.mReadBarrier = [this](std::function<void(log_index)> aCallback) {
      mPendingReads.push_back(std::move(aCallback));
    };
    hooks.mEncode = EncodeNames;
    hooks.mScheduleFlush = [this](steady_time aTime) {
      mScheduledFlushes.push_back(aTime);
    };
    return hooks;
  }

  stream_id Open(log_index aAppliedIndex = 0)
  {
    return mHub.Open(
      {}, aAppliedIndex, [] {}, kNow);
  }

  /** Publishes a change that is flushed at once. */
  void Publish(log_index aIndex, const std::vector<record_change>& aChanges)
  {
    mTime += milliseconds(50);
    mHub.Publish(aIndex, aChanges, mTime);
  }

  /** The next message after the one that tells of the majority, which holds
   * nothing else. */
  std::optional<watch_message> Next(stream_id aStream)
  {
    auto next = mHub.Next(aStream);
    if (!next || !next->mHasMajority) {
      return next;
    }
    CHECK(next->mChanges.empty() && !next->mIsFullState);
    LONGS_EQUAL(0, next->mConfirmedMark);
    auto following = mHub.Next(aStream);
    CHECK(!following || !following->mHasMajority);
    return following;
  }

  /** Opens a stream that has already received the full state. */
  stream_id OpenWithFullState()
  {
    stream_id stream = Open();
    mHub.Report(stream, { 1, 0, {}, true }, kNow);
    mPendingReads.back()(10);
    mPendingReads.clear();
    Next(stream);
    return stream;
  }
};

TEST(watch_hub, StreamGetsNoUpdateBeforeFirstConfirmation)
{
  // A control host that has just restarted may be far behind in the log.
  mHub.ResetStreams(0);
  stream_id stream = Open();
  mHub.Report(stream, { 1, 500, {}, true }, kNow);
  Publish(1, { Change("long past") });
  CHECK(!Next(stream));
  Publish(10, { Change("now") });
  mPendingReads[0](10);
  auto first = Next(stream);
  CHECK(first->mIsFullState);
  LONGS_EQUAL(10, first->mIndex);
  LONGS_EQUAL(1, first->mConfirmedMark);
}

TEST(watch_hub, StreamTellsOnceOfEachLossOfTheGroup)
{
  stream_id open = OpenWithFullState();
  mHub.SetCutOff(true);
  stream_id opened = Open();
  for (stream_id stream : { open, opened }) {
    auto told = mHub.Next(stream);
    CHECK(told && told->mIsCutOff);
    LONGS_EQUAL(0, told->mConfirmedMark);
    CHECK(!mHub.Next(stream));
  }
  mHub.SetCutOff(false);
  CHECK(!mHub.Next(open));
  mHub.SetCutOff(true);
  CHECK(mHub.Next(open)->mIsCutOff);
}

TEST(watch_hub, StreamTellsOfTheMajorityBeforeItSendsTheState)
{
  mHub.ResetStreams(10);
  stream_id stream = Open();
  mHub.Report(stream, { 1, 0, {}, true }, kNow);
  // Without a confirmed read this host may be cut off from the majority.
  CHECK(!mHub.Next(stream));
  mPendingReads[0](10);
  auto first = mHub.Next(stream);
  CHECK(first && first->mHasMajority);
  CHECK(first->mChanges.empty());
  LONGS_EQUAL(0, mStateReads);
  auto second = mHub.Next(stream);
  CHECK(second && second->mIsFullState && !second->mHasMajority);
  LONGS_EQUAL(1, second->mConfirmedMark);
}

TEST(watch_hub, StreamStartsWithFullStateThenGetsChangesInOrder)
{
  mHub.ResetStreams(10);
  stream_id stream = OpenWithFullState();
  CHECK(!Next(stream));
  Publish(11, { Change("a") });
  Publish(12, {});
  Publish(13, { Change("b") });
  auto next = Next(stream);
  CHECK(!next->mIsFullState);
  STRCMP_EQUAL("a,b,", ChangesOf(next).c_str());
  LONGS_EQUAL(13, next->mIndex);
}

TEST(watch_hub, LaggingStreamGetsFullState)
{
  mHub.ResetStreams(10);
  stream_id stream = OpenWithFullState();
  for (log_index index = 11; index < 5000; ++index) {
    Publish(index, { Change("x") });
  }
  CHECK(Next(stream)->mIsFullState);
}

TEST(watch_hub, ADaemonThatHasTheRecordsGetsOnlyLaterChanges)
{
  mHub.ResetStreams(10);
  Publish(11, { Change("a") });
  Publish(12, { Change("b") });
  stream_id stream = Open(11);
  mHub.Report(stream, { 1, 11, {}, true }, kNow);
  CHECK(!Next(stream));
  mPendingReads[0](12);
  auto first = Next(stream);
  CHECK(!first->mIsFullState);
  STRCMP_EQUAL("b,", ChangesOf(first).c_str());
  LONGS_EQUAL(12, first->mIndex);
  LONGS_EQUAL(0, mStateReads);
}

TEST(watch_hub, ADaemonThatMissedForgottenChangesGetsTheFullState)
{
  mHub.ResetStreams(10);
  stream_id stream = Open(9);
  mHub.Report(stream, { 1, 9, {}, true }, kNow);
  mPendingReads[0](10);
  CHECK(Next(stream)->mIsFullState);
}

TEST(watch_hub, ADaemonThatIsAheadOfThisHostGetsNoOlderChanges)
{
  // This host has just restarted and applies the log anew.
  mHub.ResetStreams(0);
  stream_id stream = Open(12);
  mHub.Report(stream, { 1, 12, {}, true }, kNow);
  for (log_index index = 1; index <= 13; ++index) {
    Publish(index, { Change(std::to_string(index)) });
    CHECK(!Next(stream));
  }
  mPendingReads[0](13);
  auto first = Next(stream);
  CHECK(!first->mIsFullState);
  STRCMP_EQUAL("13,", ChangesOf(first).c_str());
}

TEST(watch_hub, StreamsThatOpenTogetherShareOneEncodedState)
{
  mHub.ResetStreams(10);
  for (log_index index = 11; index <= 40; ++index) {
    stream_id stream = Open();
    mHub.Report(stream, { 1, 0, {}, true }, kNow);
    mPendingReads.back()(index);
    auto first = Next(stream);
    CHECK(first->mIsFullState);
    // The state of index 10, then each change since.
    STRCMP_EQUAL("whole,", first->mChanges.front()->c_str());
    LONGS_EQUAL(index - 10, first->mChanges.size());
    LONGS_EQUAL(index - 1, first->mIndex);
    Publish(index, { Change("x") });
  }
  LONGS_EQUAL(1, mStateReads);
}

TEST(watch_hub, ChangesInQuickSuccessionAreSentTogether)
{
  mHub.ResetStreams(10);
  stream_id stream = OpenWithFullState();
  mHub.Publish(11, { Change("a") }, kNow);
  STRCMP_EQUAL("a,", ChangesOf(Next(stream)).c_str());
  steady_time later = kNow + milliseconds(1);
  for (log_index index = 12; index <= 30; ++index) {
    mHub.Publish(index, { Change("b") }, later);
    CHECK(!Next(stream));
  }
  LONGS_EQUAL(1, mScheduledFlushes.size());
  CHECK(mScheduledFlushes[0] == kNow + milliseconds(50));
  mHub.Flush(mScheduledFlushes[0]);
  auto next = Next(stream);
  LONGS_EQUAL(19, next->mChanges.size());
  LONGS_EQUAL(30, next->mIndex);
}

TEST(watch_hub, AConfirmedMarkCarriesTheChangesThatWaitForAFlush)
{
  mHub.ResetStreams(10);
  stream_id stream = OpenWithFullState();
  mHub.Publish(11, { Change("a") }, kNow);
  Next(stream);
  mHub.Publish(12, { Change("b") }, kNow);
  mHub.Report(stream, { 2, 11, {}, true }, kNow);
  mPendingReads.back()(12);
  auto next = Next(stream);
  LONGS_EQUAL(2, next->mConfirmedMark);
  LONGS_EQUAL(12, next->mIndex);
  STRCMP_EQUAL("b,", ChangesOf(next).c_str());
}

TEST(watch_hub, ControlHostsAreSentBeforeTheFirstConfirmation)
{
  mHub.ResetStreams(10);
  mHub.SetControlHosts({ { host_id{ "c1" } }, { host_id{ "c2" } } });
  stream_id stream = Open();
  auto first = Next(stream);
  LONGS_EQUAL(2, first->mControlHosts.size());
  LONGS_EQUAL(0, first->mIndex);
  CHECK(!first->mIsFullState);
  CHECK(!Next(stream));
  mHub.SetControlHosts({ { host_id{ "c1" } } });
  LONGS_EQUAL(1, Next(stream)->mControlHosts.size());
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
  LONGS_EQUAL(2, Next(early)->mConfirmedMark);
  CHECK(!Next(late));
  LONGS_EQUAL(2, mPendingReads.size());
  mPendingReads[1](10);
  LONGS_EQUAL(7, Next(late)->mConfirmedMark);
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
    LONGS_EQUAL(2, Next(stream)->mConfirmedMark);
  }
}

// Guards against control hosts that run out of memory: changes that lagging
// streams may still need were bounded by their number alone.
TEST(watch_hub, ChangesKeptForLaggingStreamsAreBoundedInBytes)
{
  constexpr std::size_t kChange = 200'000;
  constexpr std::size_t kMaxKept = 8U << 20U;
  stream_id stream = OpenWithFullState();
  for (log_index index = 11; index < 311; ++index) {
    Publish(index, { Change(std::string(kChange, 'r')) });
  }
  auto next = Next(stream);
  CHECK(next->mIsFullState);
  CHECK(ChangesOf(next).size() <= kMaxKept);
}
