#include "filters/scatter_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Maximum rounds in which servers that refused a forwarded request are tried
 * again. */
constexpr int kMaxForwardRefusalRounds = 3;

}

void
scatter_run::HandleResult(service_progress& aService,
                          const attempt_permit& aPermit,
                          attempt_result aResult)
{
  if (!IsIdempotent(mKind)) {
    HandleRunResult(aService, aPermit, std::move(aResult));
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
    case attempt_status::BadResponse:
    case attempt_status::Failed:
    case attempt_status::TimedOut:
    case attempt_status::Cancelled:
      RetryOrGiveUp(aService, aPermit, aResult.mStatus);
      return;
  }
}

void
scatter_run::AcceptResponse(service_progress& aService, attempt_result aResult)
{
  aService.mIsDone = true;
  mResponses.push_back({ aService.mService, std::move(aResult.mResponse) });
  if (mIsCanary) {
    mIsCanary = false;
    mFingerprints.SetHarmless(mFingerprint);
  }
  CancelAttempts(aService);
}

void
scatter_run::RetryOrGiveUp(service_progress& aService,
                           const attempt_permit& aPermit,
                           attempt_status aStatus)
{
  aService.mExcludedServers.push_back(aPermit.mServer);
  if (!aService.mInFlight.empty()) {
    return;
  }
  // A shed request costs a server almost nothing; other retries are budgeted.
  bool needsNoBudget =
    aStatus == attempt_status::NotSent ||
    aStatus == attempt_status::WrongSnapshot ||
    (aStatus == attempt_status::Shed && mForwarded == nullptr);
  bool mayRetry = aStatus == attempt_status::NotSent ||
                  MayTryAnotherServer(aService) ||
                  (!aService.mRefusedBy.empty() &&
                   aService.mRefusalRounds < kMaxForwardRefusalRounds);
  if (!mayRetry || (!needsNoBudget &&
                    !mBudgets.SpendRetry(aService.mService, mHooks.mNow()))) {
    GiveUp(aService, missing_reason::Failed);
    return;
  }
  aService.mNextReason = attempt_reason::Retry;
  if (!MayTryAnotherServer(aService) && aStatus != attempt_status::NotSent) {
    for (const server_id& server : aService.mRefusedBy) {
      std::erase(aService.mExcludedServers, server);
    }
    aService.mNextAttemptAt =
      mHooks.mNow() + kRefusalBackoff * ++aService.mRefusalRounds;
  }
}

void
scatter_run::HandleRunResult(service_progress& aService,
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
      // It certainly did not run there, so another server may be tried.
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
scatter_run::ReportCrash(const attempt_permit& aPermit,
                         service_progress& aService)
{
  mFingerprints.SetHarmful(mFingerprint);
  mIsSuspect = true;
  mCrashedServers.push_back(aPermit.mServer);
  aService.mExcludedServers.push_back(aPermit.mServer);
  aService.mNextAttemptAt = steady_time::max();
  aService.mNextReason = attempt_reason::Retry;
  ++mPendingCrashReports;
  asio::co_spawn(mExecutor,
                 AwaitCrashVerdict(
                   shared_from_this(), IndexOf(aService.mService), mPlanNumber),
                 asio::detached);
}

asio::awaitable<void>
scatter_run::AwaitCrashVerdict(std::shared_ptr<scatter_run> aRun,
                               std::size_t aIndex,
                               int aPlanNumber)
{
  crash_report report;
  report.mFingerprint = aRun->mFingerprint;
  report.mServers = aRun->mCrashedServers;
  report.mDeadline = aRun->mDeadline;
  crash_verdict verdict = co_await aRun->mHooks.mReportCrash(std::move(report));
  --aRun->mPendingCrashReports;
  if (verdict == crash_verdict::Quarantined) {
    aRun->mIsQuarantined = true;
  }
  if (aRun->mPlanNumber == aPlanNumber) {
    aRun->mServices[aIndex].mNextAttemptAt = steady_time{};
  }
  aRun->mWakeTimer.cancel();
}

}
