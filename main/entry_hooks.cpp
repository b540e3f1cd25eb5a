#include "main/entry_role.h"

#include "core/log_event.h"
#include "main/role_support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kSystemChangeTimeout{ 2000 };
constexpr milliseconds kRecordTimeout{ 5000 };
constexpr milliseconds kRecordPause{ 200 };
constexpr milliseconds kIndexPause{ 5 };
/** Part of the shared budget that is used, so that hosts which just came and
 * are not in view yet fit in. */
constexpr double kBudgetUse = 0.85;
/** A first crash is reported at most this often by one host. */
constexpr milliseconds kCrashReportPause{ 500 };
constexpr milliseconds kCrashReportTimeout{ 200 };

}

request_id
entry_role::NewNumber(std::string_view aKind)
{
  return request_id{ mSelf.mValue + "-" + std::to_string(mIncarnation) + "-" +
                     std::string(aKind) + std::to_string(mNextNumber++) };
}

scatter_hooks
entry_role::ForwardHooks()
{
  scatter_hooks hooks = ScatterHooks();
  hooks.mUsesCanary = false;
  hooks.mHedgePercent = static_cast<int>(mSettings.mEntryMaxHedgeDelayPercent);
  hooks.mIsLeaseValid = [this](steady_time aNow) { return MayServe(aNow); };
  return hooks;
}

std::optional<budget_limits>
entry_role::SharedBudget(steady_time aNow) const
{
  if (mSettings.mEntryExtraWindowS == 0) {
    return std::nullopt;
  }
  budget_limits terms;
  terms.mRatio = mSettings.mEntryExtraRatio * kBudgetUse;
  terms.mWindow = std::chrono::seconds(mSettings.mEntryExtraWindowS);
  // What an earlier run of this host spent in the window is not known, and
  // hosts that are down now may have spent their parts too.
  bool isFirstWindow = aNow - mStartedAt < terms.mWindow;
  terms.mSlack = isFirstWindow ? 0
                               : mSettings.mEntryExtraSlack * kBudgetUse /
                                   static_cast<double>(mCatalog.KnownHosts());
  return terms;
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
  hooks.mPropose = [this](record_change aWish,
                          std::optional<log_index> aVersion,
                          steady_time aDeadline) {
    return mClient.ProposeOne(std::move(aWish), aVersion, aDeadline);
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
  hooks.mSendAttempt = [this](server_request aOrder) {
    return mBackendClient->Attempt(std::move(aOrder));
  };
  hooks.mNewAttemptId = [this] { return NewNumber("a"); };
  hooks.mReportCrash = [this](crash_report aReport) {
    return ReportCrash(std::move(aReport));
  };
  hooks.mReportHarmless = [this](const fingerprint_id& aFingerprint) {
    LiftSuspicion(aFingerprint);
  };
  hooks.mUsesCanary = mSettings.mEntryCanary;
  hooks.mReplan =
    [this](const request_context& aRequest) -> std::optional<snapshot_number> {
    auto plan = ChooseSnapshot(mBackends.Snapshots(aRequest.mServices),
                               aRequest.mPolicy.mMinimumCoverage);
    return plan ? std::optional(plan->mSnapshot) : std::nullopt;
  };
  hooks.mIsLeaseValid = [this](steady_time aNow) {
    return mLease.IsValid(aNow);
  };
  return hooks;
}

quarantine_hooks
entry_role::QuarantineHooks()
{
  return { [this](const fingerprint_id& aFingerprint) {
            return mCatalog.Quarantine(aFingerprint);
          },
           [this](request_context& aRequest) { return AskTrial(aRequest); } };
}

claim_hooks
entry_role::ClaimHooks()
{
  claim_hooks hooks;
  hooks.mNow = SteadyNow;
  hooks.mNewAttemptId = [this] { return NewNumber("c"); };
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
    RecordLater(std::move(aClaim));
  };
  return hooks;
}

void
entry_role::RecordLater(claim_record aClaim)
{
  asio::co_spawn(asio::make_strand(mContext),
                 RecordUntilDone(std::move(aClaim)),
                 asio::detached);
}

asio::awaitable<void>
entry_role::RecordUntilDone(claim_record aClaim)
{
  asio::steady_timer pause(co_await asio::this_coro::executor);
  while (!mIsStopping) {
    auto outcome = co_await mClient.ProposeOne(
      aClaim, std::nullopt, SteadyNow() + kRecordTimeout);
    if (outcome) {
      co_return;
    }
    pause.expires_after(kRecordPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<bool>
entry_role::WaitForIndex(log_index aIndex, steady_time aDeadline)
{
  asio::steady_timer pause(co_await asio::this_coro::executor);
  while (mCatalog.Index() < aIndex) {
    if (SteadyNow() >= aDeadline) {
      co_return false;
    }
    pause.expires_after(kIndexPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
  co_return true;
}

asio::awaitable<crash_verdict>
entry_role::ReportCrash(crash_report aReport)
{
  // When many servers are lost at once, each running request is reset once:
  // those first resets are reported sparingly, a second one always.
  steady_time now = SteadyNow();
  steady_time due{ steady_time::duration(mCrashReportDue.load()) };
  bool isFirst = aReport.mServers.size() < 2;
  if (isFirst && now < due) {
    co_return crash_verdict::TryAgain;
  }
  mCrashReportDue = (now + kCrashReportPause).time_since_epoch().count();
  quarantine_record crash;
  crash.mFingerprint = aReport.mFingerprint;
  crash.mCrashedServers = aReport.mServers;
  log_event("server_reset_request", log_event::severity::Warning)
    .Add("fingerprint", aReport.mFingerprint.mValue)
    .Add("server", aReport.mServers.back().mValue);
  quarantine_record trial;
  trial.mFingerprint = aReport.mFingerprint;
  trial.mTrials = { NewNumber("t").mValue };
  change_command command;
  command.mChanges = { crash, trial };
  // A lost connection is mostly no crash: the repeat must not wait for a
  // group that has no leader just now. This host counts its own crashes.
  steady_time deadline =
    isFirst ? std::min(aReport.mDeadline, now + kCrashReportTimeout)
            : aReport.mDeadline;
  auto outcomes = co_await mClient.Propose(std::move(command), deadline);
  if (!outcomes || outcomes.value().size() != 2) {
    co_return isFirst ? crash_verdict::TryAgain : crash_verdict::Quarantined;
  }
  const change_outcome& verdict = outcomes.value().back();
  if (verdict.mVerdict == change_verdict::Accepted) {
    co_return crash_verdict::TryAgain;
  }
  // The caller is told once this host, and so most others, know it too.
  co_await WaitForIndex(verdict.mIndex, aReport.mDeadline);
  co_return crash_verdict::Quarantined;
}

asio::awaitable<trial_verdict>
entry_role::AskTrial(request_context& aRequest)
{
  auto known = mCatalog.Quarantine(aRequest.mFingerprint);
  constexpr std::size_t kMostCrashes = 2;
  if (known && known->mCrashedServers.size() >= kMostCrashes) {
    co_return trial_verdict::Refused;
  }
  quarantine_record trial;
  trial.mFingerprint = aRequest.mFingerprint;
  trial.mTrials = { NewNumber("t").mValue };
  auto outcome =
    co_await mClient.ProposeOne(trial, std::nullopt, aRequest.mDeadline);
  if (!outcome) {
    co_return trial_verdict::Unavailable;
  }
  bool isAllowed = outcome->mVerdict == change_verdict::Accepted;
  co_return isAllowed ? trial_verdict::Allowed : trial_verdict::Refused;
}

void
entry_role::LiftSuspicion(const fingerprint_id& aFingerprint)
{
  if (!mCatalog.Quarantine(aFingerprint)) {
    return;
  }
  record_removal lift{ record_kind::Quarantine, aFingerprint.mValue };
  asio::co_spawn(
    asio::make_strand(mContext),
    [this, lift]() -> asio::awaitable<void> {
      co_await mClient.ProposeOne(
        lift, std::nullopt, SteadyNow() + kSystemChangeTimeout);
    },
    asio::detached);
}

void
entry_role::NoteColdServer(const server_id& aServer)
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
  asio::co_spawn(
    asio::make_strand(mContext),
    [this, cold, version]() -> asio::awaitable<void> {
      co_await mClient.ProposeOne(
        cold, version, SteadyNow() + kSystemChangeTimeout);
    },
    asio::detached);
}

}
