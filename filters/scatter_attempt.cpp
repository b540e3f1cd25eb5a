#include "filters/scatter_operation.h"

#include "core/background_task.h"
#include "core/log_event.h"
#include "decisions/routing/snapshot_choice.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Maximum rounds in which servers that refused the request are tried again. */
constexpr int kMaxRefusalRounds = 20;
/** Minimum time without a response before an attempt is hedged. */
constexpr microseconds kMinHedgeDelay{ 1000 };

/** What an attempt tells overload control; nothing if its server was lost. */
std::optional<overload_attempt>
OverloadAttemptOf(const attempt_report& aReport)
{
  switch (aReport.mStatus) {
    case attempt_status::Answered:
      return overload_attempt{ attempt_end::Responded, aReport.mDuration };
    case attempt_status::TimedOut:
    case attempt_status::Cancelled:
      return overload_attempt{ attempt_end::GivenUp, aReport.mDuration };
    case attempt_status::Shed:
      return overload_attempt{ attempt_end::Shed, aReport.mDuration };
    case attempt_status::NotSent:
    case attempt_status::Withdrawn:
    case attempt_status::Reset:
    case attempt_status::WrongSnapshot:
    case attempt_status::BadResponse:
    case attempt_status::Failed:
      break;
  }
  return std::nullopt;
}

}

choice_request
scatter_operation::MakeChoiceRequest(const service_progress& aService,
                                     attempt_reason aReason) const
{
  choice_request choice;
  choice.mService = aService.mService;
  choice.mSnapshot = mSnapshot;
  choice.mAcceptsAnySnapshot = mKind != request_kind::Query;
  choice.mExcludedServers = aService.mExcludedServers;
  // A hedge or a retry goes to another server, and to another failure domain
  // if possible.
  for (const auto& [number, inFlight] : aService.mInFlight) {
    choice.mExcludedServers.push_back(inFlight.mPermit.mServer);
  }
  if (!aService.mSubqueryServer.IsEmpty()) {
    choice.mExcludedServers.push_back(aService.mSubqueryServer);
  }
  if (!MayTryAnotherServer(aService)) {
    // No additional server may get the request, but those that refused it may
    // get it again.
    choice.mAllowedServers = aService.mRefusedBy;
  }
  choice.mAvoidedDomain = aService.mFirstDomain;
  choice.mWorker = CurrentWorker();
  choice.mRateRequest.mPriority = mPriority;
  choice.mRoute = &mTeam;
  choice.mDraw = mDraw;
  choice.mFirstChoiceAt = aService.mFirstChoiceAt;
  // A retry that no server has got yet is the service's first attempt.
  choice.mRateRequest.mIsExtra =
    aReason == attempt_reason::Hedge ||
    (aReason == attempt_reason::Retry && !aService.mTried.empty());
  choice.mIsConfirmed =
    !mHooks.mIsConfirmed || mHooks.mIsConfirmed(mHooks.mNow());
  return choice;
}

bool
scatter_operation::MaySend(steady_time aNow) const
{
  return mMaySend == nullptr || (*mMaySend)(aNow);
}

void
scatter_operation::StartAttempt(service_progress& aService,
                                attempt_reason aReason,
                                steady_time aNow)
{
  // Without a valid lease nothing is started or retried.
  if (!mHooks.mIsLeaseValid(aNow)) {
    GiveUp(aService, missing_reason::NoServer);
    return;
  }
  if (!MaySend(aNow)) {
    // A hedge that is not sent leaves the attempt before it under way.
    if (aReason != attempt_reason::Hedge) {
      GiveUp(aService, missing_reason::KeyUnusable);
    }
    return;
  }
  if (aService.mFirstChoiceAt == steady_time{}) {
    aService.mFirstChoiceAt = aNow;
  }
  auto permit = mBackends.Choose(MakeChoiceRequest(aService, aReason), aNow);
  if (!permit) {
    if (aReason != attempt_reason::Hedge) {
      AwaitCapacityOrGiveUp(aService);
    }
    return;
  }
  CountAttempt(aService, aReason, aNow);
  auto hedgeAfter = mBackends.SlowThreshold(aService.mService);
  if (!hedgeAfter) {
    hedgeAfter = SlowPartThreshold();
  }
  if (aReason != attempt_reason::Hedge && hedgeAfter) {
    aService.mHedgeAt = aNow + std::max(*hedgeAfter, kMinHedgeDelay);
  }
  if (aReason != attempt_reason::Hedge && mMaxHedgeDelay) {
    aService.mHedgeAt = std::min(aService.mHedgeAt, aNow + *mMaxHedgeDelay);
  }
  if (aService.mFirstDomain.IsEmpty()) {
    aService.mFirstDomain = permit->mFailureDomain;
  }
  std::erase(aService.mTried, permit->mServer);
  std::erase(aService.mRefusedBy, permit->mServer);
  aService.mTried.push_back(permit->mServer);
  SpawnAttempt(aService, aReason, std::move(*permit));
}

std::optional<microseconds>
scatter_operation::SlowPartThreshold() const
{
  if (!mIsMerged || !mHooks.mSlowPart) {
    return std::nullopt;
  }
  return mHooks.mSlowPart(mTeam);
}

void
scatter_operation::CountAttempt(service_progress& aService,
                                attempt_reason aReason,
                                steady_time aNow)
{
  ++mAttempts;
  switch (aReason) {
    case attempt_reason::Regular:
      mBudgets.OnRegularAttempt(aService.mService, aNow);
      return;
    case attempt_reason::Hedge:
      ++mHedges;
      return;
    case attempt_reason::Retry:
      ++mRetries;
      return;
  }
}

void
scatter_operation::AwaitServerOrGiveUp(service_progress& aService,
                                       steady_time aBackAt)
{
  if (mBackends.HasRateLimit(aService.mService, mHooks.mNow())) {
    AwaitRateOrGiveUp(aService, aBackAt);
    return;
  }
  WaitUntilOrGiveUp(aService, aBackAt, mDeadline, missing_reason::Paused);
}

void
scatter_operation::WaitUntilOrGiveUp(service_progress& aService,
                                     steady_time aUntil,
                                     steady_time aLimit,
                                     missing_reason aReason)
{
  if (aUntil < aLimit) {
    aService.mExcludedServers.clear();
    aService.mNextAttemptAt = aUntil;
    return;
  }
  // A retry is useless until the servers of each such service are back.
  if (aUntil != steady_time::max()) {
    mServersBackAt = std::max(mServersBackAt.value_or(aUntil), aUntil);
  }
  GiveUp(aService, aReason);
}

void
scatter_operation::AwaitCapacityOrGiveUp(service_progress& aService)
{
  auto backAt = mBackends.WillingAt(
    MakeChoiceRequest(aService, aService.mNextReason), mHooks.mNow());
  if (backAt) {
    AwaitServerOrGiveUp(aService, *backAt);
    return;
  }
  auto available = mBackends.Snapshots({ aService.mService });
  const auto& snapshots = available.front().mSnapshots;
  bool hasServer = !snapshots.empty();
  bool hasSnapshot =
    std::binary_search(snapshots.begin(), snapshots.end(), mSnapshot);
  if (mKind == request_kind::Query && !hasSnapshot) {
    mNeedsReplan = hasServer;
    GiveUp(aService, missing_reason::NoServer);
    Wake();
    return;
  }
  if (!hasServer && mKind != request_kind::Query) {
    GiveUp(aService, missing_reason::NoServer);
    return;
  }
  if (!aService.mExcludedServers.empty()) {
    bool mayRetry =
      (MayTryAnotherServer(aService) || !aService.mRefusedBy.empty()) &&
      aService.mRefusalRounds++ < kMaxRefusalRounds;
    if (!mayRetry) {
      GiveUp(aService, missing_reason::Failed);
      return;
    }
    // All servers refused the request: try them again after a pause.
    aService.mExcludedServers.clear();
    aService.mNextAttemptAt =
      mHooks.mNow() + kRefusalBackoff * std::min(8, aService.mRefusalRounds);
    return;
  }
  aService.mIsAwaitingCapacity = true;
  std::size_t index = IndexOf(aService);
  std::weak_ptr<scatter_operation> weak = weak_from_this();
  mBackends.NotifyOnCapacity(
    aService.mService,
    [weak, index, planNumber = mPlanNumber, executor = mExecutor] {
      asio::post(executor, [weak, index, planNumber] {
        auto self = weak.lock();
        if (self && self->mPlanNumber == planNumber) {
          self->mServices[index].mIsAwaitingCapacity = false;
          self->Wake();
        }
      });
    });
}

void
scatter_operation::SpawnAttempt(service_progress& aService,
                                attempt_reason aReason,
                                attempt_permit aPermit)
{
  attempt_number number = mNextAttempt++;
  in_flight_attempt& inFlight = aService.mInFlight[number];
  inFlight.mPermit = aPermit;
  inFlight.mReason = aReason;
  inFlight.mCancel = std::make_unique<asio::cancellation_signal>();
  server_request serverRequest;
  serverRequest.mPermit = std::move(aPermit);
  serverRequest.mKind = mKind;
  serverRequest.mAttemptId = mHooks.mNewAttemptId();
  serverRequest.mTeam = mTeam;
  serverRequest.mKey = mKey;
  serverRequest.mSnapshot = mSnapshot;
  serverRequest.mDeadline = mDeadline;
  // The outcome of a `Run` is recorded even after its caller was answered, and
  // a cold slot stays occupied until the server responds.
  bool awaitsOutcome =
    mKind == request_kind::Run || serverRequest.mPermit.mIsCold;
  serverRequest.mGiveUpAt = awaitsOutcome ? mGiveUpAt : mDeadline;
  serverRequest.mBody = mBody;
  serverRequest.mForwarded = mForwarded;
  serverRequest.mIsPart = mIsMerged;
  serverRequest.mMaySend = mMaySend;
  asio::co_spawn(mExecutor,
                 RunAttempt(shared_from_this(),
                            IndexOf(aService),
                            number,
                            mPlanNumber,
                            std::move(serverRequest)),
                 asio::bind_cancellation_slot(inFlight.mCancel->slot(),
                                              failure_reporter{ "attempt" }));
}

asio::awaitable<void>
scatter_operation::RunAttempt(std::shared_ptr<scatter_operation> aOperation,
                              std::size_t aIndex,
                              attempt_number aNumber,
                              int aPlanNumber,
                              server_request aServerRequest)
{
  // Cancellation must not interrupt the reporting of the outcome.
  co_await asio::this_coro::throw_if_cancelled(false);
  // An attempt must not end within the loop that starts attempts.
  co_await asio::post(aOperation->mExecutor, asio::use_awaitable);
  attempt_permit permit = aServerRequest.mPermit;
  auto cancellation = co_await asio::this_coro::cancellation_state;
  attempt_result result;
  if (cancellation.cancelled() == asio::cancellation_type::none) {
    result =
      co_await aOperation->mHooks.mSendAttempt(std::move(aServerRequest));
  } else {
    result.mStatus = attempt_status::Withdrawn;
    result.mConnection = permit.mConnection;
  }
  steady_time now = aOperation->mHooks.mNow();
  attempt_report report;
  report.mStatus = result.mStatus;
  report.mConnection = result.mConnection;
  report.mNotice = result.mNotice;
  report.mDuration =
    std::chrono::duration_cast<microseconds>(now - permit.mStartedAt);
  aOperation->mBackends.Finish(permit, report, now);
  bool isPart =
    aOperation->mIsMerged && result.mStatus == attempt_status::Answered;
  if (isPart && aOperation->mHooks.mOnPartTime) {
    aOperation->mHooks.mOnPartTime(aOperation->mTeam, report.mDuration);
  }
  auto ended = OverloadAttemptOf(report);
  if (ended && aOperation->mForwarded != nullptr &&
      aOperation->mHooks.mOnAttempt) {
    aOperation->mHooks.mOnAttempt(permit.mService, aOperation->mTeam, *ended);
  }
  if (!aOperation->mIsEnded && aOperation->mPlanNumber == aPlanNumber) {
    aOperation->OnAttemptDone(aIndex, aNumber, std::move(result));
    co_return;
  }
  bool isLateResponse = result.mStatus == attempt_status::Answered &&
                        aOperation->mKind == request_kind::Run &&
                        aOperation->mOnLateResponse;
  if (isLateResponse) {
    aOperation->mOnLateResponse(std::move(result.mResponse.mBody));
  }
}

void
scatter_operation::OnAttemptDone(std::size_t aIndex,
                                 attempt_number aNumber,
                                 attempt_result aResult)
{
  service_progress& service = mServices[aIndex];
  auto node = service.mInFlight.extract(aNumber);
  bool wasNeverSent = WasNeverSent(aResult.mStatus);
  bool didNotRun = wasNeverSent || aResult.mStatus == attempt_status::Shed;
  mMayHaveRun = mMayHaveRun || !didNotRun;
  if (node.empty()) {
    ReportTaskFailure("attempt",
                      "Request " + mRequest.mValue + " has no attempt " +
                        std::to_string(aNumber) + " at service " +
                        service.mService.mValue + ", which ended as " +
                        std::string(NameOf(aResult.mStatus)) + '.');
    if (!IsIdempotent(mKind) && !didNotRun) {
      mRan = execution_status::Unknown;
    }
    Wake();
    return;
  }
  const server_id& server = node.mapped().mPermit.mServer;
  if (wasNeverSent) {
    std::erase(service.mTried, server);
  }
  if (aResult.mStatus == attempt_status::Shed) {
    service.mRefusedBy.push_back(server);
  }
  RecordEnd(service, node.mapped().mPermit, aResult.mStatus);
  RecordFailure(service, node.mapped(), aResult);
  if (!service.mIsDone) {
    HandleResult(service, node.mapped().mPermit, std::move(aResult));
  }
  Wake();
}

void
scatter_operation::RecordEnd(service_progress& aService,
                             const attempt_permit& aPermit,
                             attempt_status aStatus)
{
  if (mForwarded == nullptr) {
    return;
  }
  bool isAnswered =
    aStatus == attempt_status::Answered || aStatus == attempt_status::Failed;
  bool isLost = aStatus == attempt_status::Reset;
  aService.mIsAnswered = aService.mIsAnswered || isAnswered;
  aService.mWasLost = aService.mWasLost || isLost;
  if (isLost && mHooks.mOnLost) {
    mHooks.mOnLost(mFingerprint, aPermit);
  }
}

void
scatter_operation::RecordFailure(const service_progress& aService,
                                 const in_flight_attempt& aAttempt,
                                 attempt_result& aResult)
{
  bool isExpected = aResult.mStatus == attempt_status::Answered ||
                    aResult.mStatus == attempt_status::Cancelled ||
                    aResult.mStatus == attempt_status::Withdrawn;
  if (isExpected || mForwarded == nullptr) {
    return;
  }
  log_event("attempt_failed")
    .Add("request", mRequest.mValue)
    .Add("service", aService.mService.mValue)
    .Add("server", aAttempt.mPermit.mServer.mValue)
    .Add("address", aAttempt.mPermit.mAddress)
    .Add("reason", NameOf(aAttempt.mReason))
    .Add("status", NameOf(aResult.mStatus))
    .Add("code", aResult.mResponse.mStatus)
    .Add("tried", aService.mTried.size());
  if (aResult.mStatus == attempt_status::Failed) {
    mFailedResponse = std::move(aResult.mResponse);
  }
}

void
scatter_operation::CancelAttempts(service_progress& aService)
{
  for (auto& [number, inFlight] : aService.mInFlight) {
    if (!inFlight.mPermit.mIsCold) {
      inFlight.mCancel->emit(asio::cancellation_type::terminal);
    }
  }
}

}
