#include "drivers/watch_client.h"

#include "core/log_event.h"
#include "drivers/grpc_settings.h"
#include "messages/control_codec.h"

#include <condition_variable>
#include <mutex>

#include <control.grpc.pb.h>
#include <grpcpp/grpcpp.h>

namespace hibiscusspool {

namespace {

constexpr milliseconds kReconnectDelay{ 100 };

}

struct watch_client::state
{
  watch_client_config mConfig;
  watch_client_hooks mHooks;
  std::mutex mLock;
  std::condition_variable mChanged;
  bool mIsStopping = false;

  bool IsStopping()
  {
    std::lock_guard guard(mLock);
    return mIsStopping;
  }
};

namespace {

/** One stream; it receives callbacks from gRPC until `mIsDone`. */
class stream_reactor
  : public grpc::ClientBidiReactor<wire::WatchUp, wire::WatchDown>
{
  const watch_client_hooks& mHooks;
  std::unique_ptr<wire::Control::Stub> mStub;
  grpc::ClientContext mContext;
  wire::WatchDown mDown;
  wire::WatchUp mUp;

  std::mutex mLock;
  std::condition_variable mChanged;
  std::map<std::uint64_t, steady_time> mMarks;
  std::uint64_t mNextMark = 1;
  bool mIsWriting = false;
  bool mIsDone = false;
  steady_time mLastMessageAt;

public:
  stream_reactor(const watch_client_hooks& aHooks,
                 const std::string& aAddress,
                 steady_time aNow)
    : mHooks(aHooks)
    , mStub(wire::Control::NewStub(OpenChannel(aAddress)))
    , mLastMessageAt(aNow)
  {
    mStub->async()->Watch(&mContext, this);
    StartRead(&mDown);
    StartCall();
  }

  void SendMark(steady_time aNow, bool aIsFirst)
  {
    watch_report report = mHooks.mReport(aNow);
    std::lock_guard guard(mLock);
    if (mIsWriting || mIsDone) {
      return;
    }
    mUp.Clear();
    if (aIsFirst) {
      WriteEntryHost(mHooks.mMakeHello(), *mUp.mutable_hello());
    }
    mUp.set_mark(mNextMark);
    mUp.set_held_index(report.mAppliedIndex);
    mUp.set_confirmed_age_ms(
      static_cast<std::uint64_t>(report.mConfirmedAge.count()));
    mUp.set_usable(report.mHasShares);
    // The time of a mark is taken before it is sent, never after.
    mMarks[mNextMark++] = aNow;
    mIsWriting = true;
    StartWrite(&mUp);
  }

  void OnWriteDone(bool /*aIsOk*/) override
  {
    std::lock_guard guard(mLock);
    mIsWriting = false;
  }

  void OnReadDone(bool aIsOk) override
  {
    if (!aIsOk) {
      return;
    }
    HandleUpdate(std::chrono::steady_clock::now());
    StartRead(&mDown);
  }

  void OnDone(const grpc::Status& /*aStatus*/) override
  {
    std::lock_guard guard(mLock);
    mIsDone = true;
    mChanged.notify_all();
  }

  /** Waits until `aTime`; false if the stream has ended or timed out. */
  bool WaitUntil(steady_time aTime, milliseconds aTimeout)
  {
    std::unique_lock guard(mLock);
    mChanged.wait_until(guard, aTime, [&] { return mIsDone; });
    return !mIsDone && aTime - mLastMessageAt < aTimeout;
  }

  void CancelAndWait()
  {
    mContext.TryCancel();
    std::unique_lock guard(mLock);
    mChanged.wait(guard, [&] { return mIsDone; });
  }

private:
  void HandleUpdate(steady_time aNow)
  {
    watch_update update;
    update.mIsFullState = mDown.replace();
    update.mIndex = mDown.index();
    update.mConfirmedMark = mDown.confirmed_mark();
    for (const wire::RecordChange& change : mDown.facts()) {
      auto read = ReadChange(change);
      if (!read) {
        // A change that can't be decoded must not be skipped silently.
        log_event("watch_broken", log_event::severity::Error)
          .Add("cause", read.error().mDetail);
        mContext.TryCancel();
        return;
      }
      update.mRecordChanges.push_back(std::move(read.value()));
    }
    mHooks.mApplyUpdate(update, aNow);
    std::optional<steady_time> sentAt;
    {
      std::lock_guard guard(mLock);
      mLastMessageAt = aNow;
      auto mark = mMarks.find(update.mConfirmedMark);
      if (mark != mMarks.end()) {
        sentAt = mark->second;
        mMarks.erase(mMarks.begin(), std::next(mark));
      }
    }
    if (sentAt) {
      mHooks.mOnMarkConfirmed(*sentAt);
    }
  }
};

}

watch_client::watch_client(std::shared_ptr<state> aState)
  : mState(std::move(aState))
  , mThread([self = mState] { Run(self); })
{
}

watch_client::~watch_client()
{
  if (mThread.joinable()) {
    Stop();
  }
}

watch_client
watch_client::Create(watch_client_config aConfig, watch_client_hooks aHooks)
{
  auto made = std::make_shared<state>();
  made->mConfig = std::move(aConfig);
  made->mHooks = std::move(aHooks);
  return watch_client(std::move(made));
}

void
watch_client::Stop()
{
  {
    std::lock_guard guard(mState->mLock);
    mState->mIsStopping = true;
  }
  mState->mChanged.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
watch_client::Run(const std::shared_ptr<state>& aState)
{
  const auto& addresses = aState->mConfig.mAddresses;
  std::uint64_t nextHost = aState->mConfig.mSeed;
  while (!aState->IsStopping()) {
    auto host = addresses.begin();
    std::advance(host,
                 static_cast<std::ptrdiff_t>(nextHost++ % addresses.size()));
    RunStream(aState, host->second);
    std::unique_lock guard(aState->mLock);
    aState->mChanged.wait_for(
      guard, kReconnectDelay, [&] { return aState->mIsStopping; });
  }
}

void
watch_client::RunStream(const std::shared_ptr<state>& aState,
                        const std::string& aAddress)
{
  steady_time now = std::chrono::steady_clock::now();
  stream_reactor stream(aState->mHooks, aAddress, now);
  stream.SendMark(now, true);
  while (!aState->IsStopping()) {
    now += aState->mConfig.mMarkInterval;
    if (!stream.WaitUntil(now, aState->mConfig.mSilenceTimeout)) {
      break;
    }
    now = std::chrono::steady_clock::now();
    stream.SendMark(now, false);
  }
  stream.CancelAndWait();
}

}
