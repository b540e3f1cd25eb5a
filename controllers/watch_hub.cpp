#include "controllers/watch_hub.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

// Record batches kept for lagging streams. A stream that lags further behind
// gets the full state.
constexpr std::size_t kMaxBatches = 2048;
constexpr std::size_t kMaxBacklogBytes = 4U << 20U;

}

void
watch_hub::Publish(log_index aIndex,
                   const std::vector<record_change>& aChanges,
                   steady_time aNow)
{
  if (aChanges.empty()) {
    std::lock_guard guard(mBacklogLock);
    mApplied = aIndex;
    return;
  }
  auto encoded = std::make_shared<const std::string>(mHooks.mEncode(aChanges));
  bool isDue = false;
  bool isScheduled = false;
  steady_time nextFlush;
  {
    std::lock_guard guard(mBacklogLock);
    mApplied = aIndex;
    mBacklogBytes += encoded->size();
    mBacklog.push_back({ aIndex, std::move(encoded) });
    TrimBacklog();
    isDue = aNow >= mNextFlushAt;
    isScheduled = !isDue && !std::exchange(mIsFlushScheduled, true);
    nextFlush = mNextFlushAt;
  }
  if (isDue) {
    Flush(aNow);
  } else if (isScheduled) {
    mHooks.mScheduleFlush(nextFlush);
  }
}

void
watch_hub::TrimBacklog()
{
  // The latest batch stays, so that a single change goes to all streams as it
  // is.
  while (mBacklog.size() > 1 &&
         (mBacklog.size() > kMaxBatches || mBacklogBytes > kMaxBacklogBytes)) {
    mBacklogStart = mBacklog.front().mIndex;
    mBacklogBytes -= mBacklog.front().mChanges->size();
    mBacklog.pop_front();
  }
}

void
watch_hub::Flush(steady_time aNow)
{
  {
    std::lock_guard guard(mBacklogLock);
    mIsFlushScheduled = false;
    mFlushed = mApplied;
    mNextFlushAt = aNow + mConfig.mFlushInterval;
  }
  WakeAll();
}

void
watch_hub::ResetStreams(log_index aIndex)
{
  {
    std::lock_guard guard(mBacklogLock);
    mBacklog.clear();
    mBacklogBytes = 0;
    mFullState = {};
    mApplied = aIndex;
    mFlushed = aIndex;
    mBacklogStart = aIndex;
  }
  WakeAll();
}

void
watch_hub::SetCutOff(bool aIsCutOff)
{
  mLoss = aIsCutOff ? ++mLosses : 0;
  WakeAll();
}

void
watch_hub::SetControlHosts(std::vector<control_host> aHosts)
{
  {
    std::lock_guard guard(mBacklogLock);
    if (mControlHosts == aHosts) {
      return;
    }
    mControlHosts = std::move(aHosts);
    ++mHostsVersion;
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
                log_index aAppliedIndex,
                std::function<void()> aCallback,
                steady_time aNow)
{
  stream_id id = mNextStream++;
  stream opened;
  opened.mHost = std::move(aHost);
  opened.mLastMessageAt = aNow;
  opened.mWake = std::move(aCallback);
  opened.mNeedsFullState = aAppliedIndex == 0;
  opened.mSentIndex = aAppliedIndex;
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

void
watch_hub::AppendBacklog(log_index aFrom,
                         log_index aTo,
                         watch_message& aMessage) const
{
  auto batch =
    std::upper_bound(mBacklog.begin(),
                     mBacklog.end(),
                     aFrom,
                     [](log_index aIndex, const record_batch& aBatch) {
                       return aIndex < aBatch.mIndex;
                     });
  for (; batch != mBacklog.end() && batch->mIndex <= aTo; ++batch) {
    aMessage.mChanges.push_back(batch->mChanges);
  }
}

void
watch_hub::SetFullState(watch_message& aMessage)
{
  aMessage.mIsFullState = true;
  {
    std::lock_guard guard(mBacklogLock);
    bool isReusable = mFullState.mChanges != nullptr &&
                      mFullState.mIndex >= mBacklogStart &&
                      mFullState.mIndex <= mApplied;
    if (isReusable) {
      aMessage.mIndex = mApplied;
      aMessage.mChanges = { mFullState.mChanges };
      AppendBacklog(mFullState.mIndex, mApplied, aMessage);
      return;
    }
  }
  auto [index, changes] = mHooks.mReadState();
  record_batch state{
    index, std::make_shared<const std::string>(mHooks.mEncode(changes))
  };
  aMessage.mIndex = index;
  aMessage.mChanges = { state.mChanges };
  std::lock_guard guard(mBacklogLock);
  mFullState = std::move(state);
}

std::optional<watch_message>
watch_hub::Next(stream_id aStream)
{
  auto current = mStreams.Get(aStream);
  if (!current) {
    return std::nullopt;
  }
  watch_message message;
  message.mIndex = current->mSentIndex;
  // Before the first confirmation this host may be behind the daemon, as after
  // a restart, and must not send it an older state.
  bool isConfirmed = current->mConfirmedMark != 0;
  // The state may take long to arrive. A small message before it tells the
  // daemon that it need not try another control host.
  message.mHasMajority = isConfirmed && !current->mIsToldOfMajority;
  bool mayChange = isConfirmed && !message.mHasMajority;
  std::uint64_t loss = mLoss;
  message.mIsCutOff = loss != 0 && loss != current->mToldLoss;
  // The mark is read before the changes, so that the changes sent with it are
  // at least as new as the index it confirms.
  if (mayChange && current->mConfirmedMark != current->mSentMark) {
    message.mConfirmedMark = current->mConfirmedMark;
  }
  bool needsFullState = false;
  std::uint64_t hostsVersion = 0;
  {
    std::lock_guard guard(mBacklogLock);
    hostsVersion = mHostsVersion;
    if (current->mSentHostsVersion != mHostsVersion) {
      message.mControlHosts = mControlHosts;
    }
    needsFullState = mayChange && (current->mNeedsFullState ||
                                   current->mSentIndex < mBacklogStart);
    if (mayChange && !needsFullState) {
      log_index upTo = message.mConfirmedMark != 0 ? mApplied : mFlushed;
      message.mIndex = std::max(current->mSentIndex, upTo);
      AppendBacklog(current->mSentIndex, message.mIndex, message);
    }
  }
  if (needsFullState) {
    SetFullState(message);
  }
  if (message.mChanges.empty() && message.mConfirmedMark == 0 &&
      message.mControlHosts.empty() && !message.mHasMajority &&
      !message.mIsCutOff) {
    return std::nullopt;
  }
  mStreams.UpdateIfPresent(aStream, [&](stream& aEntry) {
    aEntry.mNeedsFullState = aEntry.mNeedsFullState && !message.mIsFullState;
    aEntry.mSentIndex = message.mIndex;
    aEntry.mSentHostsVersion = hostsVersion;
    aEntry.mIsToldOfMajority = aEntry.mIsToldOfMajority || message.mHasMajority;
    aEntry.mToldLoss = loss;
    if (message.mConfirmedMark != 0) {
      aEntry.mSentMark = message.mConfirmedMark;
    }
  });
  return message;
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
