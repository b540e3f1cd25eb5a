#include "main/entry_role.h"

#include "core/log_event.h"
#include "decisions/membership.h"
#include "drivers/access_token.h"
#include "drivers/callers_front.h"
#include "drivers/metrics_page.h"
#include "filters/account.h"
#include "filters/admit.h"
#include "filters/confirm.h"
#include "filters/deliver.h"
#include "filters/gather.h"
#include "filters/identify.h"
#include "filters/plan.h"
#include "filters/route.h"
#include "main/periodic.h"
#include "main/role_support.h"
#include "messages/account_json.h"
#include "platform/clients_front.h"
#include "platform/directory_front.h"
#include "platform/server_dialect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <thread>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kTendPause{ 250 };
constexpr milliseconds kShipPause{ 500 };
constexpr milliseconds kSystemChangeTimeout{ 2000 };
constexpr milliseconds kRecordTimeout{ 5000 };
constexpr milliseconds kRecordPause{ 200 };
constexpr milliseconds kIndexPause{ 5 };
/** Longest wait for sockets to go at the end of a stop. */
constexpr milliseconds kCloseTime{ 3000 };
/** Before a stop's grace time ends, so much is kept for running requests. */
constexpr milliseconds kStopRunning{ 3300 };
/** Before a stop's grace time ends, so much is kept for going itself. */
constexpr milliseconds kStopClosing{ 900 };
/** How long requests that are given up at a stop may take to say so. */
constexpr milliseconds kGiveUpTime{ 300 };
/** Part of the shared budget that is used, so that hosts which just came and
 * are not in view yet fit in. */
constexpr double kBudgetUse = 0.85;
/** A first crash is reported at most this often by one host. */
constexpr milliseconds kCrashReportPause{ 500 };
constexpr milliseconds kCrashReportTimeout{ 200 };
constexpr std::size_t kMostInBatch = 1000;
constexpr std::size_t kHarmlessKept = 100'000;
/** Disk hosts that must have a refusal before it is forgotten here. */
constexpr std::size_t kRefusalCopies = 2;
constexpr double kPercent = 0.01;

/**
 * Time until a gained share may be used: a lease, the longest wait, and one
 * part in a hundred for clocks that run apart.
 */
milliseconds
HandOverTime(const settings& aSettings)
{
  if (!aSettings.mEntryHandsSharesOver) {
    return milliseconds(0);
  }
  milliseconds sum(aSettings.mEntryLeaseMs + aSettings.mEntryLongestWaitMs);
  return sum + sum / 100;
}

backend_config
ToBackendConfig(const settings& aSettings)
{
  backend_config config;
  config.mSelf.mValue = aSettings.mHostId;
  config.mFailureDomain.mValue = aSettings.mHostFailureDomain;
  config.mHandOver = HandOverTime(aSettings);
  config.mRamp = milliseconds(aSettings.mEntryRampMs);
  config.mDomainDistance = microseconds(aSettings.mEntryDomainDistanceUs);
  config.mFailureCost = microseconds(aSettings.mEntryFailureCostUs);
  config.mConnectCost = microseconds(aSettings.mEntryConnectCostUs);
  config.mSlowQuantile =
    static_cast<double>(aSettings.mEntryHedgeQuantile) * kPercent;
  config.mColdAfterRefusals =
    static_cast<std::uint32_t>(aSettings.mEntryColdAfterRefusals);
  config.mSuspendsFailing = aSettings.mEntrySuspendFailing;
  config.mSeed = std::random_device{}();
  return config;
}

}

entry_role::entry_role(asio::io_context& aContext,
                       settings aSettings,
                       incarnation_number aIncarnation,
                       control_client aClient)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mSelf{ mSettings.mHostId }
  , mIncarnation(aIncarnation)
  , mClient(std::move(aClient))
  , mWorkers(
      worker_pool::Create(static_cast<std::size_t>(mSettings.mEntryThreads)))
  , mLease(milliseconds(mSettings.mEntryLeaseMs))
  , mBackends(ToBackendConfig(mSettings),
              backend_hooks{
                [this](const std::vector<connection_id>& aConnections) {
                  mBackendClient->Close(aConnections);
                },
                [this](const server_id& aServer) { NoteColdServer(aServer); } })
  , mCatalog(mSelf, mBackends)
  , mAdmission(static_cast<std::uint32_t>(mSettings.mEntryHostLimit))
  , mBudgets(static_cast<double>(mSettings.mEntryHedgePercent) * kPercent,
             static_cast<double>(mSettings.mEntryRetryPercent) * kPercent,
             { [this](steady_time aNow) { return SharedBudget(aNow); } })
  , mFingerprints(kHarmlessKept)
  , mRefusals(mSelf,
              mIncarnation,
              static_cast<std::size_t>(mSettings.mEntryRefusalsKept))
  , mSponsor(mSelf, milliseconds(mSettings.mEntryLapseMs), SponsorHooks())
{
}

result<std::unique_ptr<entry_role>, role_error>
entry_role::Create(asio::io_context& aContext, const settings& aSettings)
{
  auto client =
    control_client::Create(aContext.get_executor(), ControlHosts(aSettings));
  if (!client) {
    return Fail(role_error::BadSettings, client.error().mDetail);
  }
  auto incarnation = NewIncarnation();
  std::unique_ptr<entry_role> role(new entry_role(
    aContext, aSettings, incarnation, std::move(client.value())));
  role->SetUpBackendClient();
  role->SetUpChain();
  role->SetUpForwardChain();
  auto fronts = role->SetUpFronts();
  if (!fronts) {
    return fronts.error();
  }
  auto platformFronts = role->SetUpPlatform();
  if (!platformFronts) {
    return platformFronts.error();
  }
  role->SetUpWatch();
  role->StartLoops();
  return role;
}

void
entry_role::SetUpBackendClient()
{
  backend_client_config config;
  config.mForwardDialect = platform::MakeServerDialect();
  config.mAnswerBytes = static_cast<std::size_t>(mSettings.mEntryAnswerBytes);
  config.mIdleProbe = milliseconds(mSettings.mEntryIdleProbeMs);
  backend_client_hooks hooks;
  hooks.mBorrow = [this](const server_id& aServer) {
    return mBackends.BorrowIdle(aServer);
  };
  hooks.mReturn = [this](const server_id& aServer, connection_id aNumber) {
    mBackends.ReturnIdle(aServer, aNumber);
  };
  hooks.mLost = [this](const server_id& aServer) {
    mBackends.LoseBorrowed(aServer);
  };
  mBackendClient = std::make_unique<backend_client>(
    backend_client::Create(mContext, config, std::move(hooks)));
}

request_id
entry_role::NewNumber(std::string_view aKind)
{
  return request_id{ mSelf.mValue + "-" + std::to_string(mIncarnation) + "-" +
                     std::string(aKind) + std::to_string(mNextNumber++) };
}

void
entry_role::SetUpChain()
{
  auto isConfirmed = [this](steady_time aNow) {
    return mLease.IsConfirmed(aNow);
  };
  filter_chain chain{
    MakeIdentify(
      { [this](const team_id& aTeam) { return mCatalog.Team(aTeam); },
        [this] { return NewNumber("r"); } }),
    MakeConfirm({ SteadyNow, isConfirmed }),
    MakeAdmit(
      mAdmission,
      { SteadyNow, [this] { return mCatalog.ServingHosts(); }, isConfirmed }),
    MakeQuarantine(QuarantineHooks()),
    MakeClaim(ClaimHooks()),
    MakePlan({ [this](const std::vector<service_id>& aServices) {
      return mBackends.Snapshots(aServices);
    } }),
    MakeScatter(mBackends, mBudgets, mFingerprints, ScatterHooks()),
    MakeGather(),
    MakeSettle(ClaimHooks()),
    MakeAccount(mAdmission, mAccounts, mRefusals, { SteadyNow, WallNow }),
  };
  mChain = std::make_shared<const filter_chain>(std::move(chain));
}

void
entry_role::SetUpForwardChain()
{
  route_hooks routes;
  routes.mRoutes = [this] { return mCatalog.Routes(); };
  routes.mNextService = [this](const route_record& aRoute) {
    return mCatalog.NextService(aRoute);
  };
  routes.mObjectiveMargin = milliseconds(mSettings.mEntryObjectiveMarginMs);
  auto mayServe = [this](steady_time aNow) { return MayServe(aNow); };
  filter_chain chain{
    MakeRoute(std::move(routes)),
    MakeConfirm({ SteadyNow, mayServe }),
    MakeAdmit(
      mAdmission,
      { SteadyNow, [this] { return mCatalog.ServingHosts(); }, mayServe }),
    MakeScatter(mBackends, mBudgets, mFingerprints, ForwardHooks()),
    MakeDeliver(),
    MakeAccount(mAdmission, mAccounts, mRefusals, { SteadyNow, WallNow }),
  };
  mForwardChain = std::make_shared<const filter_chain>(std::move(chain));
}

scatter_hooks
entry_role::ForwardHooks()
{
  scatter_hooks hooks = ScatterHooks();
  hooks.mUsesCanary = false;
  hooks.mHedgePercent = static_cast<int>(mSettings.mEntryHedgeAtPercent);
  hooks.mIsConfirmed = [this](steady_time aNow) { return MayServe(aNow); };
  return hooks;
}

std::optional<budget_terms>
entry_role::SharedBudget(steady_time aNow) const
{
  if (mSettings.mEntryExtraWindowS == 0) {
    return std::nullopt;
  }
  budget_terms terms;
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

server_sponsor_hooks
entry_role::SponsorHooks()
{
  server_sponsor_hooks hooks;
  hooks.mNow = SteadyNow;
  hooks.mCanVouch = [this](steady_time aNow) {
    return mLease.IsConfirmed(aNow);
  };
  hooks.mKnown = [this](const server_id& aServer) {
    return mBackends.Record(aServer);
  };
  hooks.mSponsored = [this] { return mBackends.Sponsored(); };
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
  hooks.mAttempt = [this](attempt_order aOrder) {
    return mBackendClient->Attempt(std::move(aOrder));
  };
  hooks.mNewAttempt = [this] { return NewNumber("a"); };
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
  hooks.mIsConfirmed = [this](steady_time aNow) {
    return mLease.IsConfirmed(aNow);
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
  hooks.mNewAttempt = [this] { return NewNumber("c"); };
  hooks.mClaimFor = [this](const request_context& aRequest) {
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
  hooks.mRecordLater = [this](claim_record aClaim) {
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
  command.mWishes = { crash, trial };
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
    co_return trial_verdict::Unasked;
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
  auto record = mBackends.Record(aServer);
  if (!record || record->mState != server_state::Ready) {
    return;
  }
  log_event("server_looks_cold", log_event::severity::Warning)
    .Add("server", aServer.mValue);
  server_record cold = *record;
  log_index version = cold.mVersion;
  cold.mColdMark = version;
  asio::co_spawn(
    asio::make_strand(mContext),
    [this, cold, version]() -> asio::awaitable<void> {
      co_await mClient.ProposeOne(
        cold, version, SteadyNow() + kSystemChangeTimeout);
    },
    asio::detached);
}

entry_host_record
entry_role::OwnRecord() const
{
  entry_host_record record;
  record.mHost = mSelf;
  record.mIncarnation = mIncarnation;
  record.mFailureDomain.mValue = mSettings.mHostFailureDomain;
  record.mCallersAddress = mSettings.IsOnPlatform()
                             ? mSettings.mPlatformCallersAddress
                             : mSettings.mEntryCallersAddress;
  record.mAnnounceAddress = mSettings.mEntryAnnounceAddress;
  record.mState =
    mIsLeaving ? entry_host_state::Leaving : entry_host_state::Serving;
  return record;
}

std::vector<entry_host_record>
entry_role::ListEntryHosts(const failure_domain_id& aNearby) const
{
  std::vector<entry_host_record> hosts = mCatalog.EntryHosts();
  // On the platform a failure domain that is out takes callers all the same;
  // only its servers get nothing.
  std::erase_if(hosts, [&](const entry_host_record& aHost) {
    return !mSettings.IsOnPlatform() && mCatalog.IsOut(aHost.mFailureDomain);
  });
  return ServingHosts(std::move(hosts), aNearby);
}

bool
entry_role::MayServe(steady_time aNow) const
{
  return mSettings.mEntryServesUnconfirmed || mLease.IsConfirmed(aNow);
}

bool
entry_role::IsReady() const
{
  if (mIsLeaving) {
    return false;
  }
  bool servesLastState =
    mSettings.mEntryServesUnconfirmed && mCatalog.Routes() != nullptr;
  return servesLastState || mLease.IsConfirmed(SteadyNow());
}

http_server_config
entry_role::CallersConfig(const std::string& aAddress)
{
  http_server_config config;
  config.mAddress = aAddress;
  config.mBodyBytes = static_cast<std::size_t>(mSettings.mEntryBodyBytes);
  config.mSlowSender = milliseconds(mSettings.mEntrySlowSenderMs);
  config.mMostConnections =
    static_cast<std::size_t>(mSettings.mEntryMostCallers);
  config.mContextOf = [this]() -> asio::io_context& {
    return mWorkers->Next();
  };
  config.mOnIdle = [this] { mStopGate.Notify(); };
  return config;
}

result<void, role_error>
entry_role::StartPlatformFront(std::unique_ptr<http_server>& aFront,
                               http_server_config aConfig,
                               http_handler aHandler)
{
  // An address that is not set means that the platform does not ask for it.
  if (aConfig.mAddress.empty()) {
    return boost::outcome_v2::success();
  }
  auto front = StartFront(mContext, std::move(aConfig), std::move(aHandler));
  if (!front) {
    return front.error();
  }
  aFront = std::move(front.value());
  return boost::outcome_v2::success();
}

result<void, role_error>
entry_role::SetUpPlatform()
{
  http_server_config directory;
  directory.mAddress = mSettings.mPlatformDirectoryAddress;
  auto started =
    StartPlatformFront(mDirectory,
                       std::move(directory),
                       platform::MakeDirectoryFront(
                         std::chrono::seconds(mSettings.mPlatformKeepListS),
                         { [this](const failure_domain_id& aNearby) {
                           return ListEntryHosts(aNearby);
                         } }));
  if (!started) {
    return started.error();
  }
  started =
    StartPlatformFront(mClients,
                       CallersConfig(mSettings.mPlatformCallersAddress),
                       platform::MakeClientsFront(mForwardChain, SteadyNow));
  if (!started) {
    return started.error();
  }
  http_server_config readiness;
  readiness.mAddress = mSettings.mPlatformReadinessAddress;
  return StartPlatformFront(
    mReadiness, std::move(readiness), platform::MakeReadinessFront([this] {
      return IsReady();
    }));
}

result<void, role_error>
entry_role::SetUpFronts()
{
  callers_front_hooks hooks;
  hooks.mNow = SteadyNow;
  hooks.mEntryHosts = [this](const failure_domain_id& aNearby) {
    return ListEntryHosts(aNearby);
  };
  hooks.mIsReady = [this] { return IsReady(); };
  hooks.mMetrics = [this] {
    steady_time now = SteadyNow();
    return MakeMetricsPage({ mAccounts,
                             mBackends.Views(now),
                             mCatalog.Index(),
                             mLease.Age(now),
                             mAdmission.Running(),
                             mAdmission.HostLimit(),
                             mRefusals.LastNumber() });
  };
  auto front = StartFront(
    mContext,
    CallersConfig(mSettings.mEntryCallersAddress),
    MakeCallersFront(
      { milliseconds(mSettings.mEntryKeepListMs) }, mChain, std::move(hooks)));
  if (!front) {
    return front.error();
  }
  mCallers = std::move(front.value());
  return SetUpAnnounceFront();
}

result<void, role_error>
entry_role::SetUpAnnounceFront()
{
  auto token = access_token::Create(mSettings.mEntryAnnounceToken);
  if (!token) {
    return Fail(role_error::BadSettings, token.error().mDetail);
  }
  http_server_config announce;
  announce.mAddress = mSettings.mEntryAnnounceAddress;
  announce_front_hooks announceHooks;
  announceHooks.mAnnounce = [this](server_record aRecord) {
    return mSponsor.Take(std::move(aRecord));
  };
  announceHooks.mAccount = [this] {
    return EncodeAccount(mSelf, mAccounts, mCatalog);
  };
  auto front =
    StartFront(mContext,
               std::move(announce),
               MakeAnnounceFront({ milliseconds(mSettings.mEntryRenewMs) },
                                 std::move(token.value()),
                                 std::move(announceHooks)));
  if (!front) {
    return front.error();
  }
  mAnnounce = std::move(front.value());
  return boost::outcome_v2::success();
}

void
entry_role::SetUpWatch()
{
  watch_client_config config;
  config.mAddresses = ControlHosts(mSettings);
  config.mMarkInterval = milliseconds(mSettings.mEntryMarkMs);
  config.mSeed = std::random_device{}();
  watch_client_hooks hooks;
  hooks.mHello = [this] { return OwnRecord(); };
  hooks.mReport = [this](steady_time aNow) {
    bool isUsable = mCatalog.Index() > 0 && mBackends.HasItsShares(aNow);
    return watch_report{ 0, mCatalog.Index(), mLease.Age(aNow), isUsable };
  };
  hooks.mApply = [this](const watch_update& aUpdate, steady_time aNow) {
    mCatalog.Apply(aUpdate, aNow);
  };
  hooks.mConfirmed = [this](steady_time aSentAt) { mLease.Confirm(aSentAt); };
  mWatch = std::make_unique<watch_client>(
    watch_client::Create(std::move(config), std::move(hooks)));
}

void
entry_role::StartLoops()
{
  RunPeriodically(
    mContext, kTendPause, mIsStopping, [this] { return mSponsor.Tend(); });
  RunPeriodically(
    mContext, kTendPause, mIsStopping, [this] { return TendConnections(); });
  RunPeriodically(
    mContext, kShipPause, mIsStopping, [this] { return ShipRefusals(); });
}

asio::awaitable<void>
entry_role::TendConnections()
{
  steady_time now = SteadyNow();
  // Unused connections count at the server too, so that a host which may
  // have lost its share without knowing must give them up.
  if (MayServe(now)) {
    mBackends.CloseSurplus(now);
  } else {
    mBackends.CloseIdle();
  }
  co_return;
}

asio::awaitable<void>
entry_role::ShipRefusals()
{
  std::vector<host_id> hosts = mClient.Hosts();
  // Hosts are asked in an order of one's own, so that the load is spread.
  std::size_t start = std::hash<host_id>{}(mSelf) % hosts.size();
  std::rotate(hosts.begin(),
              hosts.begin() + static_cast<std::ptrdiff_t>(start),
              hosts.end());
  std::size_t copies = 0;
  std::size_t wanted = std::min(kRefusalCopies, hosts.size());
  std::uint64_t kept = mRefusals.LastNumber();
  for (const host_id& host : hosts) {
    if (copies == wanted) {
      break;
    }
    std::uint64_t& synced = mRefusalsSynced[host];
    refusal_batch batch = mRefusals.After(synced, kMostInBatch);
    if (!batch.mRefusals.empty()) {
      auto acknowledged = co_await mClient.StoreRefusals(host, batch);
      if (!acknowledged) {
        continue;
      }
      synced = std::max(synced, acknowledged.value());
    }
    kept = std::min(kept, synced);
    ++copies;
  }
  if (copies == wanted) {
    mRefusals.ForgetUpTo(kept);
    mStopGate.Notify();
  }
}

steady_time
entry_role::StopListeningAt(steady_time aNow) const
{
  if (mSettings.IsOnPlatform()) {
    return aNow + std::chrono::seconds(mSettings.mPlatformGraceS) -
           kStopRunning;
  }
  // Callers may hold a list with this host in it for as long as it may be
  // kept, given out at the latest by a host that had a lease to learn it.
  return aNow + milliseconds(mSettings.mEntryKeepListMs) + mLease.Lease();
}

void
entry_role::StopFronts()
{
  for (auto* front :
       { &mClients, &mCallers, &mAnnounce, &mReadiness, &mDirectory }) {
    if (*front != nullptr) {
      (*front)->Stop();
    }
  }
}

void
entry_role::Stop()
{
  mIsLeaving = true;
  steady_time start = SteadyNow();
  log_event("leaving").Add("host", mSelf.mValue);
  for (auto* front : { &mClients, &mCallers }) {
    if (*front != nullptr) {
      (*front)->StartClosing();
    }
  }
  asio::co_spawn(
    asio::make_strand(mContext),
    [this]() -> asio::awaitable<void> {
      co_await mClient.ProposeOne(
        OwnRecord(), std::nullopt, SteadyNow() + kRecordTimeout);
    },
    asio::detached);
  auto never = [] { return false; };
  mStopGate.WaitUntil(StopListeningAt(start), never);
  steady_time end =
    mSettings.IsOnPlatform()
      ? start + std::chrono::seconds(mSettings.mPlatformGraceS) - kStopClosing
      : SteadyNow() + milliseconds(mSettings.mEntryLongestWaitMs);
  if (mClients != nullptr) {
    mClients->Stop();
  }
  mStopGate.WaitUntil(end, [this] {
    return mCallers->Active() == 0 &&
           (mClients == nullptr || mClients->Active() == 0);
  });
  if (mClients != nullptr && mClients->Active() > 0) {
    log_event("requests_given_up", log_event::severity::Warning)
      .Add("count", mClients->Active());
    mClients->GiveUpRunning();
    mStopGate.WaitUntil(SteadyNow() + kGiveUpTime,
                        [this] { return mClients->Active() == 0; });
  }
  mStopGate.WaitUntil(
    end, [this] { return mRefusals.After(0, 1).mRefusals.empty(); });
  mIsStopping = true;
  StopFronts();
  mWatch->Stop();
  mClient.Stop();
  // Sockets must be gone before the contexts that they belong to.
  steady_time closed = mSettings.IsOnPlatform() ? end + kStopClosing / 2
                                                : SteadyNow() + kCloseTime;
  mStopGate.WaitUntil(closed, [this] {
    return mCallers->Connections() == 0 &&
           (mClients == nullptr || mClients->Connections() == 0);
  });
  mWorkers->Stop();
}

}
