#include "main/control_role.h"

#include "core/log_event.h"
#include "drivers/access_token.h"
#include "drivers/operator_api.h"
#include "main/periodic.h"
#include "main/role_support.h"
#include "messages/control_codec.h"
#include "messages/raft_codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <iomanip>
#include <random>
#include <sstream>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kMembershipPause{ 250 };
constexpr milliseconds kFormPause{ 300 };
constexpr milliseconds kHandOverTime{ 2000 };
/** How often the leases of servers are looked through. */
constexpr milliseconds kTendPause{ 250 };
/** The platform's callers wait one second for an answer before they go on. */
constexpr milliseconds kPlatformAnswer{ 900 };
constexpr milliseconds kSystemChangeTimeout{ 2000 };

std::string
RandomHex(std::size_t aWords)
{
  std::random_device device;
  std::ostringstream text;
  for (std::size_t word = 0; word < aWords; ++word) {
    text << std::hex << std::setw(8) << std::setfill('0') << device();
  }
  return text.str();
}

/** Daemons need what a configuration says, not the text that said it. */
void
LeaveDocumentsOut(std::vector<record_change>& aFacts)
{
  for (record_change& fact : aFacts) {
    if (auto* configuration = std::get_if<configuration_record>(&fact)) {
      configuration->mDocument.clear();
    }
  }
}

}

control_role::control_role(asio::io_context& aContext,
                           settings aSettings,
                           raft_storage aDisk,
                           refusal_store aRefusals,
                           control_client aClient)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mDisk(std::move(aDisk))
  , mRefusals(std::move(aRefusals))
  , mTransport(raft_transport::Create(ControlHosts(mSettings)))
  , mClient(std::move(aClient))
  , mSponsor(host_id{ mSettings.mHostId },
             milliseconds(mSettings.mControlServerLeaseMs),
             ServerLeaseHooks())
  , mMembership({ host_id{ mSettings.mHostId },
                  milliseconds(mSettings.mControlEntryHostTimeoutMs),
                  milliseconds(mSettings.mControlOrphanTimeoutMs) },
                SteadyNow())
{
}

result<std::unique_ptr<control_role>, role_error>
control_role::Create(asio::io_context& aContext,
                     const settings& aSettings,
                     std::function<void()> aOnFailure)
{
  std::filesystem::path folder(aSettings.mControlDataFolder);
  auto disk = raft_storage::Create(folder / "log", RandomHex(4));
  if (!disk) {
    return Fail(role_error::DiskFailed, disk.error().mDetail);
  }
  auto refusals =
    refusal_store::Create(folder / "refusals", aSettings.mControlRefusalDays);
  if (!refusals) {
    return Fail(role_error::DiskFailed, refusals.error().mDetail);
  }
  auto client =
    control_client::Create(aContext.get_executor(), ControlHosts(aSettings));
  if (!client) {
    return Fail(role_error::BadSettings, client.error().mDetail);
  }
  std::unique_ptr<control_role> role(
    new control_role(aContext,
                     aSettings,
                     std::move(disk.value()),
                     std::move(refusals.value()),
                     std::move(client.value())));
  auto group = role->SetUpGroup(std::move(aOnFailure));
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
  auto platformFronts = role->SetUpPlatform();
  if (!platformFronts) {
    role->Stop();
    return platformFronts.error();
  }
  role->StartLoops();
  return role;
}

bool
control_role::NoteDisk(const result<void, storage_error>& aDone)
{
  // A write that fails is tried again and again; its cause is told once.
  std::string cause = aDone ? std::string() : aDone.error().mDetail;
  if (!aDone && cause != mDiskCause) {
    log_event("disk_failed", log_event::severity::Error).Add("cause", cause);
  }
  mDiskCause = std::move(cause);
  return aDone.has_value();
}

control_group_hooks
control_role::GroupHooks()
{
  control_limits limits;
  limits.mMaxClaims = static_cast<std::size_t>(mSettings.mControlMaxClaims);
  limits.mClaimRetention = std::chrono::hours(mSettings.mControlClaimHours);
  control_group_hooks hooks;
  hooks.mSteadyNow = SteadyNow;
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
    return NoteDisk(mDisk.Persist(aActions));
  };
  hooks.mStoreSnapshot = [this](const raft_snapshot& aSnapshot,
                                const raft_hard_state& aHardState,
                                const std::deque<raft_entry>& aTail) {
    return NoteDisk(mDisk.StoreSnapshot(aSnapshot, aHardState, aTail));
  };
  hooks.mSend = [this](std::vector<raft_message> aMessages) {
    mTransport.Send(std::move(aMessages));
  };
  hooks.mPublish = [this](log_index aIndex, std::vector<record_change> aFacts) {
    LeaveDocumentsOut(aFacts);
    mHub->Publish(aIndex, std::move(aFacts));
  };
  hooks.mOnStateReplaced = [this](log_index aIndex) {
    mHub->ResetStreams(aIndex);
  };
  hooks.mOnRoleChanged = [this] { mStopGate.Notify(); };
  return hooks;
}

result<void, role_error>
control_role::SetUpGroup(std::function<void()> aOnFailure)
{
  control_group_config config;
  config.mRaft.mSelf = { host_id{ mSettings.mHostId }, mDisk.DiskId() };
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
  config.mSnapshotThreshold =
    static_cast<log_index>(mSettings.mControlSnapshotThreshold);
  auto group = control_group::Create(
    std::move(config), GroupHooks(), mDisk.TakePersisted(), SteadyNow());
  if (!group) {
    return Fail(role_error::CannotStart, group.error().mDetail);
  }
  mGroup = std::move(group.value());
  mHub = std::make_unique<watch_hub>(
    watch_hub_hooks{ [this] {
                      auto facts = mGroup->Records();
                      LeaveDocumentsOut(facts.second);
                      return facts;
                    },
                     [this](std::function<void(log_index)> aReply) {
                       mGroup->ReadBarrier(std::move(aReply));
                     } });
  // The facts of a snapshot on the disk are in force before any entry.
  mHub->ResetStreams(mGroup->Status().mApplied);
  mThread = std::thread([this, onFailure = std::move(aOnFailure)] {
    auto ended = mGroup->Run();
    if (!ended) {
      mHasFailed = true;
      log_event("control_group_failed", log_event::severity::Error)
        .Add("cause", ended.error().mDetail);
      onFailure();
    }
  });
  return boost::outcome_v2::success();
}

result<void, role_error>
control_role::SetUpService()
{
  control_service_hooks hooks;
  hooks.mSteadyNow = SteadyNow;
  hooks.mDeliver = [this](std::vector<raft_message> aMessages) {
    mGroup->Receive(std::move(aMessages));
  };
  hooks.mProbe = [this] {
    control_group_status status = mGroup->Status();
    return probe_result{ status.mSelf, status.mIsEmpty, GroupHosts() };
  };
  hooks.mPropose = [this](change_command aCommand, propose_callback aReply) {
    mGroup->Propose(std::move(aCommand), std::move(aReply));
  };
  hooks.mOpenStream = [this](entry_host_record aHost,
                             std::function<void()> aWake) {
    log_event("watch_opened").Add("host", aHost.mHost.mValue);
    return mHub->Open(std::move(aHost), std::move(aWake), SteadyNow());
  };
  hooks.mReceiveReport = [this](stream_id aStream, watch_report aReport) {
    mHub->Report(aStream, aReport, SteadyNow());
  };
  hooks.mNextUpdate = [this](stream_id aStream) { return mHub->Next(aStream); };
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
  auto service =
    control_service::Create(mSettings.mControlAddress, std::move(hooks));
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
    return mClient.Propose(std::move(aCommand), aDeadline);
  };
  hooks.mConfirmedRecords = [this](steady_time aDeadline) {
    return ConfirmedRecords(aDeadline);
  };
  hooks.mStatus = [this] { return mClient.Status(); };
  hooks.mRefusals = [this](wall_ms aFrom) {
    return mClient.ReadRefusals(aFrom);
  };
  hooks.mNewChangeId = [this] {
    return change_id{ mSettings.mHostId + "-" + RandomHex(2) + "-" +
                      std::to_string(mNextChange++) };
  };
  http_server_config config;
  config.mAddress = mSettings.mControlOperatorsAddress;
  auto front = StartHttpServer(
    mContext,
    std::move(config),
    MakeOperatorApi(std::move(token.value()), std::move(hooks)));
  if (!front) {
    return front.error();
  }
  mOperators = std::move(front.value());
  return boost::outcome_v2::success();
}

void
control_role::StartLoops()
{
  RunPeriodically(
    mContext, kFormPause, mIsStopping, [this] { return FormGroup(); });
  RunPeriodically(mContext, kTendPause, mIsStopping, [this] {
    return mSponsor.ExpireLeases();
  });
  RunPeriodically(mContext, kMembershipPause, mIsStopping, [this] {
    return TendMembership();
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
control_role::FormGroup()
{
  control_group_status own = mGroup->Status();
  std::vector<host_id> group = GroupHosts();
  // One host alone may form the group, so that two can't form it unalike.
  bool isFormer = own.mSelf.mHost == group.front();
  if (!own.mIsEmpty || !isFormer || !mSettings.mControlBootstrap) {
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
control_role::TendMembership()
{
  control_group_status status = mGroup->Status();
  std::vector<connected_daemon> heard;
  for (const daemon_status& daemon : mHub->Daemons()) {
    heard.push_back({ daemon.mHost,
                      daemon.mHeardAt,
                      daemon.mReport.mHasShares,
                      daemon.mReport.mAppliedIndex });
  }
  std::vector<record_change> wishes =
    mGroup->ReadState([&](const control_state& aState) {
      membership_view view{ aState.EntryHosts(),
                            aState.Servers(),
                            status.mRole == raft_role::Leader,
                            status.mActiveHosts };
      return mMembership.ProposedChanges(heard, view, SteadyNow());
    });
  if (wishes.empty()) {
    co_return;
  }
  change_command command;
  command.mChanges = std::move(wishes);
  for (const record_change& wish : command.mChanges) {
    if (const auto* host = std::get_if<entry_host_record>(&wish)) {
      log_event("entry_host_" + std::string(NameOf(host->mState)))
        .Add("host", host->mHost.mValue)
        .Add("incarnation", host->mIncarnation);
    }
    if (const auto* server = std::get_if<server_record>(&wish)) {
      log_event("server_orphaned").Add("server", server->mServer.mValue);
    }
  }
  // What is still due is proposed again at the next turn.
  auto outcomes = co_await mClient.Propose(std::move(command),
                                           SteadyNow() + kSystemChangeTimeout);
  if (!outcomes) {
    log_event("membership_unrecorded", log_event::severity::Warning)
      .Add("cause", outcomes.error().mDetail);
  }
}

asio::awaitable<bool>
control_role::ConfirmRead(steady_time aDeadline)
{
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
  std::optional<std::vector<record_change>> facts;
  bool isConfirmed = co_await ConfirmRead(aDeadline);
  if (isConfirmed) {
    facts = mGroup->Records().second;
  }
  co_return facts;
}

std::optional<std::string>
control_role::Document() const
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
      std::vector<server_id> sponsored;
      for (const auto& [server, record] : aState.Servers()) {
        bool isOurs = record.mLeaseHolder.mValue == mSettings.mHostId &&
                      record.mState != server_state::Gone;
        if (isOurs) {
          sponsored.push_back(server);
        }
      }
      return sponsored;
    });
  };
  hooks.mPropose = [this](record_change aWish,
                          std::optional<log_index> aVersion,
                          steady_time aDeadline) {
    return mClient.ProposeOne(std::move(aWish), aVersion, aDeadline);
  };
  // A control host answers from the log, which the leader has applied.
  hooks.mWaitForIndex = [](log_index, steady_time) -> asio::awaitable<bool> {
    co_return true;
  };
  return hooks;
}

platform::control_api_hooks
control_role::PlatformHooks()
{
  platform::control_api_hooks hooks;
  hooks.mPropose = [this](record_change aWish) {
    return mClient.ProposeOne(
      std::move(aWish), std::nullopt, SteadyNow() + kPlatformAnswer);
  };
  hooks.mReadDocument =
    [this]() -> asio::awaitable<std::optional<std::optional<std::string>>> {
    std::optional<std::optional<std::string>> document;
    bool isConfirmed = co_await ConfirmRead(SteadyNow() + kPlatformAnswer);
    if (isConfirmed) {
      document = Document();
    }
    co_return document;
  };
  hooks.mAnnounce = [this](server_record aRecord) {
    return mSponsor.HandleAnnouncement(std::move(aRecord));
  };
  hooks.mLeave = [this](server_id aServer) {
    return mSponsor.HandleLeave(std::move(aServer));
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
  auto front =
    StartHttpServer(mContext,
                    std::move(config),
                    platform::MakeControlApi(address, PlatformHooks()));
  if (!front) {
    return front.error();
  }
  mPlatformControl = std::move(front.value());
  return boost::outcome_v2::success();
}

void
control_role::Stop()
{
  bool leads = mGroup->Status().mRole == raft_role::Leader;
  bool isAlone = mGroup->Status().mPeers.size() <= 1;
  if (leads && !isAlone && !mHasFailed) {
    mGroup->TransferLeadership();
    mStopGate.WaitUntil(SteadyNow() + kHandOverTime, [this] {
      return mGroup->Status().mRole != raft_role::Leader;
    });
  }
  mIsStopping = true;
  for (auto* front : { &mOperators, &mPlatformControl }) {
    if (*front != nullptr) {
      (*front)->Stop();
    }
  }
  mTransport.Stop();
  mGroup->Stop();
  if (mThread.joinable()) {
    mThread.join();
  }
  // Calls that wait for the group are answered by now.
  if (mService != nullptr) {
    mService->Stop();
  }
  mClient.Stop();
}

}
