#pragma once

#include "controllers/control_group.h"
#include "controllers/watch_hub.h"
#include "decisions/membership.h"
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

/** A control host: its part of the replicated log and the edges around it. */
class control_role
{
  boost::asio::io_context& mContext;
  settings mSettings;
  raft_storage mDisk;
  /** Why the latest write failed, or empty; the group's thread alone uses it.
   */
  std::string mDiskCause;
  refusal_store mRefusals;
  raft_transport mTransport;
  control_client mClient;
  std::unique_ptr<control_group> mGroup;
  std::unique_ptr<watch_hub> mHub;
  std::unique_ptr<control_service> mService;
  std::unique_ptr<http_server> mOperators;
  std::unique_ptr<http_server> mPlatformControl;
  server_lease_manager mSponsor;
  condition_waiter mStopGate;
  membership mMembership;
  std::thread mThread;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<bool> mHasFailed{ false };
  std::atomic<std::uint64_t> mNextChange{ 1 };

  control_role(boost::asio::io_context& aContext,
               settings aSettings,
               raft_storage aDisk,
               refusal_store aRefusals,
               control_client aClient);

  result<void, role_error> SetUpGroup(std::function<void()> aOnFailure);
  result<void, role_error> SetUpService();
  result<void, role_error> SetUpOperators();
  result<void, role_error> SetUpPlatform();
  server_lease_hooks ServerLeaseHooks();
  platform::control_api_hooks PlatformHooks();
  boost::asio::awaitable<bool> ConfirmRead(steady_time aDeadline);
  /** The text of the configuration in force, if one was ever put. */
  [[nodiscard]] std::optional<std::string> Document() const;
  /** A service as it is configured, or the default. */
  [[nodiscard]] service_profile Profile(const service_id& aService) const;
  void StartLoops();
  /** Logs a write that failed; true when it succeeded. */
  bool NoteDisk(const result<void, storage_error>& aDone);
  control_group_hooks GroupHooks();
  boost::asio::awaitable<void> FormGroup();
  boost::asio::awaitable<void> TendMembership();
  boost::asio::awaitable<std::optional<std::vector<record_change>>>
  ConfirmedRecords(steady_time aDeadline);
  [[nodiscard]] std::vector<host_id> GroupHosts() const;

public:
  control_role(const control_role&) = delete;
  control_role& operator=(const control_role&) = delete;

  /** Sets the role up and starts it; `aOnFailure` is called if it dies. */
  static result<std::unique_ptr<control_role>, role_error> Create(
    boost::asio::io_context& aContext,
    const settings& aSettings,
    std::function<void()> aOnFailure);

  /** Hands leadership over and stops; blocks until it has. */
  void Stop();
};

}
