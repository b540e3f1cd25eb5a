#include "main/control_role.h"

#include "core/background_task.h"
#include "core/log_event.h"
#include "core/periodic.h"
#include "core/random_id.h"
#include "drivers/access_token.h"
#include "drivers/client_metrics.h"
#include "drivers/control_metrics_page.h"
#include "drivers/operator_api.h"
#include "main/role_support.h"
#include "messages/control_codec.h"
#include "messages/raft_codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kMembershipInterval{ 250 };
constexpr milliseconds kBootstrapInterval{ 300 };
constexpr milliseconds kLeadershipTransferTimeout{ 2000 };
/** Interval between checks of the leases of backend servers. */
constexpr milliseconds kLeaseCheckInterval{ 250 };
/** Below the one second that the platform's callers wait for a response. */
constexpr milliseconds kPlatformTimeout{ 900 };
/** Maximum size of all bodies that servers and operators send at a time. */
constexpr std::uint64_t kMaxPlatformBodyBytes = 16U << 20U;
/** Connections of servers and operators; leaves descriptors for the other
 * control hosts and the daemons. */
constexpr std::size_t kMaxPlatformConnections = 2048;
/** Time from an order's arrival until which it may be proposed. With the age
 * that a proposal may have at the leader, it is below the second after which
 * callers send an order again to another host. */
constexpr milliseconds kOrderTimeout{ 600 };
constexpr milliseconds kTickInterval{ 100 };
/** Time limit for a change that this host proposes itself. */
constexpr milliseconds kSystemChangeTimeout{ 2000 };

role_error
ToRoleError(storage_error aError)
{
  // A lock ends with the process that holds it, and a refused read or write may
  // succeed later.
  return aError == storage_error::Corrupt ? role_error::DiskFailed
                                          : role_error::DiskUnavailable;
}

std::filesystem::path
LogFolder(const settings& aSettings)
{
  return std::filesystem::path(aSettings.mControlDataFolder) / "log";
}

/** Time between looks at the rollouts: a small part of the time in which a
 * version that was found bad must have been left. */
milliseconds
RolloutStepInterval(const settings& aSettings)
{
  constexpr std::int64_t kDivisor = 25;
  return std::clamp(milliseconds(aSettings.mControlRollbackMs / kDivisor),
                    milliseconds(50),
                    milliseconds(500));
}

/** The hosts of the group's voters, sorted. */
std::vector<control_host>
VotersOf(const control_group_status& aStatus,
         const sharded_map<host_id, failure_domain_id>& aDomains)
{
  std::vector<control_host> hosts;
  for (const raft_peer& peer : aStatus.mPeers) {
    if (peer.mIsVoter) {
      hosts.push_back(
        { peer.mId.mHost,
          aDomains.Get(peer.mId.mHost).value_or(failure_domain_id{}) });
    }
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

/** Removes the source texts of configurations, which daemons do not need. */
void
DropDocuments(std::vector<record_change>& aRecords)
{
  for (record_change& record : aRecords) {
    if (auto* configuration = std::get_if<configuration_record>(&record)) {
      configuration->mDocument.clear();
    }
  }
}

}

control_role::control_role(asio::io_context& aContext,
                           settings aSettings,
                           raft_storage aStorage,
                           refusal_store aRefusals,
                           control_client aClient)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mHasDamagedLog(raft_storage::IsSetAside(LogFolder(mSettings)))
  , mStorage(std::move(aStorage))
  , mRefusals(std::move(aRefusals))
  , mTransport(raft_transport::Create(ControlHosts(mSettings)))
  , mClient(std::move(aClient))
  , mServerLeases(host_id{ mSettings.mHostId },
                  milliseconds(mSettings.mControlServerLeaseMs),
                  ServerLeaseHooks())
  , mMembership({ host_id{ mSettings.mHostId },
                  milliseconds(mSettings.mControlEntryHostTimeoutMs),
                  milliseconds(mSettings.mControlOrphanTimeoutMs) },
                SteadyNow())
  , mStalls({}, ElapsedNow())
{
}

result<std::unique_ptr<control_role>, role_error>
control_role::Create(asio::io_context& aContext,
                     const settings& aSettings,
                     const std::shared_ptr<client_controller>& aClients)
{
  auto role = Open(aContext, aSettings, aClients);
  bool isDamaged = !role && role.error().mCode == role_error::DiskFailed;
  if (!isDamaged) {
    return role;
  }
  // No later start could read it either. Only a leader with a majority of the
  // others adds the new disk, so that nothing is decided without what this log
  // held unless enough other members hold it.
  auto kept = raft_storage::SetAside(LogFolder(aSettings));
  if (!kept) {
    return Fail(role_error::DiskUnavailable, kept.error().mDetail);
  }
  log_event("log_set_aside", log_event::severity::Error)
    .Add("cause", role.error().mDetail)
    .Add("kept", kept.value().string());
  return Open(aContext, aSettings, aClients);
}

result<std::unique_ptr<control_role>, role_error>
control_role::Open(asio::io_context& aContext,
                   const settings& aSettings,
                   const std::shared_ptr<client_controller>& aClients)
{
  std::filesystem::path folder(aSettings.mControlDataFolder);
  auto storage = raft_storage::Create(LogFolder(aSettings), RandomHex(4));
  if (!storage) {
    return Fail(ToRoleError(storage.error().mCode), storage.error().mDetail);
  }
  auto refusals =
    refusal_store::Create(folder / "refusals", aSettings.mControlRefusalDays);
  if (!refusals) {
    return Fail(role_error::DiskUnavailable, refusals.error().mDetail);
  }
  // A host reaches itself without being told of any other.
  auto hosts = ControlHosts(aSettings);
  hosts.emplace(host_id{ aSettings.mHostId }, aSettings.mControlAddress);
  // Set once the role, whose group the hooks ask, has been created.
  auto owner = std::make_shared<control_role*>(nullptr);
  control_client_hooks clientHooks;
  clientHooks.mLatestRound = [owner] { return (*owner)->LatestRound(); };
  clientHooks.mIsCutOff = [owner] { return (*owner)->IsCutOff(); };
  std::unique_ptr<control_role> role(new control_role(
    aContext,
    aSettings,
    std::move(storage.value()),
    std::move(refusals.value()),
    control_client::Create(
      aContext.get_executor(), std::move(hosts), std::move(clientHooks))));
  *owner = role.get();
  role->mClients = aClients;
  auto group = role->SetUpGroup();
  if (!group) {
    return group.error();
  }
  auto service = role->SetUpService();
  if (!service) {
    role->Stop();
    return service.error();
  }
  auto operators = role->SetUpOperators();
  if (!operators) {
    role->Stop();
    return operators.error();
  }
  auto platformSetUp = role->SetUpPlatform();
  if (!platformSetUp) {
    role->Stop();
    return platformSetUp.error();
  }
  role->StartPeriodicTasks();
  return role;
}

bool
control_role::CheckWrite(const result<void, storage_error>& aResult)
{
  // Failed writes are retried indefinitely; a cause is logged again only after
  // it has changed.
  std::string cause = aResult ? std::string() : aResult.error().mDetail;
  if (!aResult && cause != mLastStorageError) {
    log_event("disk_failed", log_event::severity::Error).Add("cause", cause);
  }
  mLastStorageError = std::move(cause);
  return aResult.has_value();
}

control_group_hooks
control_role::GroupHooks()
{
  control_limits limits;
  limits.mMaxClaims = static_cast<std::size_t>(mSettings.mControlMaxClaims);
  limits.mClaimRetention = std::chrono::hours(mSettings.mControlClaimHours);
  control_group_hooks hooks;
  hooks.mSteadyNow = SteadyNow;
  hooks.mElapsedNow = ElapsedNow;
  hooks.mWallNow = WallNow;
  hooks.mEncodeCommand = EncodeCommand;
  hooks.mDecodeCommand =
    [](const std::string& aBytes) -> std::optional<change_command> {
    auto command = DecodeCommand(aBytes);
    return command ? std::optional(std::move(command.value())) : std::nullopt;
  };
  hooks.mEncodeState = EncodeState;
  hooks.mDecodeState =
    [limits](const std::string& aBytes) -> std::optional<control_state> {
    auto state = DecodeState(aBytes, limits);
    return state ? std::optional(std::move(state.value())) : std::nullopt;
  };
  hooks.mPersist = [this](const raft_actions& aActions) {
    return CheckWrite(mStorage.Persist(aActions));
  };
  hooks.mStoreSnapshot = [this](const raft_snapshot& aSnapshot,
                                const raft_hard_state& aHardState,
                                const std::deque<raft_entry>& aTail) {
    return CheckWrite(mStorage.StoreSnapshot(aSnapshot, aHardState, aTail));
  };
  hooks.mLogBytesOnDisk = [this] { return mStorage.LogBytes(); };
  hooks.mSend = [this](std::vector<raft_message> aMessages) {
    mTransport.Send(std::move(aMessages));
  };
  hooks.mPublish = [this](log_index aIndex,
                          std::vector<record_change> aRecords) {
    DropDocuments(aRecords);
    for (const record_change& change : aRecords) {
      if (const auto* rollout = std::get_if<rollout_record>(&change)) {
        ObserveRollout(*rollout);
      }
    }
    mHub->Publish(aIndex, aRecords, SteadyNow());
  };
  hooks.mOnStateReplaced = [this](log_index aIndex) {
    mHub->ResetStreams(aIndex);
  };
  hooks.mOnRoleChanged = [this] { mStopWaiter.Notify(); };
  hooks.mOnContactChanged = [this](group_contact aContact) {
    mHub->SetCutOff(aContact != group_contact::InTouch);
  };
  return hooks;
}

watch_hub_hooks
control_role::HubHooks()
{
  watch_hub_hooks hooks;
  hooks.mReadState = [this] {
    auto records = mGroup->Records();
    DropDocuments(records.second);
    return records;
  };
  hooks.mReadBarrier = [this](std::function<void(log_index)> aCallback) {
    mGroup->ReadBarrier(std::move(aCallback));
  };
  hooks.mEncode = EncodeChanges;
  hooks.mScheduleFlush = [this](steady_time aTime) {
    auto timer = std::make_shared<asio::steady_timer>(mContext, aTime);
    timer->async_wait([this, timer](boost::system::error_code aError) {
      if (!aError) {
        mHub->Flush(SteadyNow());
      }
    });
  };
  return hooks;
}

result<void, role_error>
control_role::SetUpGroup()
{
  control_group_config config;
  config.mRaft.mSelf = { host_id{ mSettings.mHostId }, mStorage.DiskId() };
  for (const host_id& host : GroupHosts()) {
    config.mRaft.mKnownHosts.insert(host);
  }
  config.mRaft.mAllowsAnyHost = mSettings.IsOnPlatform();
  config.mRaft.mHeartbeatInterval = milliseconds(mSettings.mControlHeartbeatMs);
  config.mRaft.mElectionTimeout = milliseconds(mSettings.mControlElectionMs);
  config.mRaft.mSeed = std::random_device{}();
  config.mLimits.mMaxClaims =
    static_cast<std::size_t>(mSettings.mControlMaxClaims);
  config.mLimits.mClaimRetention =
    std::chrono::hours(mSettings.mControlClaimHours);
  config.mFailureDomain.mValue = mSettings.mHostFailureDomain;
  config.mLog.mMaxEntries =
    static_cast<log_index>(mSettings.mControlSnapshotThreshold);
  config.mLog.mMaxBytes =
    static_cast<std::uint64_t>(mSettings.mControlMaxLogBytes);
  auto group = control_group::Create(
    std::move(config), GroupHooks(), mStorage.TakePersisted(), SteadyNow());
  if (!group) {
    return Fail(group.error().mCode == group_error::BadLog
                  ? role_error::DiskFailed
                  : role_error::CannotStart,
                group.error().mDetail);
  }
  mGroup = std::move(group.value());
  mHub = std::make_unique<watch_hub>(watch_hub_config{}, HubHooks());
  // The hub starts at the index of the stored snapshot: log entries up to it
  // are not published.
  mHub->ResetStreams(mGroup->Status().mApplied);
  mGroupThread = std::thread([this] { mGroup->Run(); });
  return boost::outcome_v2::success();
}

result<void, role_error>
control_role::SetUpService()
{
  control_service_hooks hooks;
  hooks.mSteadyNow = SteadyNow;
  hooks.mReceiveMessages = [this](std::vector<raft_message> aMessages) {
    if (!aMessages.empty()) {
      mTransport.OnContact(aMessages.front().mFrom.mHost, SteadyNow());
    }
    mGroup->Receive(std::move(aMessages));
  };
  hooks.mProbe = [this] {
    control_group_status status = mGroup->Status();
    return probe_result{ status.mSelf,
                         status.mIsEmpty && !mHasDamagedLog,
                         GroupHosts(),
                         { mSettings.mHostFailureDomain } };
  };
  hooks.mPropose = [this](change_command aCommand,
                          propose_callback aCallback,
                          steady_time aDeadline,
                          std::optional<proposal_age> aAge) {
    mGroup->Propose(std::move(aCommand), std::move(aCallback), aDeadline, aAge);
  };
  hooks.mOpenStream = [this](entry_host_record aHost,
                             log_index aAppliedIndex,
                             std::function<void()> aCallback) {
    log_event("watch_opened")
      .Add("host", aHost.mHost.mValue)
      .Add("from", aAppliedIndex);
    return mHub->Open(
      std::move(aHost), aAppliedIndex, std::move(aCallback), SteadyNow());
  };
  hooks.mReceiveReport = [this](stream_id aStream, watch_report aReport) {
    mHub->Report(aStream, aReport, SteadyNow());
  };
  hooks.mNextMessage = [this](stream_id aStream) {
    return mHub->Next(aStream);
  };
  hooks.mCloseStream = [this](stream_id aStream) { mHub->Close(aStream); };
  hooks.mStatus = [this] { return mGroup->Status(); };
  hooks.mDaemons = [this] { return mHub->Daemons(); };
  hooks.mStoreRefusals =
    [this](const refusal_batch& aBatch) -> std::optional<std::uint64_t> {
    auto stored = mRefusals.Store(aBatch, WallNow());
    if (!stored) {
      log_event("disk_failed", log_event::severity::Error)
        .Add("cause", stored.error().mDetail);
      return std::nullopt;
    }
    return aBatch.mRefusals.empty() ? 0 : aBatch.mRefusals.back().mNumber;
  };
  hooks.mReadRefusals = [this](wall_ms aFrom) { return mRefusals.Read(aFrom); };
  hooks.mReportRollouts = [this](const std::vector<rollout_report>& aReports) {
    return AddRolloutReports(aReports);
  };
  auto service = control_service::Create(
    mContext, mSettings.mControlAddress, std::move(hooks));
  if (!service) {
    return Fail(role_error::CannotListen, service.error().mDetail);
  }
  mService = std::make_unique<control_service>(std::move(service.value()));
  return boost::outcome_v2::success();
}

result<void, role_error>
control_role::SetUpOperators()
{
  auto token = access_token::Create(mSettings.mControlOperatorsToken);
  if (!token) {
    return Fail(role_error::BadSettings, token.error().mDetail);
  }
  operator_api_hooks hooks;
  hooks.mNow = SteadyNow;
  hooks.mPropose = [this](change_command aCommand, steady_time aDeadline) {
    return Client().Propose(std::move(aCommand), aDeadline);
  };
  hooks.mConfirmedRecords = [this](steady_time aDeadline) {
    return ConfirmedRecords(aDeadline);
  };
  hooks.mStatus = [this] { return mClient.Status(); };
  hooks.mRefusals = [this](wall_ms aFrom) {
    return mClient.ReadRefusals(aFrom);
  };
  hooks.mMetrics = [this] {
    return MakeControlMetricsPage({ mGroup->Status(),
                                    mHub->Daemons().size(),
                                    TaskFailureCount(),
                                    mHasDamagedLog,
                                    CountRollouts() }) +
           MakeClientMetrics(mClients->Status());
  };
  hooks.mEarliestArrival = [this] { return EarliestArrival(); };
  hooks.mNewChangeId = [this] {
    return change_id{ mSettings.mHostId + "-" + RandomHex(2) + "-" +
                      std::to_string(mNextChangeNumber++) };
  };
  http_server_config config;
  config.mAddress = mSettings.mControlOperatorsAddress;
  ShareClientLimits(mSettings, mClients, config);
  auto listener = StartHttpServer(
    mContext,
    std::move(config),
    MakeOperatorApi(std::move(token.value()), std::move(hooks)));
  if (!listener) {
    return listener.error();
  }
  mOperatorListener = std::move(listener.value());
  return boost::outcome_v2::success();
}

void
control_role::StartPeriodicTasks()
{
  RunPeriodically(
    mContext, "stalls", kTickInterval, mIsStopping, [this] { return Tick(); });
  RunPeriodically(
    mContext, "bootstrap", kBootstrapInterval, mIsStopping, [this] {
      return BootstrapGroup();
    });
  RunPeriodically(
    mContext, "server_leases", kLeaseCheckInterval, mIsStopping, [this] {
      return mServerLeases.ExpireLeases();
    });
  RunPeriodically(
    mContext, "membership", kMembershipInterval, mIsStopping, [this] {
      return UpdateMembership();
    });
  RunPeriodically(
    mContext, "rollouts", RolloutStepInterval(mSettings), mIsStopping, [this] {
      return StepRollouts();
    });
  RunPeriodically(
    mContext, "failure_domains", kBootstrapInterval, mIsStopping, [this] {
      return LearnFailureDomains();
    });
}

std::vector<host_id>
control_role::GroupHosts() const
{
  std::vector<host_id> hosts;
  for (const auto& [host, address] : ControlHosts(mSettings)) {
    hosts.push_back(host);
  }
  return hosts;
}

asio::awaitable<void>
control_role::BootstrapGroup()
{
  control_group_status own = mGroup->Status();
  std::vector<host_id> group = GroupHosts();
  // Only the first host bootstraps the group, so that no two hosts form
  // different groups.
  bool isBootstrapHost = !group.empty() && own.mSelf.mHost == group.front();
  bool mayForm = own.mIsEmpty && !mHasDamagedLog && isBootstrapHost &&
                 mSettings.mControlBootstrap;
  if (!mayForm) {
    co_return;
  }
  std::vector<raft_peer> voters{ { own.mSelf, true } };
  for (const host_id& host : group) {
    if (host == own.mSelf.mHost) {
      continue;
    }
    auto reply = co_await mClient.Probe(host);
    bool agrees =
      reply && reply->empty() && reply->self().host() == host.mValue &&
      std::equal(group.begin(),
                 group.end(),
                 reply->group().begin(),
                 reply->group().end(),
                 [](const host_id& aOne, const std::string& aOther) {
                   return aOne.mValue == aOther;
                 });
    if (!agrees) {
      co_return;
    }
    voters.push_back({ ReadPeerId(reply->self()), true });
  }
  log_event("group_formed").Add("members", voters.size());
  mGroup->Bootstrap(std::move(voters));
}

asio::awaitable<void>
control_role::LearnFailureDomains()
{
  bool hasLearned = false;
  for (const raft_peer& peer : mGroup->Status().mPeers) {
    const host_id& host = peer.mId.mHost;
    if (mHostDomains.Get(host)) {
      continue;
    }
    auto reply = co_await mClient.Probe(host);
    if (reply && !reply->failure_domain().empty()) {
      mHostDomains.Set(host, { reply->failure_domain() });
      hasLearned = true;
    }
  }
  if (hasLearned) {
    std::map<host_id, failure_domain_id> domains;
    mHostDomains.ForEach([&](const host_id& aHost, failure_domain_id& aDomain) {
      domains[aHost] = aDomain;
    });
    mGroup->SetFailureDomains(std::move(domains));
  }
}

void
control_role::CloseFormerLinks(const control_group_status& aStatus)
{
  std::set<host_id> members;
  for (const raft_peer& peer : aStatus.mPeers) {
    members.insert(peer.mId.mHost);
  }
  // A host that is no member itself doesn't know who the others are.
  if (members.contains(aStatus.mSelf.mHost)) {
    mTransport.CloseOthers(members);
  }
}

asio::awaitable<void>
control_role::UpdateMembership()
{
  control_group_status status = mGroup->Status();
  mHub->SetControlHosts(VotersOf(status, mHostDomains));
  CloseFormerLinks(status);
  std::vector<connected_daemon> daemons;
  for (const daemon_status& daemon : mHub->Daemons()) {
    daemons.push_back({ daemon.mHost,
                        daemon.mLastMessageAt,
                        daemon.mReport.mHasShares,
                        daemon.mReport.mAppliedIndex });
  }
  std::vector<record_change> changes =
    mGroup->ReadState([&](const control_state& aState) {
      membership_view view{ aState.EntryHosts(),
                            aState.Servers(),
                            status.mRole == raft_role::Leader,
                            status.mActiveHosts };
      return mMembership.ProposedChanges(daemons, view, SteadyNow());
    });
  for (const record_change& change : mMembershipNews.OnProposed(changes)) {
    if (const auto* host = std::get_if<entry_host_record>(&change)) {
      log_event("entry_host_" + std::string(NameOf(host->mState)))
        .Add("host", host->mHost.mValue)
        .Add("incarnation", host->mIncarnation);
    }
    if (const auto* server = std::get_if<server_record>(&change)) {
      log_event("server_orphaned").Add("server", server->mServer.mValue);
    }
  }
  // While no leader reaches this host, a proposal would only be refused.
  // Changes that are still due are proposed again next time.
  if (changes.empty() || IsCutOff()) {
    co_return;
  }
  change_command command;
  command.mChanges = std::move(changes);
  auto outcomes = co_await Client().Propose(std::move(command),
                                            SteadyNow() + kSystemChangeTimeout);
  if (outcomes) {
    if (mMembershipNews.OnEvaluated(outcomes.value())) {
      log_event("membership_recorded");
    }
    co_return;
  }
  if (mMembershipNews.OnFailed(outcomes.error().mDetail)) {
    log_event("membership_unrecorded", log_event::severity::Warning)
      .Add("cause", outcomes.error().mDetail);
  }
}

asio::awaitable<void>
control_role::Tick()
{
  mStalls.OnTick(ElapsedNow());
  co_return;
}

leader_round
control_role::LatestRound() const
{
  control_group_status status = mGroup->Status();
  return { status.mTerm, status.mRound };
}

bool
control_role::IsCutOff() const
{
  return mGroup->Contact() == group_contact::CutOff;
}

std::optional<steady_time>
control_role::EarliestArrival()
{
  steady_time elapsed = ElapsedNow();
  auto arrivedAt = mStalls.EarliestArrival(elapsed);
  if (!arrivedAt) {
    return std::nullopt;
  }
  return SteadyNow() - (elapsed - *arrivedAt);
}

asio::awaitable<bool>
control_role::ConfirmRead(steady_time aDeadline)
{
  if (IsCutOff()) {
    co_return false;
  }
  auto executor = co_await asio::this_coro::executor;
  auto confirmed = std::make_shared<asio::steady_timer>(executor, aDeadline);
  auto isDone = std::make_shared<bool>(false);
  mGroup->ReadBarrier([confirmed, isDone, executor](log_index /*aIndex*/) {
    asio::post(executor, [confirmed, isDone] {
      *isDone = true;
      confirmed->cancel();
    });
  });
  co_await confirmed->async_wait(asio::as_tuple(asio::use_awaitable));
  co_return *isDone;
}

asio::awaitable<std::optional<std::vector<record_change>>>
control_role::ConfirmedRecords(steady_time aDeadline)
{
  std::optional<std::vector<record_change>> records;
  bool isConfirmed = co_await ConfirmRead(aDeadline);
  if (isConfirmed) {
    records = mGroup->Records().second;
  }
  co_return records;
}

std::optional<std::string>
control_role::ConfigurationDocument() const
{
  return mGroup->ReadState(
    [](const control_state& aState) -> std::optional<std::string> {
      const auto& configuration = aState.Configuration();
      if (!configuration) {
        return std::nullopt;
      }
      return configuration->mDocument;
    });
}

service_profile
control_role::Profile(const service_id& aService) const
{
  return mGroup->ReadState([&](const control_state& aState) {
    if (aState.Configuration()) {
      for (const service_profile& service : aState.Configuration()->mServices) {
        if (service.mService == aService) {
          return service;
        }
      }
    }
    return service_profile{};
  });
}

server_lease_hooks
control_role::ServerLeaseHooks()
{
  server_lease_hooks hooks;
  hooks.mNow = SteadyNow;
  hooks.mMayHoldLeases = [this](steady_time /*aNow*/) {
    return mGroup->KnowsLeader();
  };
  hooks.mFindServer = [this](const server_id& aServer) {
    return mGroup->ReadState(
      [&](const control_state& aState) -> std::optional<server_record> {
        auto found = aState.Servers().find(aServer);
        return found == aState.Servers().end() ? std::nullopt
                                               : std::optional(found->second);
      });
  };
  hooks.mLeasedServers = [this] {
    return mGroup->ReadState([&](const control_state& aState) {
      std::vector<server_id> servers;
      for (const auto& [server, record] : aState.Servers()) {
        bool isHeldHere = record.mLeaseHolder.mValue == mSettings.mHostId &&
                          record.mState != server_state::Gone;
        if (isHeldHere) {
          servers.push_back(server);
        }
      }
      return servers;
    });
  };
  hooks.mPropose = [this](record_change aChange,
                          std::optional<log_index> aVersion,
                          steady_time aDeadline) {
    return Client().ProposeOne(std::move(aChange), aVersion, aDeadline);
  };
  // Nothing to wait for: the leader has applied the change when the proposal
  // completes.
  hooks.mWaitForIndex = [](log_index, steady_time) -> asio::awaitable<bool> {
    co_return true;
  };
  return hooks;
}

platform::control_api_hooks
control_role::PlatformHooks()
{
  platform::control_api_hooks hooks;
  hooks.mPropose = [this](record_change aChange) {
    return Client().ProposeOne(
      std::move(aChange), std::nullopt, SteadyNow() + kPlatformTimeout);
  };
  hooks.mOrderDeadline = [this]() -> std::optional<steady_time> {
    auto arrivedAt = EarliestArrival();
    return arrivedAt ? std::optional(*arrivedAt + kOrderTimeout) : std::nullopt;
  };
  hooks.mProposeOrder = [this](record_change aChange, steady_time aDeadline) {
    return Client().ProposeOne(std::move(aChange), std::nullopt, aDeadline);
  };
  hooks.mStartRollout = [this](rollout_record aRecord, steady_time aDeadline) {
    aRecord.mShare = InitialShare(ExposureLimits());
    return Client().ProposeOne(std::move(aRecord), std::nullopt, aDeadline);
  };
  hooks.mReadRollout = [this](service_id aService) {
    return ReadRollout(std::move(aService), SteadyNow() + kPlatformTimeout);
  };
  hooks.mReadDocument =
    [this]() -> asio::awaitable<std::optional<std::optional<std::string>>> {
    std::optional<std::optional<std::string>> document;
    bool isConfirmed = co_await ConfirmRead(SteadyNow() + kPlatformTimeout);
    if (isConfirmed) {
      document = ConfigurationDocument();
    }
    co_return document;
  };
  hooks.mAnnounce = [this](server_record aRecord) {
    return mServerLeases.HandleAnnouncement(std::move(aRecord));
  };
  hooks.mLeave = [this](server_id aServer) {
    return mServerLeases.HandleLeave(std::move(aServer));
  };
  hooks.mProfile = [this](const service_id& aService) {
    return Profile(aService);
  };
  return hooks;
}

result<void, role_error>
control_role::SetUpPlatform()
{
  const std::string& address = mSettings.mPlatformControlAddress;
  if (address.empty()) {
    return boost::outcome_v2::success();
  }
  http_server_config config;
  config.mAddress = address;
  config.mMaxConnections = kMaxPlatformConnections;
  ShareClientLimits(mSettings, mClients, config);
  config.mTransfers =
    std::make_shared<transfer_controller>(kMaxPlatformBodyBytes);
  auto listener =
    StartHttpServer(mContext,
                    std::move(config),
                    platform::MakeControlApi(address, PlatformHooks()));
  if (!listener) {
    return listener.error();
  }
  mPlatformListener = std::move(listener.value());
  return boost::outcome_v2::success();
}

control_client&
control_role::Client()
{
  // A call to a leader that is gone lasts until its deadline, and the group may
  // have another by now.
  host_id leader = mGroup->Leader();
  if (!leader.IsEmpty()) {
    mClient.SetLeader(std::move(leader));
  }
  return mClient;
}

bool
control_role::IsOutOfTouch() const
{
  return !mGroup->KnowsLeader();
}

void
control_role::SetSeeds(const std::map<host_id, std::string>& aSeeds)
{
  // The first group is formed by the seeds of the start alone, so that no two
  // groups are formed.
  std::set<host_id> hosts;
  for (const auto& [host, address] : aSeeds) {
    hosts.insert(host);
  }
  mClient.LearnHosts({ hosts.begin(), hosts.end() });
  mGroup->SetKnownHosts(std::move(hosts));
}

void
control_role::Stop()
{
  bool isLeader = mGroup->Status().mRole == raft_role::Leader;
  bool isAlone = mGroup->Status().mPeers.size() <= 1;
  if (isLeader && !isAlone) {
    mGroup->TransferLeadership();
    mStopWaiter.WaitUntil(SteadyNow() + kLeadershipTransferTimeout, [this] {
      return mGroup->Status().mRole != raft_role::Leader;
    });
  }
  mIsStopping = true;
  for (auto* listener : { &mOperatorListener, &mPlatformListener }) {
    if (*listener != nullptr) {
      (*listener)->Stop();
    }
  }
  mTransport.Stop();
  mGroup->Stop();
  if (mGroupThread.joinable()) {
    mGroupThread.join();
  }
  // The stopped group has completed all calls that waited for it.
  if (mService != nullptr) {
    mService->Stop();
  }
  mClient.Stop();
}

}
