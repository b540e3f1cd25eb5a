#pragma once

#include "controllers/announcement_controller.h"
#include "decisions/state/change.h"
#include "drivers/announce_api.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace hibiscusspool {

struct server_lease_hooks
{
  std::function<steady_time()> mNow;
  /** True while this host may hold leases of servers. */
  std::function<bool(steady_time)> mMayHoldLeases;
  std::function<std::optional<server_record>(const server_id&)> mFindServer;
  /** Servers that are not gone and whose lease holder is this host. */
  std::function<std::vector<server_id>()> mLeasedServers;
  std::function<boost::asio::awaitable<std::optional<
    change_outcome>>(record_change, std::optional<log_index>, steady_time)>
    mPropose;
  /** Waits until this host has applied the log up to an index or the deadline
   * passes. */
  std::function<boost::asio::awaitable<bool>(log_index, steady_time)>
    mWaitForIndex;
};

/**
 * Holds the leases of the backend servers that announce themselves at this
 * host, and records their state transitions in the replicated log.
 */
class server_lease_manager
{
  host_id mSelf;
  announcement_controller mLeases;
  server_lease_hooks mHooks;

  /** True if this host may hold leases now or after a pause. */
  boost::asio::awaitable<bool> AwaitPermission();
  boost::asio::awaitable<announce_result> Record(
    server_record aRecord,
    std::optional<log_index> aVersion);

public:
  server_lease_manager(host_id aSelf,
                       milliseconds aLeaseDuration,
                       server_lease_hooks aHooks)
    : mSelf(std::move(aSelf))
    , mLeases(aLeaseDuration)
    , mHooks(std::move(aHooks))
  {
  }

  /** Handles a server's announcement. */
  boost::asio::awaitable<announce_result> HandleAnnouncement(
    server_record aRecord);
  /** Handles a server's notice that it leaves. */
  boost::asio::awaitable<announce_result> HandleLeave(server_id aServer);
  /** Records servers with expired leases as gone. */
  boost::asio::awaitable<void> ExpireLeases();
};

}
