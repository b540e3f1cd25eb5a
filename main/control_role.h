#pragma once

#include "controllers/control_group.h"
#include "controllers/rollout_controller.h"
#include "controllers/stall_controller.h"
#include "controllers/watch_hub.h"
#include "decisions/group/membership.h"
#include "decisions/group/membership_news.h"
#include "decisions/rollout/rollout_step.h"
#include "drivers/control_client.h"
#include "drivers/control_service.h"
#include "drivers/http_server.h"
#include "drivers/raft_storage.h"
#include "drivers/raft_transport.h"
#include "drivers/refusal_store.h"
#include "main/condition_waiter.h"
#include "main/role_error.h"
#include "main/server_lease_manager.h"
#include "platform/control_api.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

namespace hibiscusspool {

/** Runs a control host: its replica of the log and its network interfaces. */
class control_role
{
  boost::asio::io_context& mContext;
  /** Failure domains of the members of the group, as far as known. */
  sharded_map<host_id, failure_domain_id> mHostDomains;
  settings mSettings;
  /** A damaged log is kept beside the current one: this host had a group, and
   * must not form one. */
  bool mHasDamagedLog;
  raft_storage mStorage;
  /** Why the latest write failed, or empty if it succeeded; used only by the
   * group thread. */
  std::string mLastStorageError;
  refusal_store mRefusals;
  raft_transport mTransport;
  control_client mClient;
  rollout_controller mRollouts;
  std::unique_ptr<control_group> mGroup;
  std::unique_ptr<watch_hub> mHub;
  std::unique_ptr<control_service> mService;
  /** The clients of all listeners of this process. */
  std::shared_ptr<client_controller> mClients;
  std::unique_ptr<http_server> mOperatorListener;
  std::unique_ptr<http_server> mPlatformListener;
  server_lease_manager mServerLeases;
  condition_waiter mStopWaiter;
  membership mMembership;
  /** What of the proposed changes has not been logged yet. */
  membership_news mMembershipNews;
  /** Tells how long requests may have waited unread. */
  stall_controller mStalls;
  std::thread mGroupThread;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<std::uint64_t> mNextChangeNumber{ 1 };

  control_role(boost::asio::io_context& aContext,
               settings aSettings,
               raft_storage aStorage,
               refusal_store aRefusals,
               control_client aClient);

  /** As `Create`, for a data folder that is not damaged. */
  static result<std::unique_ptr<control_role>, role_error> Open(
    boost::asio::io_context& aContext,
    const settings& aSettings,
    const std::shared_ptr<client_controller>& aClients);
  result<void, role_error> SetUpGroup();
  result<void, role_error> SetUpService();
  result<void, role_error> SetUpOperators();
  result<void, role_error> SetUpPlatform();
  server_lease_hooks ServerLeaseHooks();
  platform::control_api_hooks PlatformHooks();
  /** The leader's latest heartbeat round, as this host knows it. */
  [[nodiscard]] leader_round LatestRound() const;
  /** No leader reaches this host, so that it can't pass anything on. */
  [[nodiscard]] bool IsCutOff() const;
  /** The earliest time, by the steady clock, at which a request may have
   * arrived that is read now; nothing if that may be before a stall. */
  std::optional<steady_time> EarliestArrival();
  boost::asio::awaitable<bool> ConfirmRead(steady_time aDeadline);
  /** The source text of the active configuration, if there is one. */
  [[nodiscard]] std::optional<std::string> ConfigurationDocument() const;
  /** The configured profile of a service, or the default profile. */
  [[nodiscard]] service_profile Profile(const service_id& aService) const;
  void StartPeriodicTasks();
  /** Logs a failed write; returns true if the write succeeded. */
  bool CheckWrite(const result<void, storage_error>& aResult);
  control_group_hooks GroupHooks();
  watch_hub_hooks HubHooks();
  boost::asio::awaitable<void> Tick();
  boost::asio::awaitable<void> BootstrapGroup();
  /** Closes the channels to hosts that are no longer members. */
  void CloseFormerLinks(const control_group_status& aStatus);
  boost::asio::awaitable<void> UpdateMembership();
  /** Asks members for their failure domains, until they are known. */
  boost::asio::awaitable<void> LearnFailureDomains();
  boost::asio::awaitable<std::optional<std::vector<record_change>>>
  ConfirmedRecords(steady_time aDeadline);
  [[nodiscard]] exposure_limits ExposureLimits() const;
  /** The number of services by the state of their latest rollout. */
  [[nodiscard]] std::map<rollout_state, std::size_t> CountRollouts() const;
  /** Takes the time of an applied record and logs starts and ends. */
  void ObserveRollout(const rollout_record& aRecord);
  [[nodiscard]] std::vector<rollout_record> RunningRollouts() const;
  rollout_receipt AddRolloutReports(
    const std::vector<rollout_report>& aReports);
  /** What the leader proposes for a running rollout, if anything. */
  std::optional<rollout_record> NextRolloutStep(const rollout_record& aRecord);
  boost::asio::awaitable<void> StepRollouts();
  /** The latest rollout of a service. The outer nullopt means that the read was
   * not confirmed, the inner that there is none. */
  boost::asio::awaitable<std::optional<std::optional<rollout_record>>>
  ReadRollout(service_id aService, steady_time aDeadline);
  [[nodiscard]] std::vector<host_id> GroupHosts() const;
  /** The client, told of the leader that this host's group follows. */
  control_client& Client();

public:
  control_role(const control_role&) = delete;
  control_role& operator=(const control_role&) = delete;

  /** Creates and starts the role. A damaged log is kept aside, and the host
   * joins its group as one with a new disk. */
  static result<std::unique_ptr<control_role>, role_error> Create(
    boost::asio::io_context& aContext,
    const settings& aSettings,
    const std::shared_ptr<client_controller>& aClients);

  /** True while no leader is known. */
  [[nodiscard]] bool IsOutOfTouch() const;
  /** Replaces the seeds, the hosts through which this one finds its group. */
  void SetSeeds(const std::map<host_id, std::string>& aSeeds);
  /** Transfers leadership and stops; blocks until stopped. */
  void Stop();
};

}
