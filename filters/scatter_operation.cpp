#include "filters/scatter_operation.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr int kMaxReplans = 3;
constexpr int kPercent = 100;

}

scatter_operation::scatter_operation(backend_controller& aBackends,
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
  , mWakeTimer(aExecutor)
  , mKind(aRequest.mKind)
  , mRequest(aRequest.mRequest)
  , mTeam(aRequest.mTeam)
  , mKey(aRequest.mKey)
  , mFingerprint(aRequest.mFingerprint)
  , mBody(aRequest.mBody)
  , mDeadline(aRequest.mDeadline)
  , mGiveUpAt(aRequest.mGiveUpAt)
  , mSoftDeadline(aRequest.mSoftDeadline)
  , mDividedSoftDeadline(
      std::max(aRequest.mSoftDeadline, aRequest.mDividedSoftDeadline))
  , mForwarded(aRequest.mForwarded)
  , mMaySend(aRequest.mMaySend)
  , mCaller(aRequest.mCaller)
  , mConfiguration(aRequest.mConfiguration)
  , mTopRecords(aRequest.mTopRecords)
  , mPartFields(aRequest.mPartFields)
  , mOnProgress(aRequest.mOnProgress)
  , mReportBy(aRequest.mReportBy)
  , mIsMerged(aRequest.mIsMerged)
  , mMaxAttempts(aRequest.mMaxAttempts)
  , mPriority(aRequest.mPriority)
  , mDraw(std::hash<std::string>{}(aRequest.mRequest.mValue) ^
          static_cast<std::uint64_t>(
            aRequest.mReceivedAt.time_since_epoch().count()))
  , mRequiredResponses(NeededServices(aRequest.mServices.size(),
                                      aRequest.mPolicy.mMinimumCoverage))
  , mSnapshot(aRequest.mSnapshot)
  , mIsSuspect(aRequest.mIsTrial)
  , mOnLateResponse(aRequest.mOnLateResponse)
{
  SetServices(aRequest.mServices);
  if (aRequest.mSoftDeadline < aRequest.mDeadline) {
    auto softBudget = std::chrono::duration_cast<microseconds>(
      aRequest.mSoftDeadline - aRequest.mReceivedAt);
    mMaxHedgeDelay = softBudget * mHooks.mHedgePercent / kPercent;
  }
}

asio::awaitable<void>
scatter_operation::Run(request_context& aRequest)
{
  bool isNew = mHooks.mUsesCanary &&
               (mIsSuspect || !mFingerprints.IsHarmless(mFingerprint));
  mIsCanary = isNew && mKind == request_kind::Query && mServices.size() > 1;
  ObserveCaller();
  StartSubqueries(mHooks.mNow());
  EndIfRatesExcludeMinimum(mHooks.mNow());
  int replans = 0;
  while (true) {
    mIsWoken = false;
    steady_time now = mHooks.mNow();
    if (IsFinished() || now >= mDeadline || mIsQuarantined ||
        IsCallerDisconnected() || CanReturnPartial(now)) {
      break;
    }
    if (mNeedsReplan && replans++ < kMaxReplans) {
      Replan(aRequest);
    }
    StartDueAttempts(now);
    if (IsFinished()) {
      break;
    }
    ReportIfDue(now);
    if (mIsWoken) {
      continue;
    }
    mWakeTimer.expires_at(NextDue(now));
    co_await mWakeTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  Finish(aRequest);
}

void
scatter_operation::Wake()
{
  mIsWoken = true;
  mWakeTimer.cancel();
}

void
scatter_operation::ObserveCaller()
{
  if (mCaller == nullptr) {
    return;
  }
  mCaller->mOnDisconnect = [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->Wake();
    }
  };
}

bool
scatter_operation::IsCallerDisconnected() const
{
  return mCaller != nullptr && mCaller->mIsDisconnected;
}

bool
scatter_operation::CanReturnPartial(steady_time aNow) const
{
  return mIsMerged && aNow >= mSoftDeadline && !mResponses.empty() &&
         mResponses.size() >= mRequiredResponses;
}

void
scatter_operation::SetServices(const service_set& aServices)
{
  mServices.clear();
  for (const service_id& service : aServices) {
    service_progress progress;
    progress.mService = service;
    mServices.push_back(std::move(progress));
  }
}

bool
scatter_operation::IsFinished() const
{
  return mPendingCrashReports == 0 &&
         std::all_of(mServices.begin(),
                     mServices.end(),
                     [](const auto& aService) { return aService.mIsDone; });
}

void
scatter_operation::Replan(request_context& aRequest)
{
  mNeedsReplan = false;
  auto snapshot = mHooks.mReplan(aRequest);
  if (!snapshot || *snapshot == mSnapshot) {
    return;
  }
  CancelAllAttempts();
  ++mPlanNumber;
  mSnapshot = *snapshot;
  aRequest.mSnapshot = *snapshot;
  mResponses.clear();
  mMissing.clear();
  SetServices(aRequest.mServices);
}

void
scatter_operation::StartDueAttempts(steady_time aNow)
{
  for (service_progress& service : mServices) {
    if (!service.mIsDone && service.mInFlight.empty() && !service.mSubquery &&
        !service.mIsAwaitingCapacity && service.mNextAttemptAt <= aNow) {
      StartAttempt(service, service.mNextReason, aNow);
    }
    if (service.mHedgeAt <= aNow && !service.mIsDone) {
      service.mHedgeAt = steady_time::max();
      Hedge(service, aNow);
    }
    // The first service is the canary; the others wait for its response.
    if (mIsCanary) {
      return;
    }
  }
}

void
scatter_operation::Hedge(service_progress& aService, steady_time aNow)
{
  std::size_t inProgress =
    aService.mInFlight.size() + (aService.mSubquery ? 1U : 0U);
  bool mayHedge = IsIdempotent(mKind) && !aService.mIsHedged &&
                  inProgress == 1 && MayTryAnotherServer(aService);
  if (!mayHedge || !mBudgets.SpendHedge(aService.mService, aNow)) {
    return;
  }
  aService.mIsHedged = true;
  StartAttempt(aService, attempt_reason::Hedge, aNow);
}

bool
scatter_operation::MayTryAnotherServer(const service_progress& aService) const
{
  return aService.mTried.size() < mMaxAttempts;
}

steady_time
scatter_operation::NextDue(steady_time aNow) const
{
  steady_time due = std::min(mDeadline, mReportAt);
  if (mIsMerged && mSoftDeadline > aNow &&
      mResponses.size() >= mRequiredResponses) {
    due = std::min(due, mSoftDeadline);
  }
  for (const service_progress& service : mServices) {
    if (service.mIsDone) {
      continue;
    }
    due = std::min(due, service.mHedgeAt);
    if (service.mNextAttemptAt > aNow) {
      due = std::min(due, service.mNextAttemptAt);
    }
  }
  return due;
}

std::size_t
scatter_operation::IndexOf(const service_progress& aService) const
{
  return static_cast<std::size_t>(&aService - mServices.data());
}

void
scatter_operation::GiveUp(service_progress& aService, missing_reason aReason)
{
  aService.mIsDone = true;
  aService.mReason = aReason;
  mIsCanary = false;
  mMissing.push_back({ aService.mService, aReason });
  if (mOnProgress) {
    bool wasAsked = !aService.mTried.empty();
    mFailures.push_back(
      { aService.mService,
        wasAsked ? aService.mTried.back() : server_id{},
        aService.mTried.size() > aService.mRefusedBy.size() });
  }
}

void
scatter_operation::CancelWorkLeft(steady_time aEndedAt)
{
  EndAllSubqueries(aEndedAt);
  // An attempt at a `Run` is not cancelled: its outcome has yet to be recorded.
  if (mKind != request_kind::Run) {
    CancelAllAttempts();
  }
}

void
scatter_operation::CancelAllAttempts()
{
  for (service_progress& service : mServices) {
    CancelAttempts(service);
  }
}

void
scatter_operation::ReportAnswered() const
{
  bool isAnyAnswered = false;
  bool isAnyLost = false;
  for (const service_progress& service : mServices) {
    isAnyAnswered = isAnyAnswered || service.mIsAnswered;
    isAnyLost = isAnyLost || (service.mWasLost && !service.mIsAnswered);
  }
  if (isAnyAnswered && !isAnyLost && mHooks.mOnAnswered) {
    mHooks.mOnAnswered(mFingerprint);
  }
}

void
scatter_operation::Finish(request_context& aRequest)
{
  mIsEnded = true;
  // The caller's response is sent before the work that is left is cancelled.
  asio::post(mExecutor, [self = shared_from_this(), endedAt = mHooks.mNow()] {
    self->CancelWorkLeft(endedAt);
  });
  for (const service_progress& service : mServices) {
    if (service.mIsDone) {
      continue;
    }
    mMissing.push_back({ service.mService, missing_reason::NoResponseInTime });
    if (!service.mInFlight.empty() || service.mSubquery) {
      mMayHaveRun = true;
      mRan = execution_status::Unknown;
    }
  }
  if (mCaller != nullptr) {
    mCaller->mOnDisconnect = nullptr;
  }
  if (mServersBackAt) {
    auto left =
      std::chrono::ceil<milliseconds>(*mServersBackAt - mHooks.mNow());
    aRequest.mServersBackIn =
      RetryAfterPause(std::max(milliseconds(0), left),
                      std::hash<std::string>{}(mRequest.mValue));
  }
  ReportAnswered();
  aRequest.mFailedResponse = std::move(mFailedResponse);
  aRequest.mResponses = std::move(mResponses);
  aRequest.mMissing = std::move(mMissing);
  aRequest.mFailures = std::move(mFailures);
  aRequest.mAttempts += mAttempts;
  aRequest.mHedges += mHedges;
  aRequest.mRetries += mRetries;
  aRequest.mRan = ExecutionStatus(aRequest);
  if (mForwarded != nullptr) {
    return;
  }
  if (mKind == request_kind::Run) {
    if (aRequest.mResponses.empty()) {
      RefuseRun(aRequest);
    }
    return;
  }
  if (mIsQuarantined) {
    aRequest.Refuse(refusal_reason::Quarantined,
                    "The request is quarantined because it crashed servers.");
    return;
  }
  if (mIsSuspect && aRequest.mMissing.empty()) {
    mHooks.mReportHarmless(mFingerprint);
  }
}

execution_status
scatter_operation::ExecutionStatus(const request_context& aRequest) const
{
  if (!IsIdempotent(mKind)) {
    return mRan;
  }
  if (!aRequest.mResponses.empty()) {
    return execution_status::Yes;
  }
  return mMayHaveRun ? execution_status::Unknown : execution_status::No;
}

void
scatter_operation::RefuseRun(request_context& aRequest) const
{
  if (mRan == execution_status::Unknown) {
    aRequest.Refuse(refusal_reason::OutcomeUnknown,
                    "The server's response was lost; the request is not run "
                    "again.");
    return;
  }
  constexpr milliseconds kRetryAfter{ 200 };
  aRequest.Refuse(refusal_reason::NoServer,
                  "No server accepted the request in time.",
                  aRequest.mServersBackIn.value_or(kRetryAfter));
}

}
