#include "core/background_task.h"
#include "filters/scatter_operation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Maximum rounds in which servers that refused a forwarded request are tried
 * again. */
constexpr int kMaxForwardRefusalRounds = 3;

}

void
scatter_operation::HandleResult(service_progress& aService,
                                const attempt_permit& aPermit,
                                attempt_result aResult)
{
  if (!IsIdempotent(mKind)) {
    HandleNonIdempotentResult(aService, aPermit, std::move(aResult));
    return;
  }
  switch (aResult.mStatus) {
    case attempt_status::Answered:
      AcceptResponse(aService, std::move(aResult));
      return;
    case attempt_status::Reset:
      if (mForwarded != nullptr) {
        RetryOrGiveUp(aService, aPermit, aResult.mStatus);
        return;
      }
      ReportCrash(aPermit, aService);
      return;
    case attempt_status::WrongSnapshot:
    case attempt_status::Shed:
    case attempt_status::NotSent:
    case attempt_status::Withdrawn:
    case attempt_status::BadResponse:
    case attempt_status::Failed:
    case attempt_status::TimedOut:
    case attempt_status::Cancelled:
      RetryOrGiveUp(aService, aPermit, aResult.mStatus);
      return;
  }
}

void
scatter_operation::AcceptResponse(service_progress& aService,
                                  attempt_result aResult)
{
  aService.mIsDone = true;
  mResponses.push_back({ aService.mService, std::move(aResult.mResponse) });
  if (mHasReported) {
    ReportPart();
  }
  if (mIsCanary) {
    mIsCanary = false;
    mFingerprints.SetHarmless(mFingerprint, mHooks.mNow());
  }
  CancelAttempts(aService);
}

void
scatter_operation::RetryOrGiveUp(service_progress& aService,
                                 const attempt_permit& aPermit,
                                 attempt_status aStatus)
{
  aService.mExcludedServers.push_back(aPermit.mServer);
  if (!aService.mInFlight.empty() || aService.mSubquery) {
    return;
  }
  // A retry needs no budget if the failed attempt cost the server almost
  // nothing. For forwarded requests, a refusal counts as an ordinary failure.
  bool wasNeverSent = WasNeverSent(aStatus);
  bool needsNoBudget =
    wasNeverSent || aStatus == attempt_status::WrongSnapshot ||
    (aStatus == attempt_status::Shed && mForwarded == nullptr);
  bool mayRetry = wasNeverSent || MayTryAnotherServer(aService) ||
                  (!mOnProgress && !aService.mRefusedBy.empty() &&
                   aService.mRefusalRounds < kMaxForwardRefusalRounds);
  if (!mayRetry || (!needsNoBudget &&
                    !mBudgets.SpendRetry(aService.mService, mHooks.mNow()))) {
    GiveUp(aService, missing_reason::Failed);
    return;
  }
  aService.mNextReason = attempt_reason::Retry;
  if (!MayTryAnotherServer(aService) && !wasNeverSent) {
    for (const server_id& server : aService.mRefusedBy) {
      std::erase(aService.mExcludedServers, server);
    }
    aService.mNextAttemptAt =
      mHooks.mNow() + kRefusalBackoff * ++aService.mRefusalRounds;
  }
}

void
scatter_operation::HandleNonIdempotentResult(service_progress& aService,
                                             const attempt_permit& aPermit,
                                             attempt_result aResult)
{
  switch (aResult.mStatus) {
    case attempt_status::Answered:
      mRan = execution_status::Yes;
      aService.mIsDone = true;
      mResponses.push_back({ aService.mService, std::move(aResult.mResponse) });
      return;
    case attempt_status::Shed:
    case attempt_status::NotSent:
    case attempt_status::Withdrawn:
      // The request certainly did not run there, so another server may get it.
      RetryOrGiveUp(aService, aPermit, aResult.mStatus);
      return;
    case attempt_status::Reset:
      mRan = execution_status::Unknown;
      if (mForwarded == nullptr) {
        ReportCrash(aPermit, aService);
      }
      GiveUp(aService, missing_reason::Failed);
      return;
    case attempt_status::TimedOut:
    case attempt_status::Cancelled:
    case attempt_status::WrongSnapshot:
    case attempt_status::BadResponse:
    case attempt_status::Failed:
      mRan = execution_status::Unknown;
      GiveUp(aService, missing_reason::Failed);
      return;
  }
}

void
scatter_operation::ReportCrash(const attempt_permit& aPermit,
                               service_progress& aService)
{
  mFingerprints.SetHarmful(mFingerprint);
  mIsSuspect = true;
  mCrashedServers.push_back(aPermit.mServer);
  aService.mExcludedServers.push_back(aPermit.mServer);
  aService.mNextAttemptAt = steady_time::max();
  aService.mNextReason = attempt_reason::Retry;
  ++mPendingCrashReports;
  asio::co_spawn(
    mExecutor,
    AwaitCrashVerdict(shared_from_this(), IndexOf(aService), mPlanNumber),
    failure_reporter{ "crash_report" });
}

asio::awaitable<void>
scatter_operation::AwaitCrashVerdict(
  std::shared_ptr<scatter_operation> aOperation,
  std::size_t aIndex,
  int aPlanNumber)
{
  crash_report report;
  report.mFingerprint = aOperation->mFingerprint;
  report.mServers = aOperation->mCrashedServers;
  report.mDeadline = aOperation->mDeadline;
  crash_verdict verdict =
    co_await aOperation->mHooks.mReportCrash(std::move(report));
  --aOperation->mPendingCrashReports;
  if (verdict == crash_verdict::Quarantined) {
    aOperation->mIsQuarantined = true;
  }
  if (aOperation->mPlanNumber == aPlanNumber) {
    aOperation->mServices[aIndex].mNextAttemptAt = steady_time{};
  }
  aOperation->Wake();
}

}
