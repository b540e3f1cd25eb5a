#include "main/entry_role.h"

#include "core/log_event.h"
#include "core/periodic.h"
#include "drivers/suspended_time.h"
#include "filters/account.h"
#include "filters/confirm.h"
#include "filters/deliver.h"
#include "filters/gather.h"
#include "filters/identify.h"
#include "filters/plan.h"
#include "filters/route.h"
#include "filters/turn.h"
#include "main/role_support.h"
#include "platform/caller_fields.h"
#include "platform/server_protocol.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kMaintenanceInterval{ 250 };
constexpr milliseconds kRefusalReplicationInterval{ 500 };
constexpr std::size_t kMaxBatchRefusals = 1000;
constexpr std::size_t kMaxHarmlessFingerprints = 100'000;
constexpr std::size_t kMaxAnsweredRequests = 20'000;
constexpr milliseconds kCrashCheckInterval{ 100 };
/** Control hosts that must have stored a refusal before it is dropped here. */
constexpr std::size_t kRefusalCopies = 2;
constexpr double kPercent = 0.01;
/** Extra attempts that a host may make at once. Where all hosts share a budget
 * for each service, that one binds, so that a fan-out can hedge many parts. */
constexpr double kMaxBurst = 20;
constexpr double kMaxSharedBurst = 200;

/**
 * Delay until a gained share may be used: the lease, the maximum run time of a
 * request, and 1% for clock drift.
 */
milliseconds
ShareHandoverDelay(const settings& aSettings)
{
  if (!aSettings.mEntryHandsSharesOver) {
    return milliseconds(0);
  }
  milliseconds sum(aSettings.mEntryLeaseMs + aSettings.mEntryMaxWaitMs);
  return sum + sum / 100;
}

/** Time between reports of a rollout's counts: a small part of the time in
 * which a version that was found bad must have been left. */
milliseconds
RolloutReportInterval(const settings& aSettings)
{
  constexpr std::int64_t kDivisor = 16;
  return std::clamp(milliseconds(aSettings.mEntryRollbackMs / kDivisor),
                    milliseconds(50),
                    milliseconds(300));
}

backend_config
ToBackendConfig(const settings& aSettings)
{
  backend_config config;
  config.mSelf.mValue = aSettings.mHostId;
  config.mFailureDomain.mValue = aSettings.mHostFailureDomain;
  config.mHandoverDelay = ShareHandoverDelay(aSettings);
  config.mRampDuration = milliseconds(aSettings.mEntryRampDurationMs);
  config.mCrossDomainPenalty =
    microseconds(aSettings.mEntryCrossDomainPenaltyUs);
  config.mFailurePenalty = microseconds(aSettings.mEntryFailurePenaltyUs);
  config.mConnectPenalty = microseconds(aSettings.mEntryConnectPenaltyUs);
  config.mSlowQuantile =
    static_cast<double>(aSettings.mEntryHedgePercentile) * kPercent;
  config.mColdAfterRefusals =
    static_cast<std::uint32_t>(aSettings.mEntryColdAfterRefusals);
  config.mSuspendsFailing = aSettings.mEntrySuspendsFailing;
  config.mNoticeLimits = { milliseconds(aSettings.mEntryLeavingGraceMs),
                           milliseconds(aSettings.mEntryMaxPauseMs) };
  config.mRateHandover = kRateWindow + milliseconds(aSettings.mEntryLeaseMs);
  config.mSeed = std::random_device{}();
  return config;
}

key_limits
ToKeyLimits(const settings& aSettings)
{
  return { aSettings.mEntryRevokesStrictly,
           milliseconds(aSettings.mEntryRevocationMs) };
}

}

entry_role::entry_role(asio::io_context& aContext,
                       settings aSettings,
                       incarnation_number aIncarnation,
                       control_client aClient,
                       std::shared_ptr<client_controller> aClients)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mSelf{ mSettings.mHostId }
  , mSubqueryAddress(SubqueryAddress(mSettings))
  , mIncarnation(aIncarnation)
  , mClient(std::move(aClient))
  , mWorkers(
      worker_pool::Create(static_cast<std::size_t>(mSettings.mEntryThreads)))
  , mLease(milliseconds(mSettings.mEntryLeaseMs), SuspendedTime)
  , mBackends(ToBackendConfig(mSettings),
              backend_hooks{
                [this](const std::vector<connection_id>& aConnections) {
                  mBackendClient->Close(aConnections);
                },
                [this](const server_id& aServer) { MarkServerCold(aServer); } })
  , mSubqueries(
      ToSubqueryConfig(mSettings),
      [this](const std::vector<service_id>& aServices, steady_time aNow) {
        return mBackends.AnsweringDomains(aServices, aNow);
      })
  , mQuotas(QuotaConfig(), QuotaHooks())
  , mQuotaClient(quota_client::Create(QuotaClientHooks()))
  , mCatalog(mSelf,
             mBackends,
             { [this](const std::vector<entry_host_record>& aHosts) {
               mSubqueries.SetHosts(aHosts);
               mQuotas.SetHosts(aHosts, SteadyNow());
             } })
  , mCallerKeys(ToKeyLimits(mSettings), CallerKeyHooks())
  , mCallerFields(platform::MakeCallerFields())
  , mAdmission(static_cast<std::uint32_t>(mSettings.mEntryHostLimit))
  , mOverload(std::hash<host_id>{}(mSelf))
  , mPartTimes(static_cast<double>(mSettings.mEntryHedgePercentile) * kPercent)
  , mBudgets(static_cast<double>(mSettings.mEntryHedgeBudgetPercent) * kPercent,
             static_cast<double>(mSettings.mEntryRetryBudgetPercent) * kPercent,
             mSettings.mEntryExtraWindowS > 0 ? kMaxSharedBurst : kMaxBurst,
             { [this](steady_time aNow) { return SharedBudget(aNow); } })
  , mFingerprints(kMaxHarmlessFingerprints)
  , mAnsweredRequests(kMaxAnsweredRequests)
  , mRefusals(mSelf,
              mIncarnation,
              static_cast<std::size_t>(mSettings.mEntryRefusalsKept))
  , mServerLeases(mSelf,
                  milliseconds(mSettings.mEntryServerLeaseMs),
                  ServerLeaseHooks())
  , mClients(std::move(aClients))
  , mRequestBodies(std::make_shared<transfer_controller>(
      static_cast<std::uint64_t>(mSettings.mEntryMaxHeldBytes)))
{
}

result<std::unique_ptr<entry_role>, role_error>
entry_role::Create(asio::io_context& aContext,
                   const settings& aSettings,
                   std::shared_ptr<client_controller> aClients)
{
  auto client =
    control_client::Create(aContext.get_executor(), ControlHosts(aSettings));
  auto incarnation = NewIncarnation();
  std::unique_ptr<entry_role> role(new entry_role(
    aContext, aSettings, incarnation, std::move(client), std::move(aClients)));
  role->SetUpBackendClient();
  role->SetUpChain();
  role->SetUpForwardChain();
  auto subqueriesSetUp = role->SetUpSubqueries();
  if (!subqueriesSetUp) {
    return subqueriesSetUp.error();
  }
  auto listeners = role->SetUpListeners();
  if (!listeners) {
    return listeners.error();
  }
  auto platformSetUp = role->SetUpPlatform();
  if (!platformSetUp) {
    return platformSetUp.error();
  }
  role->SetUpWatch();
  role->StartPeriodicTasks();
  return role;
}

void
entry_role::SetUpBackendClient()
{
  backend_client_config config;
  config.mForwardProtocol = platform::MakePlatformProtocol();
  config.mMaxResponseBytes =
    static_cast<std::size_t>(mSettings.mEntryMaxResponseBytes);
  config.mTransfers = std::make_shared<transfer_controller>(
    static_cast<std::uint64_t>(mSettings.mEntryMaxHeldBytes));
  config.mMaxIdleTime = milliseconds(mSettings.mEntryMaxIdleMs);
  backend_client_hooks hooks;
  hooks.mMaySend = [this](const server_request& aRequest, steady_time aNow) {
    bool isConfirmed =
      aRequest.mForwarded != nullptr ? MayForward(aNow) : mLease.IsValid(aNow);
    bool isKeyUsable =
      aRequest.mMaySend == nullptr || (*aRequest.mMaySend)(aNow);
    return isConfirmed && isKeyUsable &&
           mBackends.ConfirmSend(aRequest.mPermit, mLease.IsValid(aNow), aNow);
  };
  hooks.mBorrowConnection = [this](const server_id& aServer) {
    return mBackends.BorrowIdle(aServer, SteadyNow());
  };
  hooks.mReturnConnection = [this](const server_id& aServer,
                                   connection_id aNumber) {
    mBackends.ReturnIdle(aServer, aNumber);
  };
  hooks.mOnConnectionClosed = [this](const server_id& aServer) {
    mBackends.DiscardBorrowed(aServer);
  };
  mBackendClient = std::make_unique<backend_client>(
    backend_client::Create(mContext, config, std::move(hooks)));
}

void
entry_role::SetUpChain()
{
  auto isLeaseValid = [this](steady_time aNow) { return mLease.IsValid(aNow); };
  filter_chain chain{
    MakeIdentify(
      { [this](const team_id& aTeam) { return mCatalog.Team(aTeam); },
        [this] { return NewId("r"); } }),
    MakeConfirm({ SteadyNow, isLeaseValid }),
    MakeAdmit(mAdmission,
              { SteadyNow,
                [this] { return mCatalog.ServingHosts(); },
                isLeaseValid,
                {} }),
    MakeQuarantine(QuarantineHooks()),
    MakeClaim(ClaimHooks()),
    MakePlan({ [this](const std::vector<service_id>& aServices) {
      return mBackends.Snapshots(aServices);
    } }),
    MakeScatter(mBackends, mBudgets, mFingerprints, ScatterHooks()),
    MakeGather(),
    MakeSettle(ClaimHooks()),
    MakeAccount(mAdmission, mTeamStats, mRefusals, { SteadyNow, WallNow }),
  };
  mChain = std::make_shared<const filter_chain>(std::move(chain));
}

void
entry_role::SetUpForwardChain()
{
  route_hooks routes;
  routes.mRoutes = [this] { return mCatalog.Routes(); };
  routes.mNow = SteadyNow;
  routes.mAreRoutesConfirmed = [this](steady_time aNow) {
    return mLease.IsValid(aNow);
  };
  routes.mNextService = [this](const route_record& aRoute) {
    return mCatalog.NextService(aRoute);
  };
  routes.mObjectiveMargin = milliseconds(mSettings.mEntryObjectiveMarginMs);
  routes.mDividedMargin = milliseconds(mSettings.mEntryDividedMarginMs);
  auto mayForward = [this](steady_time aNow) { return MayForward(aNow); };
  filter_chain chain{
    MakeRoute(std::move(routes)),
    MakeAuthenticate(mCallerKeys, AuthenticateHooks()),
    MakeConfirm({ SteadyNow, mayForward }),
    MakeQuota(mQuotas, QuotaFilterHooks()),
    MakeAdmit(mAdmission, ForwardAdmitHooks()),
    MakeQuarantine(ForwardQuarantineHooks()),
    MakeScatter(mBackends, mBudgets, mFingerprints, ForwardHooks()),
    MakeDeliver(),
    MakeQuotaReturn(mQuotas, QuotaFilterHooks()),
    MakeAccount(mAdmission, mTeamStats, mRefusals, { SteadyNow, WallNow }),
  };
  if (mSettings.mEntryAdmitByRank) {
    auto scatter =
      std::find_if(chain.begin(), chain.end(), [](const filter& aFilter) {
        return aFilter.mName == filter_name::Scatter;
      });
    chain.insert(scatter, MakeTurn(mStarts, SteadyNow));
  }
  mForwardChain = std::make_shared<const filter_chain>(std::move(chain));
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
  record.mSubqueryAddress = mSubqueryAddress;
  record.mState =
    mIsLeaving ? entry_host_state::Leaving : entry_host_state::Serving;
  return record;
}

void
entry_role::SetUpWatch()
{
  watch_client_config config;
  config.mAddresses = ControlHosts(mSettings);
  config.mMarkInterval = milliseconds(mSettings.mEntryMarkIntervalMs);
  config.mFailureDomain.mValue = mSettings.mHostFailureDomain;
  config.mSeed = std::random_device{}();
  watch_client_hooks hooks;
  hooks.mMakeHello = [this] { return OwnRecord(); };
  hooks.mReport = [this](steady_time aNow) {
    bool isUsable = mCatalog.Index() > 0 && mBackends.HasAllShares(aNow);
    return watch_report{ 0, mCatalog.Index(), mLease.Age(aNow), isUsable };
  };
  hooks.mApplyUpdate = [this](const watch_update& aUpdate, steady_time aNow) {
    mCatalog.Apply(aUpdate, aNow);
  };
  hooks.mOnMarkConfirmed = [this](const sent_mark& aMark) {
    mQuotas.OnConfirmed(SteadyNow());
    mLease.Renew(aMark);
  };
  hooks.mOnControlHosts = [this](const std::vector<host_id>& aHosts) {
    mClient.LearnHosts(aHosts);
  };
  mWatch = std::make_unique<watch_client>(
    watch_client::Create(std::move(config), std::move(hooks)));
}

void
entry_role::StartPeriodicTasks()
{
  RunPeriodically(
    mContext, "server_leases", kMaintenanceInterval, mIsStopping, [this] {
      return mServerLeases.ExpireLeases();
    });
  RunPeriodically(
    mContext, "crashes", kCrashCheckInterval, mIsStopping, [this] {
      return RecordCrashes();
    });
  RunPeriodically(
    mContext, "surplus_connections", kMaintenanceInterval, mIsStopping, [this] {
      return CloseSurplusConnections();
    });
  RunPeriodically(
    mContext, "refusals", kRefusalReplicationInterval, mIsStopping, [this] {
      return ReplicateRefusals();
    });
  RunPeriodically(mContext,
                  "rollouts",
                  RolloutReportInterval(mSettings),
                  mIsStopping,
                  [this] { return ReportRollouts(); });
}

asio::awaitable<void>
entry_role::CloseSurplusConnections()
{
  steady_time now = SteadyNow();
  mBackends.ForgetOldNotices(now);
  // Idle connections count against the server's limit too, so a host that may
  // have lost its share without knowing must close them.
  if (MayForward(now)) {
    mBackends.CloseSurplus(now);
  } else {
    mBackends.CloseIdle();
  }
  co_return;
}

bool
entry_role::IsOutOfTouch() const
{
  return !mLease.IsValid(SteadyNow());
}

void
entry_role::SetSeeds(const std::map<host_id, std::string>& aSeeds)
{
  std::vector<host_id> hosts;
  hosts.reserve(aSeeds.size());
  for (const auto& [host, address] : aSeeds) {
    hosts.push_back(host);
  }
  mClient.LearnHosts(hosts);
  mWatch->AddHosts(aSeeds);
}

asio::awaitable<void>
entry_role::ReplicateRefusals()
{
  std::vector<host_id> hosts = mClient.Hosts();
  if (hosts.empty()) {
    co_return;
  }
  // Entry hosts start at different control hosts, to spread the load.
  std::size_t start = std::hash<host_id>{}(mSelf) % hosts.size();
  std::rotate(hosts.begin(),
              hosts.begin() + static_cast<std::ptrdiff_t>(start),
              hosts.end());
  std::size_t copies = 0;
  std::size_t required = std::min(kRefusalCopies, hosts.size());
  std::uint64_t replicated = mRefusals.LastNumber();
  for (const host_id& host : hosts) {
    if (copies == required) {
      break;
    }
    std::uint64_t& lastStored = mLastStoredRefusal[host];
    refusal_batch batch = mRefusals.ReadAfter(lastStored, kMaxBatchRefusals);
    if (!batch.mRefusals.empty()) {
      auto acknowledged = co_await mClient.StoreRefusals(host, batch);
      if (!acknowledged) {
        continue;
      }
      lastStored = std::max(lastStored, acknowledged.value());
    }
    replicated = std::min(replicated, lastStored);
    ++copies;
  }
  if (copies == required) {
    mRefusals.DiscardUpTo(replicated);
    mStopWaiter.Notify();
  }
}

asio::awaitable<void>
entry_role::ReportRollouts()
{
  std::vector<rollout_report> reports = mBackends.RolloutReports(SteadyNow());
  if (reports.empty()) {
    co_return;
  }
  for (rollout_report& report : reports) {
    report.mIncarnation = mIncarnation;
  }
  auto receipt = co_await mClient.ReportRollouts(reports);
  if (!receipt) {
    log_event("rollout_report_lost", log_event::severity::Warning)
      .Add("rollouts", reports.size());
    mBackends.OnRolloutReports(rollout_report_end::Lost);
    co_return;
  }
  bool isNewLeader = receipt->mTerm != mRolloutTerm;
  mRolloutTerm = receipt->mTerm;
  mBackends.OnRolloutReports(isNewLeader ? rollout_report_end::NewLeader
                                         : rollout_report_end::Added);
}

}
