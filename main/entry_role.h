#pragma once

#include "controllers/admission_controller.h"
#include "controllers/backend_controller.h"
#include "controllers/budget_controller.h"
#include "controllers/caller_key_controller.h"
#include "controllers/catalog_controller.h"
#include "controllers/crash_controller.h"
#include "controllers/fingerprint_controller.h"
#include "controllers/lease_controller.h"
#include "controllers/overload_controller.h"
#include "controllers/part_time_controller.h"
#include "controllers/quota_controller.h"
#include "controllers/refusal_controller.h"
#include "controllers/start_controller.h"
#include "controllers/subquery_controller.h"
#include "controllers/team_stats_controller.h"
#include "drivers/announce_api.h"
#include "drivers/backend_client.h"
#include "drivers/control_client.h"
#include "drivers/http_server.h"
#include "drivers/quota_client.h"
#include "drivers/subquery_client.h"
#include "drivers/subquery_service.h"
#include "drivers/watch_client.h"
#include "drivers/worker_pool.h"
#include "filters/admit.h"
#include "filters/authenticate.h"
#include "filters/claim.h"
#include "filters/quarantine.h"
#include "filters/quota.h"
#include "main/condition_waiter.h"
#include "main/role_error.h"
#include "main/role_support.h"
#include "main/server_lease_manager.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>

namespace hibiscusspool {

/** How an entry host divides fan-outs. */
subquery_config
ToSubqueryConfig(const settings& aSettings);

/** Where this host takes subqueries; empty if it takes none. */
std::string
SubqueryAddress(const settings& aSettings);

/** Runs an entry host: filter chains, controllers and network interfaces. */
class entry_role
{
  boost::asio::io_context& mContext;
  settings mSettings;
  host_id mSelf;
  /** Where this host takes subqueries; empty if it takes none. */
  std::string mSubqueryAddress;
  incarnation_number mIncarnation;
  control_client mClient;
  std::unique_ptr<worker_pool> mWorkers;
  std::unique_ptr<backend_client> mBackendClient;
  lease_controller mLease;
  backend_controller mBackends;
  subquery_controller mSubqueries;
  subquery_client mSubqueryClient = subquery_client::Create();
  quota_controller mQuotas;
  quota_client mQuotaClient;
  std::unique_ptr<grpc::Service> mQuotaService;
  /** A report on quotas is about to be sent. */
  std::atomic<bool> mIsReportingQuotas{ false };
  catalog_controller mCatalog;
  caller_key_controller mCallerKeys;
  /** How servers learn the team of a request's caller. */
  caller_field_hooks mCallerFields;
  admission_controller mAdmission;
  overload_controller mOverload;
  start_controller mStarts;
  part_time_controller mPartTimes;
  budget_controller mBudgets;
  fingerprint_controller mFingerprints;
  /** Forwarded requests that were answered of late. */
  fingerprint_controller mAnsweredRequests;
  crash_controller mCrashes;
  team_stats_controller mTeamStats;
  refusal_controller mRefusals;
  server_lease_manager mServerLeases;
  std::shared_ptr<const filter_chain> mChain;
  /** Filters for requests that are forwarded unchanged. */
  std::shared_ptr<const filter_chain> mForwardChain;
  /** Filters for the subqueries of other entry hosts. */
  std::shared_ptr<const filter_chain> mSubqueryChain;
  std::unique_ptr<subquery_service> mSubqueryService;
  std::atomic<std::size_t> mRunningSubqueries{ 0 };
  condition_waiter mStopWaiter;
  /** The clients of all listeners of this process. */
  std::shared_ptr<client_controller> mClients;
  /** The bodies of requests that are being received, on all listeners. */
  std::shared_ptr<transfer_controller> mRequestBodies;
  /** Receives the requests of callers, for `mChain`. */
  std::unique_ptr<http_server> mCallerListener;
  std::unique_ptr<http_server> mAnnounceListener;
  /** Receives the requests of the platform's clients, for `mForwardChain`. */
  std::unique_ptr<http_server> mClientListener;
  std::unique_ptr<http_server> mReadinessListener;
  std::unique_ptr<http_server> mDirectoryListener;
  std::unique_ptr<watch_client> mWatch;
  steady_time mStartedAt = SteadyNow();
  std::atomic<bool> mIsLeaving{ false };
  std::atomic<bool> mIsStopping{ false };
  std::atomic<std::uint64_t> mNextId{ 1 };
  /** Number of the last refusal that each control host has stored. */
  std::map<host_id, std::uint64_t> mLastStoredRefusal;
  /** Term of the leader that has all counts of rollouts; used by one task. */
  std::uint64_t mRolloutTerm = 0;
  std::atomic<steady_time::rep> mNextCrashReportAt{ 0 };
  std::atomic<steady_time::rep> mNextSuspicionLiftAt{ 0 };

  entry_role(boost::asio::io_context& aContext,
             settings aSettings,
             incarnation_number aIncarnation,
             control_client aClient,
             std::shared_ptr<client_controller> aClients);

  void SetUpBackendClient();
  void SetUpChain();
  void SetUpForwardChain();
  result<void, role_error> SetUpSubqueries();
  result<void, role_error> SetUpListeners();
  result<void, role_error> SetUpAnnounceListener();
  result<void, role_error> SetUpPlatform();
  /** Common configuration of the listeners for callers and for clients. */
  http_server_config CallersConfig(const std::string& aAddress);
  result<void, role_error> StartPlatformListener(
    std::unique_ptr<http_server>& aListener,
    http_server_config aConfig,
    http_handler aHandler);
  void SetUpWatch();
  void StartPeriodicTasks();

  [[nodiscard]] caller_key_hooks CallerKeyHooks() const;
  [[nodiscard]] authenticate_hooks AuthenticateHooks();
  [[nodiscard]] claim_hooks ClaimHooks();
  [[nodiscard]] quarantine_hooks QuarantineHooks();
  [[nodiscard]] quarantine_hooks ForwardQuarantineHooks();
  [[nodiscard]] scatter_hooks ScatterHooks();
  [[nodiscard]] scatter_hooks ForwardHooks();
  [[nodiscard]] admit_hooks ForwardAdmitHooks();
  [[nodiscard]] subquery_hooks SubqueryHooks();
  /** Why a subquery may not be sent for its team; empty if it may be. */
  std::string_view KeyRefusal(const subquery& aSubquery,
                              const route_table& aRoutes);
  /** Starts a subquery of another host; returns a function that cancels it. */
  std::function<void()> StartSubquery(subquery aSubquery,
                                      subquery_callback aCallback);
  /** Priority of the route of a subquery; 0 if it isn't known. */
  [[nodiscard]] std::uint32_t PriorityOf(const subquery& aSubquery) const;
  boost::asio::awaitable<void> RunSubquery(
    subquery aSubquery,
    std::shared_ptr<caller_status> aCaller,
    subquery_callback aCallback);
  [[nodiscard]] quota_config QuotaConfig() const;
  [[nodiscard]] quota_hooks QuotaHooks();
  [[nodiscard]] quota_filter_hooks QuotaFilterHooks();
  [[nodiscard]] quota_client_hooks QuotaClientHooks();
  /** Reports to the owners of quotas after a short while. */
  void ReportQuotasSoon();
  boost::asio::awaitable<void> ReportQuotas();
  boost::asio::awaitable<void> SendQuotaReport(quota_message aMessage);
  /** Asks an owner in whose place this host was asked. */
  boost::asio::awaitable<void> ProbeQuotaOwner(quota_message aMessage);
  boost::asio::awaitable<void> SendQuotaNotice(quota_notice_message aMessage);
  [[nodiscard]] server_lease_hooks ServerLeaseHooks();
  [[nodiscard]] std::optional<budget_limits> SharedBudget(
    steady_time aNow) const;
  /** True while this host may forward requests unchanged. */
  [[nodiscard]] bool MayForward(steady_time aNow) const;
  [[nodiscard]] entry_host_record OwnRecord() const;
  [[nodiscard]] std::vector<entry_host_record> ListEntryHosts(
    const failure_domain_id& aNearby) const;
  request_id NewId(std::string_view aKind);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] steady_time StopListeningAt(steady_time aNow) const;

  /** Looks for forwarded requests that crashed servers, and records them. */
  boost::asio::awaitable<void> RecordCrashes();
  boost::asio::awaitable<void> ProbeServer(due_probe aProbe);
  [[nodiscard]] server_fate FateOf(const server_start& aStart) const;
  /** Ends the suspicion of a request that was answered, now and then. */
  void LiftSuspicion(const fingerprint_id& aFingerprint, steady_time aNow);
  /** The same for all requests that were answered here of late. */
  void LiftSuspicions(steady_time aNow);
  /** A forwarded request was answered, so it is not what crashed servers. */
  void OnForwardAnswered(const fingerprint_id& aFingerprint);
  boost::asio::awaitable<crash_verdict> ReportCrash(crash_report aReport);
  boost::asio::awaitable<trial_verdict> RequestTrial(request_context& aRequest);
  boost::asio::awaitable<bool> WaitForIndex(log_index aIndex,
                                            steady_time aDeadline);
  void RecordInBackground(claim_record aClaim);
  boost::asio::awaitable<void> RecordWithRetries(claim_record aClaim);
  void RemoveQuarantine(const fingerprint_id& aFingerprint);
  void MarkServerCold(const server_id& aServer);
  /** Proposes a change of which the outcome doesn't matter here. */
  boost::asio::awaitable<void> ProposeOnce(record_change aChange,
                                           std::optional<log_index> aVersion);
  boost::asio::awaitable<void> RecordLeave();
  void StopListeners();

  boost::asio::awaitable<void> CloseSurplusConnections();
  boost::asio::awaitable<void> ReplicateRefusals();
  /** Sends the counts of running rollouts to the leader. */
  boost::asio::awaitable<void> ReportRollouts();

public:
  entry_role(const entry_role&) = delete;
  entry_role& operator=(const entry_role&) = delete;

  static result<std::unique_ptr<entry_role>, role_error> Create(
    boost::asio::io_context& aContext,
    const settings& aSettings,
    std::shared_ptr<client_controller> aClients);

  /** True while no control host has confirmed this host's state of late. */
  [[nodiscard]] bool IsOutOfTouch() const;
  /** Adds seeds, the control hosts through which this host finds the others. */
  void SetSeeds(const std::map<host_id, std::string>& aSeeds);

  /**
   * Removes this host from the list of entry hosts, keeps serving while callers
   * may still have an old list, drains running requests and stops. Blocks until
   * stopped.
   */
  void Stop();
};

}
