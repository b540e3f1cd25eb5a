#include "controllers/watch_hub.h"

namespace hibiscusspool {

namespace {

/** Batches kept for streams that lag; a longer lag starts anew. */
constexpr std::size_t kMostBatches = 2048;

}

void
watch_hub::Publish(log_index aIndex, std::vector<record_change> aFacts)
{
  bool hasFacts = !aFacts.empty();
  {
    std::lock_guard guard(mLogLock);
    mApplied = aIndex;
    if (hasFacts) {
      mLog.push_back({ aIndex,
                       std::make_shared<const std::vector<record_change>>(
                         std::move(aFacts)) });
    }
    if (mLog.size() > kMostBatches) {
      mLogStart = mLog.front().mIndex;
      mLog.pop_front();
    }
  }
  if (hasFacts) {
    WakeAll();
  }
}

void
watch_hub::ResetStreams(log_index aIndex)
{
  {
    std::lock_guard guard(mLogLock);
    mLog.clear();
    mApplied = aIndex;
    mLogStart = aIndex;
  }
  WakeAll();
}

void
watch_hub::WakeAll()
{
  std::vector<std::function<void()>> wakes;
  mStreams.ForEach([&](stream_id /*aId*/, stream& aStream) {
    wakes.push_back(aStream.mWake);
  });
  for (const auto& wake : wakes) {
    wake();
  }
}

stream_id
watch_hub::Open(entry_host_record aHost,
                std::function<void()> aWake,
                steady_time aNow)
{
  stream_id id = mNextStream++;
  stream opened;
  opened.mHost = std::move(aHost);
  opened.mHeardAt = aNow;
  opened.mWake = std::move(aWake);
  mStreams.Set(id, std::move(opened));
  return id;
}

void
watch_hub::Close(stream_id aStream)
{
  mStreams.Take(aStream);
}

void
watch_hub::Report(stream_id aStream, watch_report aReport, steady_time aNow)
{
  std::uint64_t round = 0;
  {
    std::lock_guard guard(mRoundLock);
    // A round that is under way may have read before this mark came.
    round = mIsAsking ? mRound + 1 : mRound;
  }
  mStreams.UpdateIfPresent(aStream, [&](stream& aEntry) {
    aEntry.mReport = aReport;
    aEntry.mHeardAt = aNow;
    if (aReport.mMark == 0) {
      return;
    }
    bool isWaiting = aEntry.mMark != 0;
    (isWaiting ? aEntry.mNextMark : aEntry.mMark) = aReport.mMark;
    (isWaiting ? aEntry.mNextMarkRound : aEntry.mMarkRound) = round;
  });
  if (aReport.mMark != 0) {
    AskRound();
  }
}

void
watch_hub::AskRound()
{
  std::uint64_t round = 0;
  {
    std::lock_guard guard(mRoundLock);
    mIsWanted = mIsAsking;
    if (mIsAsking) {
      return;
    }
    mIsAsking = true;
    round = mRound;
  }
  mHooks.mReadBarrier([this, round](log_index /*aIndex*/) { EndRound(round); });
}

void
watch_hub::EndRound(std::uint64_t aRound)
{
  // This host has applied the read's index by now, so that whatever a stream
  // sends next reaches at least that far.
  std::vector<std::function<void()>> wakes;
  mStreams.ForEach([&](stream_id /*aId*/, stream& aStream) {
    bool isConfirmed = false;
    while (aStream.mMark != 0 && aStream.mMarkRound <= aRound) {
      isConfirmed = true;
      aStream.mConfirmedMark = aStream.mMark;
      aStream.mMark = std::exchange(aStream.mNextMark, 0);
      aStream.mMarkRound = aStream.mNextMarkRound;
    }
    if (isConfirmed) {
      wakes.push_back(aStream.mWake);
    }
  });
  for (const auto& wake : wakes) {
    wake();
  }
  bool isWanted = false;
  {
    std::lock_guard guard(mRoundLock);
    mIsAsking = false;
    mRound = aRound + 1;
    isWanted = std::exchange(mIsWanted, false);
  }
  if (isWanted) {
    AskRound();
  }
}

std::optional<watch_update>
watch_hub::Next(stream_id aStream)
{
  auto seen = mStreams.Get(aStream);
  if (!seen) {
    return std::nullopt;
  }
  // Before its first confirmation this host may know less than the daemon
  // does, as after a restart, and must not lead it through what is past.
  if (seen->mNeedsAll && seen->mConfirmedMark == 0) {
    return std::nullopt;
  }
  watch_update update;
  // The mark is read before the facts: it must not vouch for older ones.
  if (seen->mConfirmedMark != seen->mAnsweredMark) {
    update.mConfirmedMark = seen->mConfirmedMark;
  }
  bool lags = false;
  {
    std::lock_guard guard(mLogLock);
    lags = seen->mNeedsAll || seen->mSentIndex < mLogStart;
    update.mIndex = mApplied;
    for (const record_batch& batch : mLog) {
      if (!lags && batch.mIndex > seen->mSentIndex) {
        update.mRecordChanges.insert(update.mRecordChanges.end(),
                                     batch.mRecordChanges->begin(),
                                     batch.mRecordChanges->end());
      }
    }
  }
  if (lags) {
    auto [index, facts] = mHooks.mReadState();
    update.mIsFullState = true;
    update.mIndex = index;
    update.mRecordChanges = std::move(facts);
  }
  if (!lags && update.mRecordChanges.empty() && update.mConfirmedMark == 0) {
    return std::nullopt;
  }
  mStreams.UpdateIfPresent(aStream, [&](stream& aEntry) {
    aEntry.mNeedsAll = false;
    aEntry.mSentIndex = update.mIndex;
    if (update.mConfirmedMark != 0) {
      aEntry.mAnsweredMark = update.mConfirmedMark;
    }
  });
  return update;
}

std::vector<daemon_status>
watch_hub::Daemons() const
{
  std::vector<daemon_status> daemons;
  mStreams.ForEach([&](stream_id /*aId*/, const stream& aStream) {
    daemons.push_back({ aStream.mHost, aStream.mReport, aStream.mHeardAt });
  });
  return daemons;
}

}
