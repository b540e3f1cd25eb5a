#include "filters/scatter_run.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr int kMostReplans = 3;
constexpr int kWhole = 100;

}

scatter_run::scatter_run(backend_controller& aBackends,
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
  , mSoftDeadline(aRequest.mSoftDeadline)
  , mForwarded(aRequest.mForwarded)
  , mCaller(aRequest.mCaller)
  , mIsMerged(aRequest.mIsMerged)
  , mMaxAttempts(aRequest.mMaxAttempts)
  , mNeeded(NeededServices(aRequest.mServices.size(),
                           aRequest.mPolicy.mMinimumCoverage))
  , mSnapshot(aRequest.mSnapshot)
  , mIsSuspect(aRequest.mIsTrial)
  , mOnLateResponse(aRequest.mOnLateResponse)
{
  SetServices(aRequest.mServices);
  if (aRequest.mSoftDeadline < aRequest.mDeadline) {
    auto allowed = std::chrono::duration_cast<microseconds>(
      aRequest.mSoftDeadline - aRequest.mReceivedAt);
    mHedgeCap = allowed * mHooks.mHedgePercent / kWhole;
  }
}

asio::awaitable<void>
scatter_run::Run(request_context& aRequest)
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

void
scatter_run::WatchCaller()
{
  if (mCaller == nullptr) {
    return;
  }
  mCaller->mOnDisconnect = [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->mChanged.cancel();
    }
  };
}

bool
scatter_run::IsAbandoned() const
{
  return mCaller != nullptr && mCaller->mIsDisconnected;
}

bool
scatter_run::IsGoodEnough(steady_time aNow) const
{
  return mIsMerged && aNow >= mSoftDeadline && !mResponses.empty() &&
         mResponses.size() >= mNeeded;
}

void
scatter_run::SetServices(const std::vector<service_id>& aServices)
{
  mServices.clear();
  for (const service_id& service : aServices) {
    service_progress progress;
    progress.mService = service;
    mServices.push_back(std::move(progress));
  }
}

bool
scatter_run::IsFinished() const
{
  return mPendingCrashes == 0 &&
         std::all_of(mServices.begin(),
                     mServices.end(),
                     [](const auto& aService) { return aService.mIsDone; });
}

void
scatter_run::Replan(request_context& aRequest)
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
  mResponses.clear();
  mMissing.clear();
  SetServices(aRequest.mServices);
}

void
scatter_run::StartWhatIsDue(steady_time aNow)
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

void
scatter_run::Hedge(service_progress& aService, steady_time aNow)
{
  bool mayHedge = IsIdempotent(mKind) && !aService.mWasHedged &&
                  aService.mFlying.size() == 1 && MayTryAgain(aService);
  if (!mayHedge || !mBudgets.SpendHedge(aService.mService, aNow)) {
    return;
  }
  aService.mWasHedged = true;
  StartAttempt(aService, attempt_reason::Hedge, aNow);
}

bool
scatter_run::MayTryAgain(const service_progress& aService) const
{
  return aService.mTried.size() < mMaxAttempts;
}

steady_time
scatter_run::NextDue(steady_time aNow) const
{
  steady_time due = mDeadline;
  if (mIsMerged && mSoftDeadline > aNow && mResponses.size() >= mNeeded) {
    due = std::min(due, mSoftDeadline);
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

std::size_t
scatter_run::PlaceOf(const service_id& aService) const
{
  auto found = std::find_if(
    mServices.begin(), mServices.end(), [&](const auto& aProgress) {
      return aProgress.mService == aService;
    });
  return static_cast<std::size_t>(found - mServices.begin());
}

void
scatter_run::GiveUp(service_progress& aService, missing_reason aReason)
{
  aService.mIsDone = true;
  aService.mReason = aReason;
  mIsCanary = false;
  mMissing.push_back({ aService.mService, aReason });
}

void
scatter_run::CancelAll()
{
  for (service_progress& service : mServices) {
    Cancel(service);
  }
}

void
scatter_run::End(request_context& aRequest)
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
      mRan = execution_status::Unknown;
    }
  }
  if (mCaller != nullptr) {
    mCaller->mOnDisconnect = nullptr;
  }
  aRequest.mFailedResponse = std::move(mFailedResponse);
  aRequest.mResponses = std::move(mResponses);
  aRequest.mMissing = std::move(mMissing);
  aRequest.mAttempts += mAttempts;
  aRequest.mHedges += mHedges;
  aRequest.mRetries += mRetries;
  aRequest.mRan = RanOf(aRequest);
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
                    "The request crashed servers.");
    return;
  }
  if (mIsSuspect && aRequest.mMissing.empty()) {
    mHooks.mReportHarmless(mFingerprint);
  }
}

execution_status
scatter_run::RanOf(const request_context& aRequest) const
{
  if (!IsIdempotent(mKind)) {
    return mRan;
  }
  if (!aRequest.mResponses.empty()) {
    return execution_status::Yes;
  }
  return mWasSent ? execution_status::Unknown : execution_status::No;
}

void
scatter_run::RefuseRun(request_context& aRequest) const
{
  if (mRan == execution_status::Unknown) {
    aRequest.Refuse(refusal_reason::OutcomeUnknown,
                    "The server's answer was lost; it is not run again.");
    return;
  }
  constexpr milliseconds kRetryAfter{ 200 };
  aRequest.Refuse(refusal_reason::NoServer,
                  "No server took the request in time.",
                  kRetryAfter);
}

}
