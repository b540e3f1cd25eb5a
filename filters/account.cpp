#include "filters/account.h"

#include "core/log_event.h"

namespace hibiscusspool {

namespace {

/** All unknown teams are counted under one name, so that callers can't add
 * teams to the statistics. */
const team_id kUnknownTeam{ "-" };

microseconds
Elapsed(steady_time aFrom, steady_time aTo)
{
  return std::chrono::duration_cast<microseconds>(aTo - aFrom);
}

void
LogRequestEnd(const request_context& aRequest, microseconds aDuration)
{
  log_event line("request_ended");
  line.Add("request", aRequest.mRequest.mValue)
    .Add("team", aRequest.mTeam.mValue)
    .Add("kind", NameOf(aRequest.mKind))
    .Add("configuration", aRequest.mConfiguration)
    .Add("took_us", aDuration.count())
    .Add("services", aRequest.mServices.size())
    .Add("answers", aRequest.mResponses.size())
    .Add("attempts", aRequest.mAttempts)
    .Add("hedges", aRequest.mHedges)
    .Add("retries", aRequest.mRetries)
    .Add("ran", NameOf(aRequest.mRan));
  if (!aRequest.mCallerTeam.IsEmpty()) {
    line.Add("caller_team", aRequest.mCallerTeam.mValue);
  }
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
            team_stats_controller& aTeamStats,
            refusal_controller& aRefusals,
            account_hooks aHooks)
{
  auto hook = [&aAdmission, &aTeamStats, &aRefusals, hooks = std::move(aHooks)](
                request_context& aRequest) -> boost::asio::awaitable<void> {
    steady_time now = hooks.mNow();
    if (aRequest.mIsAdmitted) {
      aAdmission.Release(
        aRequest.mTeam, Elapsed(aRequest.mAdmittedAt, now), now);
    }
    request_result result;
    result.mTeam = aRequest.mHasPolicy ? aRequest.mTeam : kUnknownTeam;
    result.mDuration = Elapsed(aRequest.mReceivedAt, now);
    result.mCoverage = aRequest.mCoverage;
    result.mAttempts = aRequest.mAttempts;
    result.mHedges = aRequest.mHedges;
    result.mRetries = aRequest.mRetries;
    if (aRequest.mRefusal) {
      aRequest.mRefusal->mAt = hooks.mWallNow();
      aRequest.mRefusal = aRefusals.Record(*aRequest.mRefusal);
      result.mIsRefused = true;
      result.mReason = aRequest.mRefusal->mReason;
    }
    aTeamStats.Count(result, aRequest.mPolicy, hooks.mWallNow());
    LogRequestEnd(aRequest, result.mDuration);
    co_return;
  };
  return { filter_name::Account, filter_condition::Always, std::move(hook) };
}

}
