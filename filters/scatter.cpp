#include "filters/scatter.h"

#include "core/log_event.h"
#include "decisions/snapshot_choice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <memory>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr int kMostReplans = 3;
constexpr int kMostShedRounds = 20;
/** Times that servers which refused a forwarded request are asked again. */
constexpr int kMostRefusedRounds = 3;
constexpr milliseconds kShedPause{ 5 };
constexpr int kWhole = 100;
/** Least time without an answer before a hedge is thought of. */
constexpr microseconds kShortestHedge{ 1000 };

using attempt_number = std::uint64_t;

enum class attempt_reason
{
  Regular,
  Hedge,
  Retry,
};

struct flying_attempt
{
  attempt_permit mPermit;
  std::unique_ptr<asio::cancellation_signal> mCancel;
};

/** How far the request is at one service. */
struct service_progress
{
  service_id mService;
  bool mIsDone = false;
  bool mWaitsForPlace = false;
  bool mWasHedged = false;
  attempt_reason mNextReason = attempt_reason::Regular;
  std::map<attempt_number, flying_attempt> mFlying;
  std::vector<server_id> mExcluded;
  failure_domain_id mFirstDomain;
  int mShedRounds = 0;
  /** Servers that the request was sent to, or may have been. */
  std::vector<server_id> mTried;
  /** Those of them that refused it without running it. */
  std::vector<server_id> mRefusedBy;
  steady_time mStartAt;
  steady_time mHedgeAt = steady_time::max();
  missing_reason mReason = missing_reason::NoServer;
};

/**
 * One request's fan-out. It lives on the request's executor; attempts that
 * outlive the request hold it until they end.
 */
class scatter_run : public std::enable_shared_from_this<scatter_run>
{
  backend_controller& mBackends;
  budget_controller& mBudgets;
  fingerprint_controller& mFingerprints;
  const scatter_hooks& mHooks;
  asio::any_io_executor mExecutor;
  asio::steady_timer mChanged;

  // A copy of what attempts need, since they may outlive the request.
  request_kind mKind;
  request_id mRequest;
  team_id mTeam;
  idempotency_key mKey;
  fingerprint_id mFingerprint;
  std::shared_ptr<const std::string> mBody;
  steady_time mDeadline;
  steady_time mGiveUpAt;
  steady_time mAnswerBy;
  std::shared_ptr<const forwarded_request> mForwarded;
  std::shared_ptr<caller_presence> mPresence;
  bool mIsMerged;
  /** Latest time after an attempt at which it is hedged. */
  std::optional<microseconds> mHedgeCap;
  std::uint32_t mMostAttempts;
  /** Services without which there is no answer. */
  std::size_t mNeeded;
  snapshot_number mSnapshot;

  std::vector<service_progress> mServices;
  std::vector<service_answer> mAnswers;
  std::vector<missing_service> mMissing;
  attempt_number mNextAttempt = 1;
  /** Attempts of an earlier plan are told apart by it. */
  int mPlan = 0;
  bool mIsEnded = false;
  bool mNeedsReplan = false;
  bool mIsQuarantined = false;
  bool mWasSent = false;
  bool mIsCanary = false;
  int mPendingCrashes = 0;
  std::vector<server_id> mCrashedServers;
  bool mIsSuspect = false;
  std::function<void(std::string)> mLateAnswer;
  std::optional<server_reply> mFailedReply;
  std::size_t mAttempts = 0;
  std::size_t mHedges = 0;
  std::size_t mRetries = 0;
  /** What is known of a `Run` after its one attempt. */
  ran_answer mRan = ran_answer::No;

public:
  scatter_run(backend_controller& aBackends,
              budget_controller& aBudgets,
              fingerprint_controller& aFingerprints,
              const scatter_hooks& aHooks,
              const asio::any_io_executor& aExecutor,
              const request_context& aRequest)
    : mBackends(aBackends)
    , mBudgets(aBudgets)
    , mFingerprints(aFingerprints)
    , mHooks(aHooks)
    , mExecutor(aExecutor)
    , mChanged(aExecutor)
    , mKind(aRequest.mKind)
    , mRequest(aRequest.mRequest)
    , mTeam(aRequest.mTeam)
    , mKey(aRequest.mKey)
    , mFingerprint(aRequest.mFingerprint)
    , mBody(aRequest.mBody)
    , mDeadline(aRequest.mDeadline)
    , mGiveUpAt(aRequest.mGiveUpAt)
    , mAnswerBy(aRequest.mAnswerBy)
    , mForwarded(aRequest.mForwarded)
    , mPresence(aRequest.mPresence)
    , mIsMerged(aRequest.mIsMerged)
    , mMostAttempts(aRequest.mMostAttempts)
    , mNeeded(NeededServices(aRequest.mServices.size(),
                             aRequest.mPolicy.mMinimumCoverage))
    , mSnapshot(aRequest.mSnapshot)
    , mIsSuspect(aRequest.mIsTrial)
    , mLateAnswer(aRequest.mLateAnswer)
  {
    SetServices(aRequest.mServices);
    if (aRequest.mAnswerBy < aRequest.mDeadline) {
      auto allowed = std::chrono::duration_cast<microseconds>(
        aRequest.mAnswerBy - aRequest.mReceivedAt);
      mHedgeCap = allowed * mHooks.mHedgePercent / kWhole;
    }
  }

  asio::awaitable<void> Run(request_context& aRequest)
  {
    bool isNew = mHooks.mUsesCanary &&
                 (mIsSuspect || !mFingerprints.IsHarmless(mFingerprint));
    mIsCanary = isNew && mKind == request_kind::Query && mServices.size() > 1;
    WatchCaller();
    int replans = 0;
    while (true) {
      steady_time now = mHooks.mNow();
      if (IsFinished() || now >= mDeadline || mIsQuarantined || IsAbandoned() ||
          IsGoodEnough(now)) {
        break;
      }
      if (mNeedsReplan && replans++ < kMostReplans) {
        Replan(aRequest);
      }
      StartWhatIsDue(now);
      if (IsFinished()) {
        break;
      }
      mChanged.expires_at(NextDue(now));
      co_await mChanged.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    End(aRequest);
  }

private:
  /** Ends the wait when the caller leaves. */
  void WatchCaller()
  {
    if (mPresence == nullptr) {
      return;
    }
    mPresence->mOnLeft = [weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->mChanged.cancel();
      }
    };
  }

  [[nodiscard]] bool IsAbandoned() const
  {
    return mPresence != nullptr && mPresence->mIsGone;
  }

  /** True when what is in should be answered rather than waited for more. */
  [[nodiscard]] bool IsGoodEnough(steady_time aNow) const
  {
    return mIsMerged && aNow >= mAnswerBy && !mAnswers.empty() &&
           mAnswers.size() >= mNeeded;
  }

  void SetServices(const std::vector<service_id>& aServices)
  {
    mServices.clear();
    for (const service_id& service : aServices) {
      service_progress progress;
      progress.mService = service;
      mServices.push_back(std::move(progress));
    }
  }

  [[nodiscard]] bool IsFinished() const
  {
    return mPendingCrashes == 0 &&
           std::all_of(mServices.begin(),
                       mServices.end(),
                       [](const auto& aService) { return aService.mIsDone; });
  }

  /** Starts over with another index version; nothing is mixed. */
  void Replan(request_context& aRequest)
  {
    mNeedsReplan = false;
    auto snapshot = mHooks.mReplan(aRequest);
    if (!snapshot || *snapshot == mSnapshot) {
      return;
    }
    CancelAll();
    ++mPlan;
    mSnapshot = *snapshot;
    aRequest.mSnapshot = *snapshot;
    mAnswers.clear();
    mMissing.clear();
    SetServices(aRequest.mServices);
  }

  void StartWhatIsDue(steady_time aNow)
  {
    for (service_progress& service : mServices) {
      if (!service.mIsDone && service.mFlying.empty() &&
          !service.mWaitsForPlace && service.mStartAt <= aNow) {
        StartAttempt(service, service.mNextReason, aNow);
      }
      if (service.mHedgeAt <= aNow && !service.mIsDone) {
        service.mHedgeAt = steady_time::max();
        Hedge(service, aNow);
      }
      // The canary's service goes first and the others wait for its answer.
      if (mIsCanary) {
        return;
      }
    }
  }

  void Hedge(service_progress& aService, steady_time aNow)
  {
    bool mayHedge = IsIdempotent(mKind) && !aService.mWasHedged &&
                    aService.mFlying.size() == 1 && MayTryAgain(aService);
    if (!mayHedge || !mBudgets.SpendHedge(aService.mService, aNow)) {
      return;
    }
    aService.mWasHedged = true;
    StartAttempt(aService, attempt_reason::Hedge, aNow);
  }

  /** True while the request may be sent to one more server of the service. */
  [[nodiscard]] bool MayTryAgain(const service_progress& aService) const
  {
    return aService.mTried.size() < mMostAttempts;
  }

  [[nodiscard]] steady_time NextDue(steady_time aNow) const
  {
    steady_time due = mDeadline;
    if (mIsMerged && mAnswerBy > aNow && mAnswers.size() >= mNeeded) {
      due = std::min(due, mAnswerBy);
    }
    for (const service_progress& service : mServices) {
      if (service.mIsDone) {
        continue;
      }
      due = std::min(due, service.mHedgeAt);
      if (service.mStartAt > aNow) {
        due = std::min(due, service.mStartAt);
      }
    }
    return due;
  }

  [[nodiscard]] choice_request Choice(const service_progress& aService) const
  {
    choice_request choice;
    choice.mService = aService.mService;
    choice.mSnapshot = mSnapshot;
    choice.mAnySnapshot = mKind != request_kind::Query;
    choice.mExcluded = aService.mExcluded;
    // A hedge or a repeat goes to another failure domain if it can.
    for (const auto& [number, flying] : aService.mFlying) {
      choice.mExcluded.push_back(flying.mPermit.mServer);
    }
    if (!MayTryAgain(aService)) {
      // No further server may get the request, but those that refused it may
      // get it again.
      choice.mOnly = aService.mRefusedBy;
    }
    choice.mAvoidedDomain = aService.mFirstDomain;
    choice.mWorker = CurrentWorker();
    return choice;
  }

  void StartAttempt(service_progress& aService,
                    attempt_reason aReason,
                    steady_time aNow)
  {
    // A daemon that lost its lease starts nothing, nor repeats anything.
    if (!mHooks.mIsConfirmed(aNow)) {
      GiveUp(aService, missing_reason::NoServer);
      return;
    }
    auto permit = mBackends.Choose(Choice(aService), aNow);
    if (!permit) {
      if (aReason != attempt_reason::Hedge) {
        WaitOrGiveUp(aService);
      }
      return;
    }
    Count(aService, aReason, aNow);
    auto hedgeAfter = mBackends.SlowAfter(aService.mService);
    if (aReason != attempt_reason::Hedge && hedgeAfter) {
      aService.mHedgeAt = aNow + std::max(*hedgeAfter, kShortestHedge);
    }
    if (aReason != attempt_reason::Hedge && mHedgeCap) {
      aService.mHedgeAt = std::min(aService.mHedgeAt, aNow + *mHedgeCap);
    }
    if (aService.mFirstDomain.IsEmpty()) {
      aService.mFirstDomain = permit->mFailureDomain;
    }
    std::erase(aService.mTried, permit->mServer);
    std::erase(aService.mRefusedBy, permit->mServer);
    aService.mTried.push_back(permit->mServer);
    Launch(aService, std::move(*permit));
  }

  void Count(service_progress& aService,
             attempt_reason aReason,
             steady_time aNow)
  {
    ++mAttempts;
    switch (aReason) {
      case attempt_reason::Regular:
        mBudgets.OnRegular(aService.mService, aNow);
        return;
      case attempt_reason::Hedge:
        ++mHedges;
        return;
      case attempt_reason::Retry:
        ++mRetries;
        return;
    }
  }

  /** Waits for a place if a server could have one, else gives up. */
  void WaitOrGiveUp(service_progress& aService)
  {
    auto held = mBackends.Snapshots({ aService.mService });
    const auto& snapshots = held.front().mSnapshots;
    bool isServed = !snapshots.empty();
    bool holds =
      std::binary_search(snapshots.begin(), snapshots.end(), mSnapshot);
    if (mKind == request_kind::Query && !holds) {
      mNeedsReplan = isServed;
      GiveUp(aService, missing_reason::NoServer);
      mChanged.cancel();
      return;
    }
    if (!isServed && mKind != request_kind::Query) {
      GiveUp(aService, missing_reason::NoServer);
      return;
    }
    if (!aService.mExcluded.empty()) {
      bool mayGoOn = (MayTryAgain(aService) || !aService.mRefusedBy.empty()) &&
                     aService.mShedRounds++ < kMostShedRounds;
      if (!mayGoOn) {
        GiveUp(aService, missing_reason::Failed);
        return;
      }
      // All servers turned it away: ask them again after a pause.
      aService.mExcluded.clear();
      aService.mStartAt =
        mHooks.mNow() + kShedPause * std::min(8, aService.mShedRounds);
      return;
    }
    aService.mWaitsForPlace = true;
    std::size_t place = PlaceOf(aService.mService);
    std::weak_ptr<scatter_run> weak = weak_from_this();
    mBackends.WaitForPlace(aService.mService,
                           [weak, place, plan = mPlan, executor = mExecutor] {
                             asio::post(executor, [weak, place, plan] {
                               auto self = weak.lock();
                               if (self && self->mPlan == plan) {
                                 self->mServices[place].mWaitsForPlace = false;
                                 self->mChanged.cancel();
                               }
                             });
                           });
  }

  [[nodiscard]] std::size_t PlaceOf(const service_id& aService) const
  {
    auto found = std::find_if(
      mServices.begin(), mServices.end(), [&](const auto& aProgress) {
        return aProgress.mService == aService;
      });
    return static_cast<std::size_t>(found - mServices.begin());
  }

  void GiveUp(service_progress& aService, missing_reason aReason)
  {
    aService.mIsDone = true;
    aService.mReason = aReason;
    mIsCanary = false;
    mMissing.push_back({ aService.mService, aReason });
  }

  void Launch(service_progress& aService, attempt_permit aPermit)
  {
    attempt_number number = mNextAttempt++;
    flying_attempt& flying = aService.mFlying[number];
    flying.mPermit = aPermit;
    flying.mCancel = std::make_unique<asio::cancellation_signal>();
    attempt_order order;
    order.mPermit = std::move(aPermit);
    order.mKind = mKind;
    order.mAttempt = mHooks.mNewAttempt();
    order.mTeam = mTeam;
    order.mKey = mKey;
    order.mSnapshot = mSnapshot;
    order.mDeadline = mDeadline;
    // The outcome of a run is worth knowing even after its caller was told,
    // and a cold server's slot is taken until the server says otherwise.
    bool isKept = mKind == request_kind::Run || order.mPermit.mIsCold;
    order.mGiveUpAt = isKept ? mGiveUpAt : mDeadline;
    order.mBody = mBody;
    order.mForwarded = mForwarded;
    order.mIsPart = mIsMerged;
    asio::co_spawn(
      mExecutor,
      Attempt(shared_from_this(),
              PlaceOf(aService.mService),
              number,
              mPlan,
              std::move(order)),
      asio::bind_cancellation_slot(flying.mCancel->slot(), asio::detached));
  }

  static asio::awaitable<void> Attempt(std::shared_ptr<scatter_run> aRun,
                                       std::size_t aPlace,
                                       attempt_number aNumber,
                                       int aPlan,
                                       attempt_order aOrder)
  {
    // The attempt's own reporting must not be cut by its cancellation.
    co_await asio::this_coro::throw_if_cancelled(false);
    attempt_permit permit = aOrder.mPermit;
    attempt_result answer = co_await aRun->mHooks.mAttempt(std::move(aOrder));
    steady_time now = aRun->mHooks.mNow();
    attempt_report report;
    report.mStatus = answer.mStatus;
    report.mConnection = answer.mConnection;
    report.mTook =
      std::chrono::duration_cast<microseconds>(now - permit.mStartedAt);
    aRun->mBackends.Finish(permit, report, now);
    if (!aRun->mIsEnded && aRun->mPlan == aPlan) {
      aRun->OnDone(aPlace, aNumber, std::move(answer));
      co_return;
    }
    bool isLate = answer.mStatus == attempt_status::Answered &&
                  aRun->mKind == request_kind::Run && aRun->mLateAnswer;
    if (isLate) {
      aRun->mLateAnswer(std::move(answer.mReply.mBody));
    }
  }

  void OnDone(std::size_t aPlace,
              attempt_number aNumber,
              attempt_result aAnswer)
  {
    service_progress& service = mServices[aPlace];
    auto node = service.mFlying.extract(aNumber);
    bool ranNothing = aAnswer.mStatus == attempt_status::NotSent ||
                      aAnswer.mStatus == attempt_status::Shed;
    mWasSent = mWasSent || !ranNothing;
    const server_id& server = node.mapped().mPermit.mServer;
    if (aAnswer.mStatus == attempt_status::NotSent) {
      std::erase(service.mTried, server);
    }
    if (aAnswer.mStatus == attempt_status::Shed) {
      service.mRefusedBy.push_back(server);
    }
    NoteFailure(service, node.mapped().mPermit, aAnswer);
    if (!service.mIsDone) {
      Judge(service, node.mapped().mPermit, std::move(aAnswer));
    }
    mChanged.cancel();
  }

  /** Keeps a server's own failure, and logs an attempt that came to nothing.
   */
  void NoteFailure(const service_progress& aService,
                   const attempt_permit& aPermit,
                   attempt_result& aAnswer)
  {
    bool isPlain = aAnswer.mStatus == attempt_status::Answered ||
                   aAnswer.mStatus == attempt_status::Cancelled;
    if (isPlain || mForwarded == nullptr) {
      return;
    }
    log_event("attempt_failed")
      .Add("request", mRequest.mValue)
      .Add("service", aService.mService.mValue)
      .Add("server", aPermit.mServer.mValue)
      .Add("address", aPermit.mAddress)
      .Add("status", NameOf(aAnswer.mStatus))
      .Add("code", aAnswer.mReply.mStatus)
      .Add("tried", aService.mTried.size());
    if (aAnswer.mStatus == attempt_status::Failed) {
      mFailedReply = std::move(aAnswer.mReply);
    }
  }

  void Judge(service_progress& aService,
             const attempt_permit& aPermit,
             attempt_result aAnswer)
  {
    if (!IsIdempotent(mKind)) {
      JudgeRun(aService, aPermit, std::move(aAnswer));
      return;
    }
    switch (aAnswer.mStatus) {
      case attempt_status::Answered:
        TakeAnswer(aService, std::move(aAnswer));
        return;
      case attempt_status::Reset:
        if (mForwarded != nullptr) {
          TryElsewhere(aService, aPermit, aAnswer.mStatus);
          return;
        }
        ReportCrash(aPermit, aService);
        return;
      case attempt_status::WrongSnapshot:
      case attempt_status::Shed:
      case attempt_status::NotSent:
      case attempt_status::BadAnswer:
      case attempt_status::Failed:
      case attempt_status::TimedOut:
      case attempt_status::Cancelled:
        TryElsewhere(aService, aPermit, aAnswer.mStatus);
        return;
    }
  }

  void TakeAnswer(service_progress& aService, attempt_result aAnswer)
  {
    aService.mIsDone = true;
    mAnswers.push_back({ aService.mService, std::move(aAnswer.mReply) });
    if (mIsCanary) {
      mIsCanary = false;
      mFingerprints.SetHarmless(mFingerprint);
    }
    Cancel(aService);
  }

  /** Gives a service's attempts up, but for those in a cold server's slot. */
  static void Cancel(service_progress& aService)
  {
    for (auto& [number, flying] : aService.mFlying) {
      if (!flying.mPermit.mIsCold) {
        flying.mCancel->emit(asio::cancellation_type::terminal);
      }
    }
  }

  void TryElsewhere(service_progress& aService,
                    const attempt_permit& aPermit,
                    attempt_status aStatus)
  {
    aService.mExcluded.push_back(aPermit.mServer);
    if (!aService.mFlying.empty()) {
      return;
    }
    // A shed costs a server next to nothing; other repeats have a budget.
    bool isCheap = aStatus == attempt_status::NotSent ||
                   aStatus == attempt_status::WrongSnapshot ||
                   (aStatus == attempt_status::Shed && mForwarded == nullptr);
    bool mayTry = aStatus == attempt_status::NotSent || MayTryAgain(aService) ||
                  (!aService.mRefusedBy.empty() &&
                   aService.mShedRounds < kMostRefusedRounds);
    if (!mayTry ||
        (!isCheap && !mBudgets.SpendRetry(aService.mService, mHooks.mNow()))) {
      GiveUp(aService, missing_reason::Failed);
      return;
    }
    aService.mNextReason = attempt_reason::Retry;
    if (!MayTryAgain(aService) && aStatus != attempt_status::NotSent) {
      for (const server_id& server : aService.mRefusedBy) {
        std::erase(aService.mExcluded, server);
      }
      aService.mStartAt = mHooks.mNow() + kShedPause * ++aService.mShedRounds;
    }
  }

  void JudgeRun(service_progress& aService,
                const attempt_permit& aPermit,
                attempt_result aAnswer)
  {
    switch (aAnswer.mStatus) {
      case attempt_status::Answered:
        mRan = ran_answer::Yes;
        aService.mIsDone = true;
        mAnswers.push_back({ aService.mService, std::move(aAnswer.mReply) });
        return;
      case attempt_status::Shed:
      case attempt_status::NotSent:
        // Proof that it did not run there: another server may be tried.
        TryElsewhere(aService, aPermit, aAnswer.mStatus);
        return;
      case attempt_status::Reset:
        mRan = ran_answer::Unknown;
        if (mForwarded == nullptr) {
          ReportCrash(aPermit, aService);
        }
        GiveUp(aService, missing_reason::Failed);
        return;
      case attempt_status::TimedOut:
      case attempt_status::Cancelled:
      case attempt_status::WrongSnapshot:
      case attempt_status::BadAnswer:
      case attempt_status::Failed:
        mRan = ran_answer::Unknown;
        GiveUp(aService, missing_reason::Failed);
        return;
    }
  }

  /** A reset may mean that the request crashes whoever runs it. */
  void ReportCrash(const attempt_permit& aPermit, service_progress& aService)
  {
    mFingerprints.SetHarmful(mFingerprint);
    mIsSuspect = true;
    mCrashedServers.push_back(aPermit.mServer);
    aService.mExcluded.push_back(aPermit.mServer);
    aService.mStartAt = steady_time::max();
    aService.mNextReason = attempt_reason::Retry;
    ++mPendingCrashes;
    asio::co_spawn(
      mExecutor,
      AwaitVerdict(shared_from_this(), PlaceOf(aService.mService), mPlan),
      asio::detached);
  }

  static asio::awaitable<void> AwaitVerdict(std::shared_ptr<scatter_run> aRun,
                                            std::size_t aPlace,
                                            int aPlan)
  {
    crash_report report;
    report.mFingerprint = aRun->mFingerprint;
    report.mServers = aRun->mCrashedServers;
    report.mDeadline = aRun->mDeadline;
    crash_verdict verdict =
      co_await aRun->mHooks.mReportCrash(std::move(report));
    --aRun->mPendingCrashes;
    if (verdict == crash_verdict::Quarantined) {
      aRun->mIsQuarantined = true;
    }
    if (aRun->mPlan == aPlan) {
      aRun->mServices[aPlace].mStartAt = steady_time{};
    }
    aRun->mChanged.cancel();
  }

  void CancelAll()
  {
    for (service_progress& service : mServices) {
      Cancel(service);
    }
  }

  void End(request_context& aRequest)
  {
    mIsEnded = true;
    // A run that is under way is not cut: its outcome is still to be learnt.
    if (mKind != request_kind::Run) {
      CancelAll();
    }
    for (const service_progress& service : mServices) {
      if (service.mIsDone) {
        continue;
      }
      mMissing.push_back({ service.mService, missing_reason::NoAnswerInTime });
      if (!service.mFlying.empty()) {
        mWasSent = true;
        mRan = ran_answer::Unknown;
      }
    }
    if (mPresence != nullptr) {
      mPresence->mOnLeft = nullptr;
    }
    aRequest.mFailedReply = std::move(mFailedReply);
    aRequest.mAnswers = std::move(mAnswers);
    aRequest.mMissing = std::move(mMissing);
    aRequest.mAttempts += mAttempts;
    aRequest.mHedges += mHedges;
    aRequest.mRetries += mRetries;
    aRequest.mRan = RanOf(aRequest);
    if (mForwarded != nullptr) {
      return;
    }
    if (mKind == request_kind::Run) {
      if (aRequest.mAnswers.empty()) {
        RefuseRun(aRequest);
      }
      return;
    }
    if (mIsQuarantined) {
      aRequest.Refuse(refusal_reason::Quarantined,
                      "The request crashed servers.");
      return;
    }
    if (mIsSuspect && aRequest.mMissing.empty()) {
      mHooks.mReportHarmless(mFingerprint);
    }
  }

  [[nodiscard]] ran_answer RanOf(const request_context& aRequest) const
  {
    if (!IsIdempotent(mKind)) {
      return mRan;
    }
    if (!aRequest.mAnswers.empty()) {
      return ran_answer::Yes;
    }
    return mWasSent ? ran_answer::Unknown : ran_answer::No;
  }

  void RefuseRun(request_context& aRequest) const
  {
    if (mRan == ran_answer::Unknown) {
      aRequest.Refuse(refusal_reason::OutcomeUnknown,
                      "The server's answer was lost; it is not run again.");
      return;
    }
    constexpr milliseconds kRetryAfter{ 200 };
    aRequest.Refuse(refusal_reason::NoServer,
                    "No server took the request in time.",
                    kRetryAfter);
  }
};

}

filter
MakeScatter(backend_controller& aBackends,
            budget_controller& aBudgets,
            fingerprint_controller& aFingerprints,
            scatter_hooks aHooks)
{
  auto hooks = std::make_shared<const scatter_hooks>(std::move(aHooks));
  return { filter_name::Scatter,
           filter_when::Open,
           [&aBackends, &aBudgets, &aFingerprints, hooks](
             request_context& aRequest) -> asio::awaitable<void> {
             if (aRequest.mIsAnswered) {
               co_return;
             }
             auto executor = co_await asio::this_coro::executor;
             auto run = std::make_shared<scatter_run>(
               aBackends, aBudgets, aFingerprints, *hooks, executor, aRequest);
             co_await run->Run(aRequest);
           } };
}

}
