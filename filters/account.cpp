#include "filters/account.h"

#include "core/log_event.h"

namespace hibiscusspool {

namespace {

/** Counts of teams that don't exist go together, so that none can be made. */
const team_id kNoTeam{ "-" };

microseconds
Between(steady_time aFrom, steady_time aTo)
{
  return std::chrono::duration_cast<microseconds>(aTo - aFrom);
}

/** The one line that says how a request ended, and by what. */
void
LogEnd(const request_context& aRequest, microseconds aTook)
{
  log_event line("request_ended");
  line.Add("request", aRequest.mRequest.mValue)
    .Add("team", aRequest.mTeam.mValue)
    .Add("kind", NameOf(aRequest.mKind))
    .Add("configuration", aRequest.mConfiguration)
    .Add("took_us", aTook.count())
    .Add("services", aRequest.mServices.size())
    .Add("answers", aRequest.mResponses.size())
    .Add("attempts", aRequest.mAttempts)
    .Add("hedges", aRequest.mHedges)
    .Add("retries", aRequest.mRetries)
    .Add("ran", NameOf(aRequest.mRan));
  for (const missing_service& missing : aRequest.mMissing) {
    line.Add("missing",
             missing.mService.mValue + ":" +
               std::string(NameOf(missing.mReason)));
  }
  if (aRequest.mCaller != nullptr && aRequest.mCaller->mIsDisconnected) {
    line.Add("caller", "left");
  }
  if (!aRequest.mRefusal) {
    line.Add("outcome", "answered");
    if (aRequest.mResponse) {
      line.Add("code", aRequest.mResponse->mStatus);
    }
    return;
  }
  line.Add("outcome", "refused")
    .Add("reason", NameOf(aRequest.mRefusal->mReason))
    .Add("refusal", aRequest.mRefusal->mId)
    .Add("detail", aRequest.mRefusal->mDetail);
}

}

filter
MakeAccount(admission_controller& aAdmission,
            team_stats_controller& aAccounts,
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
    ended.mDuration = Between(aRequest.mReceivedAt, now);
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
    LogEnd(aRequest, ended.mDuration);
    co_return;
  };
  return { filter_name::Account, filter_condition::Always, std::move(run) };
}

}
