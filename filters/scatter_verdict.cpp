#include "filters/scatter_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Times that servers which refused a forwarded request are asked again. */
constexpr int kMostRefusedRounds = 3;

}

void
scatter_run::Judge(service_progress& aService,
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

void
scatter_run::TakeAnswer(service_progress& aService, attempt_result aAnswer)
{
  aService.mIsDone = true;
  mResponses.push_back({ aService.mService, std::move(aAnswer.mResponse) });
  if (mIsCanary) {
    mIsCanary = false;
    mFingerprints.SetHarmless(mFingerprint);
  }
  Cancel(aService);
}

void
scatter_run::TryElsewhere(service_progress& aService,
                          const attempt_permit& aPermit,
                          attempt_status aStatus)
{
  aService.mExcludedServers.push_back(aPermit.mServer);
  if (!aService.mFlying.empty()) {
    return;
  }
  // A shed costs a server next to nothing; other repeats have a budget.
  bool isCheap = aStatus == attempt_status::NotSent ||
                 aStatus == attempt_status::WrongSnapshot ||
                 (aStatus == attempt_status::Shed && mForwarded == nullptr);
  bool mayTry =
    aStatus == attempt_status::NotSent || MayTryAgain(aService) ||
    (!aService.mRefusedBy.empty() && aService.mShedRounds < kMostRefusedRounds);
  if (!mayTry ||
      (!isCheap && !mBudgets.SpendRetry(aService.mService, mHooks.mNow()))) {
    GiveUp(aService, missing_reason::Failed);
    return;
  }
  aService.mNextReason = attempt_reason::Retry;
  if (!MayTryAgain(aService) && aStatus != attempt_status::NotSent) {
    for (const server_id& server : aService.mRefusedBy) {
      std::erase(aService.mExcludedServers, server);
    }
    aService.mStartAt = mHooks.mNow() + kShedPause * ++aService.mShedRounds;
  }
}

void
scatter_run::JudgeRun(service_progress& aService,
                      const attempt_permit& aPermit,
                      attempt_result aAnswer)
{
  switch (aAnswer.mStatus) {
    case attempt_status::Answered:
      mRan = execution_status::Yes;
      aService.mIsDone = true;
      mResponses.push_back({ aService.mService, std::move(aAnswer.mResponse) });
      return;
    case attempt_status::Shed:
    case attempt_status::NotSent:
      // Proof that it did not run there: another server may be tried.
      TryElsewhere(aService, aPermit, aAnswer.mStatus);
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
    case attempt_status::BadAnswer:
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
  aService.mStartAt = steady_time::max();
  aService.mNextReason = attempt_reason::Retry;
  ++mPendingCrashes;
  asio::co_spawn(
    mExecutor,
    AwaitVerdict(shared_from_this(), PlaceOf(aService.mService), mPlan),
    asio::detached);
}

asio::awaitable<void>
scatter_run::AwaitVerdict(std::shared_ptr<scatter_run> aRun,
                          std::size_t aPlace,
                          int aPlan)
{
  crash_report report;
  report.mFingerprint = aRun->mFingerprint;
  report.mServers = aRun->mCrashedServers;
  report.mDeadline = aRun->mDeadline;
  crash_verdict verdict = co_await aRun->mHooks.mReportCrash(std::move(report));
  --aRun->mPendingCrashes;
  if (verdict == crash_verdict::Quarantined) {
    aRun->mIsQuarantined = true;
  }
  if (aRun->mPlan == aPlan) {
    aRun->mServices[aPlace].mStartAt = steady_time{};
  }
  aRun->mChanged.cancel();
}

}
