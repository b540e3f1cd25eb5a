#include "drivers/watch_client.h"

#include "core/log_event.h"
#include "drivers/grpc_settings.h"
#include "drivers/host_address.h"
#include "drivers/suspended_time.h"
#include "messages/control_codec.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <random>
#include <utility>

#include <control.grpc.pb.h>
#include <grpcpp/grpcpp.h>

namespace hibiscusspool {

namespace {

/** Delays before another stream is opened; drawn at random, so that daemons
 * that lost the same control host don't return at once. */
constexpr milliseconds kMinReconnectDelay{ 50 };
constexpr milliseconds kMaxReconnectDelay{ 300 };
/** Maximum delay after streams that timed out. */
constexpr milliseconds kMaxExtendedDelay{ 600 };
/** Time-outs in a row after which the limits are not doubled any more. */
constexpr int kMaxDoublings = 3;

/** What a control host has said on a stream. */
struct stream_progress
{
  /** A mark was confirmed. */
  bool mIsConfirmed = false;
  /** The host is cut off from the group, and has not confirmed a mark since. */
  bool mIsCutOff = false;
};

}

struct watch_client::state
{
  watch_client_config mConfig;
  watch_client_hooks mHooks;
  std::mutex mLock;
  std::condition_variable mChanged;
  bool mIsStopping = false;
  control_host_choice mChoice;
  std::mt19937_64 mRandom;
  /** Streams in a row that timed out. While control hosts are overloaded, each
   * daemon that gives up early and returns at once adds to their load. */
  int mTimeouts = 0;
  /** Streams in a row whose control host was cut off from the group. */
  int mCutOffs = 0;

  /** Doubles a time for each failure in a row, a few times. */
  static milliseconds Double(milliseconds aTime, int aFailures)
  {
    return aTime * (1 << std::min(aFailures, kMaxDoublings));
  }

  /** Doubles a time for each stream in a row that timed out. */
  [[nodiscard]] milliseconds Extend(milliseconds aTime) const
  {
    return Double(aTime, mTimeouts);
  }

  bool IsStopping()
  {
    std::lock_guard guard(mLock);
    return mIsStopping;
  }

  /** Waits until a control host is known; false if stopped. */
  bool WaitForHosts()
  {
    std::unique_lock guard(mLock);
    mChanged.wait(guard, [&] { return mIsStopping || !mChoice.IsEmpty(); });
    return !mIsStopping;
  }

  /** The configuration with the time limits of the next stream. */
  watch_client_config ConfigForStream()
  {
    std::lock_guard guard(mLock);
    watch_client_config config = mConfig;
    config.mConnectTimeout = Extend(config.mConnectTimeout);
    config.mOpenTimeout =
      std::min(Extend(config.mOpenTimeout),
               std::max(config.mOpenTimeout, config.mStateTimeout));
    return config;
  }

  std::string AddressOfHost(const host_id& aHost)
  {
    std::lock_guard guard(mLock);
    return AddressOf(mConfig.mAddresses, aHost).value_or("");
  }

  host_id PreferredHost()
  {
    std::lock_guard guard(mLock);
    return mChoice.Preferred(std::chrono::steady_clock::now());
  }

  /** Whether to leave a stream that goes on, and why. */
  std::optional<stream_end> EndAfter(const host_id& aHost,
                                     const stream_progress& aProgress,
                                     steady_time aNow)
  {
    std::lock_guard guard(mLock);
    if (aProgress.mIsCutOff) {
      mChoice.OnCutOff(aHost, aNow);
      // While all hosts are cut off, daemons that go from one to the next would
      // only delay the election.
      return mChoice.HasUntried(aNow) ? std::optional(stream_end::CutOff)
                                      : std::nullopt;
    }
    // A stream that isn't confirmed yet is given its time.
    if (!aProgress.mIsConfirmed) {
      return std::nullopt;
    }
    mChoice.OnSuccess(aHost);
    mTimeouts = 0;
    mCutOffs = 0;
    return mChoice.Preferred(aNow) != aHost ? std::optional(stream_end::Moved)
                                            : std::nullopt;
  }

  /** Pause before the next stream; needs the lock. */
  milliseconds PauseAfter(const host_id& aHost, stream_end aEnd)
  {
    std::uniform_int_distribution<milliseconds::rep> delay(
      kMinReconnectDelay.count(), kMaxReconnectDelay.count());
    milliseconds pause(delay(mRandom));
    switch (aEnd) {
      case stream_end::TimedOut:
        ++mTimeouts;
        [[fallthrough]];
      case stream_end::Failed:
        mChoice.OnFailure(aHost, std::chrono::steady_clock::now());
        return std::min(Extend(pause), kMaxExtendedDelay);
      case stream_end::CutOff:
        return std::min(Double(pause, mCutOffs++), kMaxExtendedDelay);
      case stream_end::Moved:
      case stream_end::Stopped:
        break;
    }
    return milliseconds(0);
  }

  /** Takes over a control host's list of all. One that has not confirmed
   * anything yet may have been away, and its list only adds to the others. */
  void SetControlHosts(const std::vector<control_host>& aHosts,
                       bool aIsConfirmed)
  {
    {
      std::lock_guard guard(mLock);
      if (!aIsConfirmed) {
        mChoice.AddHosts(aHosts);
        return;
      }
      mChoice.SetHosts(aHosts);
    }
    std::vector<host_id> names;
    names.reserve(aHosts.size());
    for (const control_host& host : aHosts) {
      names.push_back(host.mHost);
    }
    mHooks.mOnControlHosts(names);
  }
};

namespace {

/** The daemon's end of one stream; gRPC calls it back until `mIsDone`. */
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
  /** Send times of the marks that are not confirmed yet. */
  std::map<std::uint64_t, sent_mark> mMarks;
  std::uint64_t mNextMark = 1;
  bool mIsWriting = false;
  bool mIsDone = false;
  bool mHasMajority = false;
  bool mIsConfirmed = false;
  bool mIsCutOff = false;
  /** Time of the last message, or of the opening until a mark is confirmed. */
  steady_time mLastMessageAt;
  steady_time mDoneAt;
  std::function<void(const std::vector<control_host>&, bool)> mOnControlHosts;
  /** The latest list until the host has confirmed something; used only by the
   * reads. */
  std::vector<control_host> mListedHosts;

public:
  stream_reactor(
    const watch_client_hooks& aHooks,
    std::shared_ptr<grpc::Channel> aChannel,
    std::function<void(const std::vector<control_host>&, bool)> aOnControlHosts,
    steady_time aNow)
    : mHooks(aHooks)
    , mStub(wire::Control::NewStub(std::move(aChannel)))
    , mLastMessageAt(aNow)
    , mOnControlHosts(std::move(aOnControlHosts))
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
    mMarks[mNextMark++] = { aNow, SuspendedTime() };
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
    mDoneAt = std::chrono::steady_clock::now();
    mChanged.notify_all();
  }

  /** Waits until `aTime`, or until the control host says that it is cut off;
   * why the stream is over, if it is. */
  std::optional<stream_end> WaitUntil(steady_time aTime,
                                      const watch_client_config& aConfig)
  {
    std::unique_lock guard(mLock);
    bool wasCutOff = mIsCutOff;
    mChanged.wait_until(
      guard, aTime, [&] { return mIsDone || mIsCutOff != wasCutOff; });
    if (mIsDone) {
      return EndOf(aConfig);
    }
    if (mIsCutOff != wasCutOff) {
      return std::nullopt;
    }
    if (aTime - mLastMessageAt < TimeLimit(aConfig)) {
      return std::nullopt;
    }
    return mIsCutOff ? stream_end::CutOff : stream_end::TimedOut;
  }

  /** Why a stream that is done ended: a host that refuses connections does so
   * at once, one that is off or busy lets them time out. Needs the lock. */
  [[nodiscard]] stream_end EndOf(const watch_client_config& aConfig) const
  {
    bool hasTimedOut =
      !mHasMajority && mDoneAt - mLastMessageAt >= aConfig.mConnectTimeout;
    return hasTimedOut ? stream_end::TimedOut : stream_end::Failed;
  }

  /** Maximum time without a message that counts; needs the lock. */
  [[nodiscard]] milliseconds TimeLimit(const watch_client_config& aConfig) const
  {
    if (mIsConfirmed && !mIsCutOff) {
      return aConfig.mSilenceTimeout;
    }
    return mHasMajority || mIsCutOff ? aConfig.mStateTimeout
                                     : aConfig.mOpenTimeout;
  }

  stream_progress Progress()
  {
    std::lock_guard guard(mLock);
    return { mIsConfirmed, mIsCutOff };
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
    for (int index = 0; index < mDown.control_hosts_size(); ++index) {
      control_host host{ host_id{ mDown.control_hosts(index) } };
      // Control hosts of an older build don't tell their failure domains.
      if (index < mDown.control_domains_size()) {
        host.mFailureDomain.mValue = mDown.control_domains(index);
      }
      update.mControlHosts.push_back(std::move(host));
    }
    mHooks.mApplyUpdate(update, aNow);
    std::optional<sent_mark> confirmed;
    bool isSure = false;
    {
      std::lock_guard guard(mLock);
      mHasMajority = mHasMajority || mDown.has_majority();
      mIsConfirmed = mIsConfirmed || update.mConfirmedMark != 0;
      isSure = mHasMajority || mIsConfirmed;
      if (mDown.cut_off() || update.mConfirmedMark != 0) {
        mIsCutOff = mDown.cut_off();
        mChanged.notify_all();
      }
      mLastMessageAt = mIsConfirmed || mIsCutOff ? aNow : mLastMessageAt;
      auto mark = mMarks.find(update.mConfirmedMark);
      if (mark != mMarks.end()) {
        confirmed = mark->second;
        mMarks.erase(mMarks.begin(), std::next(mark));
      }
    }
    if (!update.mControlHosts.empty()) {
      mListedHosts = std::move(update.mControlHosts);
      if (!isSure) {
        mOnControlHosts(mListedHosts, false);
      }
    }
    if (isSure && !mListedHosts.empty()) {
      mOnControlHosts(std::exchange(mListedHosts, {}), true);
    }
    if (confirmed) {
      mHooks.mOnMarkConfirmed(*confirmed);
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
  std::vector<host_id> hosts;
  for (const auto& [host, address] : made->mConfig.mAddresses) {
    hosts.push_back(host);
  }
  made->mChoice = control_host_choice::Create(
    hosts, made->mConfig.mFailureDomain, made->mConfig.mSeed);
  made->mRandom.seed(made->mConfig.mSeed);
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
watch_client::AddHosts(const std::map<host_id, std::string>& aAddresses)
{
  {
    std::lock_guard guard(mState->mLock);
    for (const auto& [host, address] : aAddresses) {
      mState->mConfig.mAddresses.emplace(host, address);
      mState->mChoice.AddInitial(host);
    }
  }
  mState->mChanged.notify_all();
}

void
watch_client::Run(const std::shared_ptr<state>& aState)
{
  while (aState->WaitForHosts()) {
    host_id host = aState->PreferredHost();
    stream_end end = RunStream(aState, host);
    log_event("watch_ended")
      .Add("control", host.mValue)
      .Add("end", NameOf(end));
    std::unique_lock guard(aState->mLock);
    aState->mChanged.wait_for(guard, aState->PauseAfter(host, end), [&] {
      return aState->mIsStopping;
    });
  }
}

stream_end
watch_client::RunStream(const std::shared_ptr<state>& aState,
                        const host_id& aHost)
{
  watch_client_config config = aState->ConfigForStream();
  steady_time now = std::chrono::steady_clock::now();
  stream_reactor stream(
    aState->mHooks,
    OpenChannel(aState->AddressOfHost(aHost), config.mConnectTimeout),
    [&aState](const std::vector<control_host>& aHosts, bool aIsConfirmed) {
      aState->SetControlHosts(aHosts, aIsConfirmed);
    },
    now);
  stream.SendMark(now, true);
  stream_end end = stream_end::Stopped;
  while (!aState->IsStopping()) {
    now += config.mMarkInterval;
    if (auto over = stream.WaitUntil(now, config)) {
      end = *over;
      break;
    }
    now = std::chrono::steady_clock::now();
    if (auto over = aState->EndAfter(aHost, stream.Progress(), now)) {
      end = *over;
      break;
    }
    stream.SendMark(now, false);
  }
  stream.CancelAndWait();
  return end;
}

}
