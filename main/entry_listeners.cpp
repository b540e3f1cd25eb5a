#include "main/entry_role.h"

#include "core/background_task.h"
#include "core/log_event.h"
#include "decisions/group/membership.h"
#include "drivers/access_token.h"
#include "drivers/caller_api.h"
#include "drivers/client_metrics.h"
#include "drivers/metrics_page.h"
#include "main/role_support.h"
#include "messages/account_json.h"
#include "platform/client_api.h"
#include "platform/directory_api.h"

#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Limit for the control hosts to record that this host leaves. */
constexpr milliseconds kLeaveTimeout{ 5000 };
/** Limit for connections to close at the end of a stop. */
constexpr milliseconds kCloseTimeout{ 3000 };
/** Time before the end of the grace period at which the listener for clients
 * closes and running requests are drained. */
constexpr milliseconds kDrainReserve{ 3300 };
/** Time before the end of the grace period at which draining ends and the
 * process shuts down. */
constexpr milliseconds kCloseReserve{ 900 };
/** Limit for requests that are cancelled at a stop to send their responses. */
constexpr milliseconds kCancelTimeout{ 300 };
/** Limit for the subqueries of other hosts to end at a stop. */
constexpr milliseconds kSubqueryStopTimeout{ 100 };

/** For a listener of which no request needs a body. */
bool
TakesNoBody(const http_request_head& /*aHead*/)
{
  return false;
}

}

std::vector<entry_host_record>
entry_role::ListEntryHosts(const failure_domain_id& aNearby) const
{
  std::vector<entry_host_record> hosts = mCatalog.EntryHosts();
  // On the platform, entry hosts in an evacuated failure domain still accept
  // callers; only its backend servers get no requests.
  std::erase_if(hosts, [&](const entry_host_record& aHost) {
    return !mSettings.IsOnPlatform() &&
           mCatalog.IsDomainOut(aHost.mFailureDomain);
  });
  return ServingHosts(std::move(hosts), aNearby);
}

bool
entry_role::MayForward(steady_time aNow) const
{
  return mSettings.mEntryServesUnconfirmed || mLease.IsValid(aNow);
}

bool
entry_role::IsReady() const
{
  if (mIsLeaving) {
    return false;
  }
  bool servesLastState =
    mSettings.mEntryServesUnconfirmed && mCatalog.Routes() != nullptr;
  return servesLastState || mLease.IsValid(SteadyNow());
}

http_server_config
entry_role::CallersConfig(const std::string& aAddress)
{
  http_server_config config;
  config.mAddress = aAddress;
  config.mMaxBodyBytes = static_cast<std::size_t>(mSettings.mEntryMaxBodyBytes);
  config.mTransferTimeout = milliseconds(mSettings.mEntryTransferTimeoutMs);
  config.mTransfers = mRequestBodies;
  ShareClientLimits(mSettings, mClients, config);
  config.mMaxConnections =
    static_cast<std::size_t>(mSettings.mEntryMaxConnections);
  config.mSelectContext = [this]() -> asio::io_context& {
    return mWorkers->NextContext();
  };
  config.mOnDrainProgress = [this] { mStopWaiter.Notify(); };
  return config;
}

result<void, role_error>
entry_role::StartPlatformListener(std::unique_ptr<http_server>& aListener,
                                  http_server_config aConfig,
                                  http_handler aHandler)
{
  // Without an address the platform does not use this interface.
  if (aConfig.mAddress.empty()) {
    return boost::outcome_v2::success();
  }
  ShareClientLimits(mSettings, mClients, aConfig);
  auto listener =
    StartHttpServer(mContext, std::move(aConfig), std::move(aHandler));
  if (!listener) {
    return listener.error();
  }
  aListener = std::move(listener.value());
  return boost::outcome_v2::success();
}

result<void, role_error>
entry_role::SetUpPlatform()
{
  http_server_config directory;
  directory.mAddress = mSettings.mPlatformDirectoryAddress;
  directory.mTakesBody = TakesNoBody;
  auto started = StartPlatformListener(
    mDirectoryListener,
    std::move(directory),
    platform::MakeDirectoryApi(
      std::chrono::seconds(mSettings.mPlatformHostListTtlS),
      { [this](const failure_domain_id& aNearby) {
        return ListEntryHosts(aNearby);
      } }));
  if (!started) {
    return started.error();
  }
  http_server_config clients = CallersConfig(mSettings.mPlatformCallersAddress);
  clients.mTakesBody = [this](const http_request_head& aHead) {
    auto routes = mCatalog.Routes();
    return routes != nullptr &&
           routes->Find(aHead.mHost, aHead.mPath) != nullptr;
  };
  started =
    StartPlatformListener(mClientListener,
                          std::move(clients),
                          platform::MakeClientApi(mForwardChain, SteadyNow));
  if (!started) {
    return started.error();
  }
  http_server_config readiness;
  readiness.mAddress = mSettings.mPlatformReadinessAddress;
  readiness.mTakesBody = TakesNoBody;
  return StartPlatformListener(
    mReadinessListener,
    std::move(readiness),
    platform::MakeReadinessApi([this] { return IsReady(); }));
}

result<void, role_error>
entry_role::SetUpListeners()
{
  caller_api_hooks hooks;
  hooks.mNow = SteadyNow;
  hooks.mEntryHosts = [this](const failure_domain_id& aNearby) {
    return ListEntryHosts(aNearby);
  };
  hooks.mIsReady = [this] { return IsReady(); };
  hooks.mMetrics = [this] {
    steady_time now = SteadyNow();
    return MakeMetricsPage({ mTeamStats,
                             mBackends.Statuses(now),
                             mCatalog.Index(),
                             mLease.Age(now),
                             mAdmission.Running(),
                             mAdmission.HostLimit(),
                             mRefusals.LastNumber(),
                             TaskFailureCount(),
                             mCallerKeys.Counts(),
                             mOverload.Counts(),
                             mQuotas.Counts() }) +
           MakeClientMetrics(mClients->Status());
  };
  http_server_config callers = CallersConfig(mSettings.mEntryCallersAddress);
  callers.mTakesBody = IsCallersRequest;
  auto listener = StartHttpServer(
    mContext,
    std::move(callers),
    MakeCallerApi({ milliseconds(mSettings.mEntryHostListTtlMs) },
                  mChain,
                  std::move(hooks)));
  if (!listener) {
    return listener.error();
  }
  mCallerListener = std::move(listener.value());
  return SetUpAnnounceListener();
}

result<void, role_error>
entry_role::SetUpAnnounceListener()
{
  auto token = access_token::Create(mSettings.mEntryAnnounceToken);
  if (!token) {
    return Fail(role_error::BadSettings, token.error().mDetail);
  }
  http_server_config announce;
  announce.mAddress = mSettings.mEntryAnnounceAddress;
  announce.mTakesBody = IsAnnouncement;
  ShareClientLimits(mSettings, mClients, announce);
  announce_api_hooks announceHooks;
  announceHooks.mAnnounce = [this](server_record aRecord) {
    return mServerLeases.HandleAnnouncement(std::move(aRecord));
  };
  announceHooks.mAccount = [this] {
    return EncodeTeamStats(mSelf, mTeamStats, mCatalog);
  };
  auto listener = StartHttpServer(
    mContext,
    std::move(announce),
    MakeAnnounceApi({ milliseconds(mSettings.mEntryRenewIntervalMs) },
                    std::move(token.value()),
                    std::move(announceHooks)));
  if (!listener) {
    return listener.error();
  }
  mAnnounceListener = std::move(listener.value());
  return boost::outcome_v2::success();
}

steady_time
entry_role::StopListeningAt(steady_time aNow) const
{
  if (mSettings.IsOnPlatform()) {
    return aNow + std::chrono::seconds(mSettings.mPlatformGraceS) -
           kDrainReserve;
  }
  // Another host may hand out a list that names this host until its own lease
  // ends, and callers may keep that list for its time to live.
  return aNow + milliseconds(mSettings.mEntryHostListTtlMs) +
         mLease.LeaseDuration();
}

void
entry_role::StopListeners()
{
  for (auto* listener : { &mClientListener,
                          &mCallerListener,
                          &mAnnounceListener,
                          &mReadinessListener,
                          &mDirectoryListener }) {
    if (*listener != nullptr) {
      (*listener)->Stop();
    }
  }
}

asio::awaitable<void>
entry_role::RecordLeave()
{
  record_change leaving = OwnRecord();
  co_await mClient.ProposeOne(
    std::move(leaving), std::nullopt, SteadyNow() + kLeaveTimeout);
}

void
entry_role::Stop()
{
  mIsLeaving = true;
  steady_time start = SteadyNow();
  log_event("leaving").Add("host", mSelf.mValue);
  for (auto* listener : { &mClientListener, &mCallerListener }) {
    if (*listener != nullptr) {
      (*listener)->StartDraining();
    }
  }
  RunInBackground(asio::make_strand(mContext), "leave", RecordLeave());
  auto never = [] { return false; };
  mStopWaiter.WaitUntil(StopListeningAt(start), never);
  steady_time drainDeadline =
    mSettings.IsOnPlatform()
      ? start + std::chrono::seconds(mSettings.mPlatformGraceS) - kCloseReserve
      : SteadyNow() + milliseconds(mSettings.mEntryMaxWaitMs);
  if (mClientListener != nullptr) {
    mClientListener->Stop();
  }
  mStopWaiter.WaitUntil(drainDeadline, [this] {
    return mRunningSubqueries == 0 &&
           mCallerListener->ActiveRequestCount() == 0 &&
           (mClientListener == nullptr ||
            mClientListener->ActiveRequestCount() == 0);
  });
  if (mClientListener != nullptr && mClientListener->ActiveRequestCount() > 0) {
    log_event("requests_given_up", log_event::severity::Warning)
      .Add("count", mClientListener->ActiveRequestCount());
    mClientListener->CancelActiveRequests();
    mStopWaiter.WaitUntil(SteadyNow() + kCancelTimeout, [this] {
      return mClientListener->ActiveRequestCount() == 0;
    });
  }
  mStopWaiter.WaitUntil(drainDeadline, [this] {
    return mRefusals.ReadAfter(0, 1).mRefusals.empty();
  });
  mIsStopping = true;
  StopListeners();
  if (mSubqueryService != nullptr) {
    mSubqueryService->Stop(kSubqueryStopTimeout);
  }
  mQuotaClient.Stop();
  mSubqueryClient.Stop();
  mWatch->Stop();
  mClient.Stop();
  // Sockets must be destroyed before their I/O contexts.
  steady_time closeDeadline = mSettings.IsOnPlatform()
                                ? drainDeadline + kCloseReserve / 2
                                : SteadyNow() + kCloseTimeout;
  mStopWaiter.WaitUntil(closeDeadline, [this] {
    return mCallerListener->ConnectionCount() == 0 &&
           (mClientListener == nullptr ||
            mClientListener->ConnectionCount() == 0);
  });
  mWorkers->Stop();
}
}
