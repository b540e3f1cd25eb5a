#include "controllers/watch_hub.h"

namespace hibiscusspool {

namespace {

/** Batches kept for lagging streams; beyond it they get the full state. */
constexpr std::size_t kMaxBatches = 2048;

}

void
watch_hub::Publish(log_index aIndex, std::vector<record_change> aChanges)
{
  bool hasChanges = !aChanges.empty();
  {
    std::lock_guard guard(mBacklogLock);
    mApplied = aIndex;
    if (hasChanges) {
      mBacklog.push_back({ aIndex,
                           std::make_shared<const std::vector<record_change>>(
                             std::move(aChanges)) });
    }
    if (mBacklog.size() > kMaxBatches) {
      mBacklogStart = mBacklog.front().mIndex;
      mBacklog.pop_front();
    }
  }
  if (hasChanges) {
    WakeAll();
  }
}

void
watch_hub::ResetStreams(log_index aIndex)
{
  {
    std::lock_guard guard(mBacklogLock);
    mBacklog.clear();
    mApplied = aIndex;
    mBacklogStart = aIndex;
  }
  WakeAll();
}

void
watch_hub::WakeAll()
{
  std::vector<std::function<void()>> callbacks;
  mStreams.ForEach([&](stream_id /*aId*/, stream& aStream) {
    callbacks.push_back(aStream.mWake);
  });
  for (const auto& callback : callbacks) {
    callback();
  }
}

stream_id
watch_hub::Open(entry_host_record aHost,
                std::function<void()> aCallback,
                steady_time aNow)
{
  stream_id id = mNextStream++;
  stream opened;
  opened.mHost = std::move(aHost);
  opened.mLastMessageAt = aNow;
  opened.mWake = std::move(aCallback);
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
    // The read of an active round may predate this mark.
    round = mIsRoundActive ? mRound + 1 : mRound;
  }
  mStreams.UpdateIfPresent(aStream, [&](stream& aEntry) {
    aEntry.mReport = aReport;
    aEntry.mLastMessageAt = aNow;
    if (aReport.mMark == 0) {
      return;
    }
    bool isWaiting = aEntry.mMark != 0;
    (isWaiting ? aEntry.mNextMark : aEntry.mMark) = aReport.mMark;
    (isWaiting ? aEntry.mNextMarkRound : aEntry.mMarkRound) = round;
  });
  if (aReport.mMark != 0) {
    StartRound();
  }
}

void
watch_hub::StartRound()
{
  std::uint64_t round = 0;
  {
    std::lock_guard guard(mRoundLock);
    mIsRoundRequested = mIsRoundActive;
    if (mIsRoundActive) {
      return;
    }
    mIsRoundActive = true;
    round = mRound;
  }
  mHooks.mReadBarrier([this, round](log_index /*aIndex*/) { EndRound(round); });
}

void
watch_hub::EndRound(std::uint64_t aRound)
{
  // This host has applied the read's index by now, so the next update of each
  // stream covers at least that index.
  std::vector<std::function<void()>> callbacks;
  mStreams.ForEach([&](stream_id /*aId*/, stream& aStream) {
    bool isConfirmed = false;
    while (aStream.mMark != 0 && aStream.mMarkRound <= aRound) {
      isConfirmed = true;
      aStream.mConfirmedMark = aStream.mMark;
      aStream.mMark = std::exchange(aStream.mNextMark, 0);
      aStream.mMarkRound = aStream.mNextMarkRound;
    }
    if (isConfirmed) {
      callbacks.push_back(aStream.mWake);
    }
  });
  for (const auto& callback : callbacks) {
    callback();
  }
  bool isRoundRequested = false;
  {
    std::lock_guard guard(mRoundLock);
    mIsRoundActive = false;
    mRound = aRound + 1;
    isRoundRequested = std::exchange(mIsRoundRequested, false);
  }
  if (isRoundRequested) {
    StartRound();
  }
}

std::optional<watch_update>
watch_hub::Next(stream_id aStream)
{
  auto current = mStreams.Get(aStream);
  if (!current) {
    return std::nullopt;
  }
  // Before the first confirmation this host may be behind the daemon, as after
  // a restart, and must not send it an older state.
  if (current->mNeedsFullState && current->mConfirmedMark == 0) {
    return std::nullopt;
  }
  watch_update update;
  // Read before the changes, so that those sent with the mark are not older.
  if (current->mConfirmedMark != current->mSentMark) {
    update.mConfirmedMark = current->mConfirmedMark;
  }
  bool needsFullState = false;
  {
    std::lock_guard guard(mBacklogLock);
    needsFullState =
      current->mNeedsFullState || current->mSentIndex < mBacklogStart;
    update.mIndex = mApplied;
    for (const record_batch& batch : mBacklog) {
      if (!needsFullState && batch.mIndex > current->mSentIndex) {
        update.mRecordChanges.insert(update.mRecordChanges.end(),
                                     batch.mRecordChanges->begin(),
                                     batch.mRecordChanges->end());
      }
    }
  }
  if (needsFullState) {
    auto [index, changes] = mHooks.mReadState();
    update.mIsFullState = true;
    update.mIndex = index;
    update.mRecordChanges = std::move(changes);
  }
  if (!needsFullState && update.mRecordChanges.empty() &&
      update.mConfirmedMark == 0) {
    return std::nullopt;
  }
  mStreams.UpdateIfPresent(aStream, [&](stream& aEntry) {
    aEntry.mNeedsFullState = false;
    aEntry.mSentIndex = update.mIndex;
    if (update.mConfirmedMark != 0) {
      aEntry.mSentMark = update.mConfirmedMark;
    }
  });
  return update;
}

std::vector<daemon_status>
watch_hub::Daemons() const
{
  std::vector<daemon_status> daemons;
  mStreams.ForEach([&](stream_id /*aId*/, const stream& aStream) {
    daemons.push_back(
      { aStream.mHost, aStream.mReport, aStream.mLastMessageAt });
  });
  return daemons;
}

}
