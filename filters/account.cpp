#include "filters/account.h"

namespace hibiscusspool {

namespace {

/** Counts of teams that don't exist go together, so that none can be made. */
const team_id kNoTeam{ "-" };

microseconds
Between(steady_time aFrom, steady_time aTo)
{
  return std::chrono::duration_cast<microseconds>(aTo - aFrom);
}

}

filter
MakeAccount(admission_controller& aAdmission,
            account_controller& aAccounts,
            refusal_controller& aRefusals,
            account_hooks aHooks)
{
  auto run = [&aAdmission, &aAccounts, &aRefusals, hooks = std::move(aHooks)](
               request_context& aRequest) -> boost::asio::awaitable<void> {
    steady_time now = hooks.mNow();
    if (aRequest.mIsAdmitted) {
      aAdmission.Release(
        aRequest.mTeam, Between(aRequest.mAdmittedAt, now), now);
    }
    request_result ended;
    ended.mTeam = aRequest.mHasPolicy ? aRequest.mTeam : kNoTeam;
    ended.mTook = Between(aRequest.mReceivedAt, now);
    ended.mCoverage = aRequest.mCoverage;
    ended.mAttempts = aRequest.mAttempts;
    ended.mHedges = aRequest.mHedges;
    ended.mRetries = aRequest.mRetries;
    if (aRequest.mRefusal) {
      aRequest.mRefusal->mAt = hooks.mWallNow();
      aRequest.mRefusal = aRefusals.Record(*aRequest.mRefusal);
      ended.mIsRefused = true;
      ended.mReason = aRequest.mRefusal->mReason;
    }
    aAccounts.Count(ended, aRequest.mPolicy, hooks.mWallNow());
    co_return;
  };
  return { filter_name::Account, filter_when::Always, std::move(run) };
}

}
