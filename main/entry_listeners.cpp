#include "main/entry_role.h"

#include "core/log_event.h"
#include "decisions/membership.h"
#include "drivers/access_token.h"
#include "drivers/caller_api.h"
#include "drivers/metrics_page.h"
#include "main/role_support.h"
#include "messages/account_json.h"
#include "platform/client_api.h"
#include "platform/directory_api.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Longest wait until the group has noted that this host leaves. */
constexpr milliseconds kLeaveTimeout{ 5000 };
/** Longest wait for sockets to go at the end of a stop. */
constexpr milliseconds kCloseTime{ 3000 };
/** Before a stop's grace time ends, so much is kept for running requests. */
constexpr milliseconds kStopRunning{ 3300 };
/** Before a stop's grace time ends, so much is kept for going itself. */
constexpr milliseconds kStopClosing{ 900 };
/** How long requests that are given up at a stop may take to say so. */
constexpr milliseconds kGiveUpTime{ 300 };

}

std::vector<entry_host_record>
entry_role::ListEntryHosts(const failure_domain_id& aNearby) const
{
  std::vector<entry_host_record> hosts = mCatalog.EntryHosts();
  // On the platform a failure domain that is out takes callers all the same;
  // only its servers get nothing.
  std::erase_if(hosts, [&](const entry_host_record& aHost) {
    return !mSettings.IsOnPlatform() &&
           mCatalog.IsDomainOut(aHost.mFailureDomain);
  });
  return ServingHosts(std::move(hosts), aNearby);
}

bool
entry_role::MayServe(steady_time aNow) const
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
  config.mMaxConnections =
    static_cast<std::size_t>(mSettings.mEntryMaxConnections);
  config.mSelectContext = [this]() -> asio::io_context& {
    return mWorkers->NextContext();
  };
  config.mOnDrainProgress = [this] { mStopGate.Notify(); };
  return config;
}

result<void, role_error>
entry_role::StartPlatformListener(std::unique_ptr<http_server>& aFront,
                                  http_server_config aConfig,
                                  http_handler aHandler)
{
  // An address that is not set means that the platform does not ask for it.
  if (aConfig.mAddress.empty()) {
    return boost::outcome_v2::success();
  }
  auto front =
    StartHttpServer(mContext, std::move(aConfig), std::move(aHandler));
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
  auto started = StartPlatformListener(
    mDirectory,
    std::move(directory),
    platform::MakeDirectoryApi(
      std::chrono::seconds(mSettings.mPlatformHostListTtlS),
      { [this](const failure_domain_id& aNearby) {
        return ListEntryHosts(aNearby);
      } }));
  if (!started) {
    return started.error();
  }
  started =
    StartPlatformListener(mClients,
                          CallersConfig(mSettings.mPlatformCallersAddress),
                          platform::MakeClientApi(mForwardChain, SteadyNow));
  if (!started) {
    return started.error();
  }
  http_server_config readiness;
  readiness.mAddress = mSettings.mPlatformReadinessAddress;
  return StartPlatformListener(
    mReadiness, std::move(readiness), platform::MakeReadinessApi([this] {
      return IsReady();
    }));
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
    return MakeMetricsPage({ mAccounts,
                             mBackends.Statuses(now),
                             mCatalog.Index(),
                             mLease.Age(now),
                             mAdmission.Running(),
                             mAdmission.HostLimit(),
                             mRefusals.LastNumber() });
  };
  auto front = StartHttpServer(
    mContext,
    CallersConfig(mSettings.mEntryCallersAddress),
    MakeCallerApi({ milliseconds(mSettings.mEntryHostListTtlMs) },
                  mChain,
                  std::move(hooks)));
  if (!front) {
    return front.error();
  }
  mCallers = std::move(front.value());
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
  announce_api_hooks announceHooks;
  announceHooks.mAnnounce = [this](server_record aRecord) {
    return mSponsor.HandleAnnouncement(std::move(aRecord));
  };
  announceHooks.mAccount = [this] {
    return EncodeAccount(mSelf, mAccounts, mCatalog);
  };
  auto front = StartHttpServer(
    mContext,
    std::move(announce),
    MakeAnnounceApi({ milliseconds(mSettings.mEntryRenewIntervalMs) },
                    std::move(token.value()),
                    std::move(announceHooks)));
  if (!front) {
    return front.error();
  }
  mAnnounce = std::move(front.value());
  return boost::outcome_v2::success();
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
  return aNow + milliseconds(mSettings.mEntryHostListTtlMs) + mLease.Lease();
}

void
entry_role::StopListeners()
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
      (*front)->StartDraining();
    }
  }
  asio::co_spawn(
    asio::make_strand(mContext),
    [this]() -> asio::awaitable<void> {
      co_await mClient.ProposeOne(
        OwnRecord(), std::nullopt, SteadyNow() + kLeaveTimeout);
    },
    asio::detached);
  auto never = [] { return false; };
  mStopGate.WaitUntil(StopListeningAt(start), never);
  steady_time end =
    mSettings.IsOnPlatform()
      ? start + std::chrono::seconds(mSettings.mPlatformGraceS) - kStopClosing
      : SteadyNow() + milliseconds(mSettings.mEntryMaxWaitMs);
  if (mClients != nullptr) {
    mClients->Stop();
  }
  mStopGate.WaitUntil(end, [this] {
    return mCallers->ActiveRequestCount() == 0 &&
           (mClients == nullptr || mClients->ActiveRequestCount() == 0);
  });
  if (mClients != nullptr && mClients->ActiveRequestCount() > 0) {
    log_event("requests_given_up", log_event::severity::Warning)
      .Add("count", mClients->ActiveRequestCount());
    mClients->CancelActiveRequests();
    mStopGate.WaitUntil(SteadyNow() + kGiveUpTime,
                        [this] { return mClients->ActiveRequestCount() == 0; });
  }
  mStopGate.WaitUntil(
    end, [this] { return mRefusals.ReadAfter(0, 1).mRefusals.empty(); });
  mIsStopping = true;
  StopListeners();
  mWatch->Stop();
  mClient.Stop();
  // Sockets must be gone before the contexts that they belong to.
  steady_time closed = mSettings.IsOnPlatform() ? end + kStopClosing / 2
                                                : SteadyNow() + kCloseTime;
  mStopGate.WaitUntil(closed, [this] {
    return mCallers->ConnectionCount() == 0 &&
           (mClients == nullptr || mClients->ConnectionCount() == 0);
  });
  mWorkers->Stop();
}

}
