#include "main/entry_role.h"

#include "core/background_task.h"
#include "core/log_event.h"
#include "main/role_support.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Time limit for a change that this host proposes itself. */
constexpr milliseconds kSystemChangeTimeout{ 2000 };
/** Time limit for one try to record the outcome of a claim. */
constexpr milliseconds kRecordTimeout{ 5000 };
constexpr milliseconds kRecordRetryDelay{ 200 };
constexpr milliseconds kIndexPollInterval{ 5 };
/** Fraction of the shared budget that is used; the rest is left for new hosts
 * that are not known here yet. */
constexpr double kBudgetFraction = 0.85;
/** Minimum interval between this host's reports of requests that lost their
 * connection to one server only. */
constexpr milliseconds kCrashReportInterval{ 500 };
constexpr milliseconds kCrashReportTimeout{ 200 };

}

request_id
entry_role::NewId(std::string_view aKind)
{
  return request_id{ mSelf.mValue + "-" + std::to_string(mIncarnation) + "-" +
                     std::string(aKind) + std::to_string(mNextId++) };
}

caller_key_hooks
entry_role::CallerKeyHooks() const
{
  caller_key_hooks hooks;
  hooks.mConfirmedAge = [this](steady_time aNow) {
    return mLease.ConfirmedAge(aNow);
  };
  hooks.mRoutes = [this] { return mCatalog.Routes(); };
  return hooks;
}

authenticate_hooks
entry_role::AuthenticateHooks()
{
  authenticate_hooks hooks;
  hooks.mNow = SteadyNow;
  hooks.mRoutes = [this] { return mCatalog.Routes(); };
  hooks.mAreRoutesConfirmed = [this](steady_time aNow) {
    return mLease.IsValid(aNow);
  };
  hooks.mFields = mCallerFields;
  return hooks;
}

scatter_hooks
entry_role::ForwardHooks()
{
  scatter_hooks hooks = ScatterHooks();
  hooks.mUsesCanary = false;
  hooks.mSubqueries = SubqueryHooks();
  hooks.mOnPartTime = [this](const team_id& aTeam, microseconds aTime) {
    mPartTimes.Add(aTeam, aTime);
  };
  hooks.mSlowPart = [this](const team_id& aTeam) {
    return mPartTimes.SlowThreshold(aTeam);
  };
  hooks.mOnLost = [this](const fingerprint_id& aFingerprint,
                         const attempt_permit& aPermit) {
    mCrashes.OnLost(aFingerprint,
                    { aPermit.mServer, aPermit.mIncarnation },
                    aPermit.mAddress,
                    SteadyNow());
  };
  hooks.mOnAnswered = [this](const fingerprint_id& aFingerprint) {
    OnForwardAnswered(aFingerprint);
  };
  hooks.mHedgePercent = static_cast<int>(mSettings.mEntryMaxHedgeDelayPercent);
  hooks.mIsLeaseValid = [this](steady_time aNow) { return MayForward(aNow); };
  if (mSettings.mEntryAdmitByRank) {
    hooks.mOnAttempt = [this](const service_id& aService,
                              const team_id& aTeam,
                              overload_attempt aAttempt) {
      mOverload.OnAttempt(aService, aTeam, aAttempt, SteadyNow());
    };
  }
  return hooks;
}

admit_hooks
entry_role::ForwardAdmitHooks()
{
  admit_hooks hooks;
  hooks.mNow = SteadyNow;
  hooks.mServingHosts = [this] { return mCatalog.ServingHosts(); };
  hooks.mIsLeaseValid = [this](steady_time aNow) { return MayForward(aNow); };
  if (mSettings.mEntryAdmitByRank) {
    hooks.mCheckOverload = [this](const request_context& aRequest,
                                  steady_time aNow) {
      return mOverload.Submit(
        ToOverloadRequest(aRequest), aRequest.mRequest, aNow);
    };
  }
  return hooks;
}

std::optional<budget_limits>
entry_role::SharedBudget(steady_time aNow) const
{
  if (mSettings.mEntryExtraWindowS == 0) {
    return std::nullopt;
  }
  budget_limits limits;
  limits.mRatio = mSettings.mEntryExtraRatio * kBudgetFraction;
  limits.mWindow = std::chrono::seconds(mSettings.mEntryExtraWindowS);
  // An earlier incarnation of this host may have spent an unknown amount in
  // the window. Hosts that are down are counted, since they may have spent
  // their parts too.
  bool isFirstWindow = aNow - mStartedAt < limits.mWindow;
  limits.mSlack = isFirstWindow
                    ? 0
                    : mSettings.mEntryExtraSlack * kBudgetFraction /
                        static_cast<double>(mCatalog.KnownHostCount());
  return limits;
}

server_lease_hooks
entry_role::ServerLeaseHooks()
{
  server_lease_hooks hooks;
  hooks.mNow = SteadyNow;
  hooks.mMayHoldLeases = [this](steady_time aNow) {
    return mLease.IsValid(aNow);
  };
  hooks.mFindServer = [this](const server_id& aServer) {
    return mBackends.FindServer(aServer);
  };
  hooks.mLeasedServers = [this] { return mBackends.LeasedServers(); };
  hooks.mPropose = [this](record_change aChange,
                          std::optional<log_index> aVersion,
                          steady_time aDeadline) {
    return mClient.ProposeOne(std::move(aChange), aVersion, aDeadline);
  };
  hooks.mWaitForIndex = [this](log_index aIndex, steady_time aDeadline) {
    return WaitForIndex(aIndex, aDeadline);
  };
  return hooks;
}

scatter_hooks
entry_role::ScatterHooks()
{
  scatter_hooks hooks;
  hooks.mNow = SteadyNow;
  hooks.mSendAttempt = [this](server_request aRequest) {
    return mBackendClient->SendAttempt(std::move(aRequest));
  };
  hooks.mNewAttemptId = [this] { return NewId("a"); };
  hooks.mReportCrash = [this](crash_report aReport) {
    return ReportCrash(std::move(aReport));
  };
  hooks.mReportHarmless = [this](const fingerprint_id& aFingerprint) {
    RemoveQuarantine(aFingerprint);
  };
  hooks.mUsesCanary = mSettings.mEntryCanary;
  hooks.mReplan =
    [this](const request_context& aRequest) -> std::optional<snapshot_number> {
    auto plan = ChooseSnapshot(mBackends.Snapshots(aRequest.mServices.List()),
                               aRequest.mPolicy.mMinimumCoverage);
    return plan ? std::optional(plan->mSnapshot) : std::nullopt;
  };
  hooks.mIsLeaseValid = [this](steady_time aNow) {
    return mLease.IsValid(aNow);
  };
  hooks.mIsConfirmed = hooks.mIsLeaseValid;
  return hooks;
}

quarantine_hooks
entry_role::QuarantineHooks()
{
  quarantine_hooks hooks;
  hooks.mFindRecord = [this](const fingerprint_id& aFingerprint) {
    return mCatalog.Quarantine(aFingerprint);
  };
  hooks.mRequestTrial = [this](request_context& aRequest) {
    return RequestTrial(aRequest);
  };
  return hooks;
}

claim_hooks
entry_role::ClaimHooks()
{
  claim_hooks hooks;
  hooks.mNow = SteadyNow;
  hooks.mNewAttemptId = [this] { return NewId("c"); };
  hooks.mMakeClaim = [this](const request_context& aRequest) {
    claim_record claim;
    claim.mTeam = aRequest.mTeam;
    claim.mKey = aRequest.mKey;
    claim.mFingerprint = aRequest.mFingerprint;
    claim.mAttempt = aRequest.mClaimAttempt;
    claim.mOwner = mSelf;
    claim.mOwnerIncarnation = mIncarnation;
    return claim;
  };
  hooks.mPropose = [this](claim_record aClaim, steady_time aDeadline) {
    return mClient.ProposeOne(std::move(aClaim), std::nullopt, aDeadline);
  };
  hooks.mRecordInBackground = [this](claim_record aClaim) {
    RecordInBackground(std::move(aClaim));
  };
  return hooks;
}

void
entry_role::RecordInBackground(claim_record aClaim)
{
  RunInBackground(asio::make_strand(mContext),
                  "record_claim",
                  RecordWithRetries(std::move(aClaim)));
}

asio::awaitable<void>
entry_role::RecordWithRetries(claim_record aClaim)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!mIsStopping) {
    auto outcome = co_await mClient.ProposeOne(
      aClaim, std::nullopt, SteadyNow() + kRecordTimeout);
    if (outcome) {
      co_return;
    }
    timer.expires_after(kRecordRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<bool>
entry_role::WaitForIndex(log_index aIndex, steady_time aDeadline)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (mCatalog.Index() < aIndex) {
    if (SteadyNow() >= aDeadline) {
      co_return false;
    }
    timer.expires_after(kIndexPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return true;
}

asio::awaitable<crash_verdict>
entry_role::ReportCrash(crash_report aReport)
{
  // When many servers fail at once, each running request loses one connection,
  // so reports of a request's first lost connection are rate-limited. A second
  // one is always reported.
  steady_time now = SteadyNow();
  steady_time due{ steady_time::duration(mNextCrashReportAt.load()) };
  bool isFirstReset = aReport.mServers.size() < 2;
  if (isFirstReset && now < due) {
    co_return crash_verdict::TryAgain;
  }
  mNextCrashReportAt = (now + kCrashReportInterval).time_since_epoch().count();
  quarantine_record crash;
  crash.mFingerprint = aReport.mFingerprint;
  crash.mCrashedServers = aReport.mServers;
  log_event("server_reset_request", log_event::severity::Warning)
    .Add("fingerprint", aReport.mFingerprint.mValue)
    .Add("server", aReport.mServers.back().mValue);
  quarantine_record trial;
  trial.mFingerprint = aReport.mFingerprint;
  trial.mTrials = { NewId("t").mValue };
  change_command command;
  command.mChanges = { crash, trial };
  // Most lost connections are not caused by the request, so the retry after a
  // first one must not wait long for a control group without a leader. This
  // host keeps its own count of the servers that the request crashed.
  steady_time deadline =
    isFirstReset ? std::min(aReport.mDeadline, now + kCrashReportTimeout)
                 : aReport.mDeadline;
  auto outcomes = co_await mClient.Propose(std::move(command), deadline);
  if (!outcomes || outcomes.value().size() != 2) {
    co_return isFirstReset ? crash_verdict::TryAgain
                           : crash_verdict::Quarantined;
  }
  const change_outcome& verdict = outcomes.value().back();
  if (verdict.mVerdict == change_verdict::Accepted) {
    co_return crash_verdict::TryAgain;
  }
  // Return once this host has applied the quarantine; by then most other hosts
  // have too.
  co_await WaitForIndex(verdict.mIndex, aReport.mDeadline);
  co_return crash_verdict::Quarantined;
}

asio::awaitable<trial_verdict>
entry_role::RequestTrial(request_context& aRequest)
{
  auto quarantine = mCatalog.Quarantine(aRequest.mFingerprint);
  constexpr std::size_t kMaxCrashes = 2;
  if (quarantine && quarantine->mCrashedServers.size() >= kMaxCrashes) {
    co_return trial_verdict::Refused;
  }
  quarantine_record trial;
  trial.mFingerprint = aRequest.mFingerprint;
  trial.mTrials = { NewId("t").mValue };
  auto outcome =
    co_await mClient.ProposeOne(trial, std::nullopt, aRequest.mDeadline);
  if (!outcome) {
    co_return trial_verdict::Unavailable;
  }
  bool isAllowed = outcome->mVerdict == change_verdict::Accepted;
  co_return isAllowed ? trial_verdict::Allowed : trial_verdict::Refused;
}

void
entry_role::RemoveQuarantine(const fingerprint_id& aFingerprint)
{
  if (!mCatalog.Quarantine(aFingerprint)) {
    return;
  }
  record_removal removal{ record_kind::Quarantine, aFingerprint.mValue };
  RunInBackground(asio::make_strand(mContext),
                  "lift_quarantine",
                  ProposeOnce(std::move(removal), std::nullopt));
}

void
entry_role::MarkServerCold(const server_id& aServer)
{
  auto record = mBackends.FindServer(aServer);
  if (!record || record->mState != server_state::Ready) {
    return;
  }
  log_event("server_looks_cold", log_event::severity::Warning)
    .Add("server", aServer.mValue);
  server_record cold = *record;
  log_index version = cold.mVersion;
  cold.mColdEpoch = version;
  RunInBackground(asio::make_strand(mContext),
                  "mark_cold",
                  ProposeOnce(std::move(cold), version));
}

asio::awaitable<void>
entry_role::ProposeOnce(record_change aChange,
                        std::optional<log_index> aVersion)
{
  co_await mClient.ProposeOne(
    std::move(aChange), aVersion, SteadyNow() + kSystemChangeTimeout);
}

}
