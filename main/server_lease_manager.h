#pragma once

#include "controllers/announcement_controller.h"
#include "decisions/change.h"
#include "drivers/announce_api.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace hibiscusspool {

struct server_lease_hooks
{
  std::function<steady_time()> mNow;
  /** True while this host may vouch for servers. */
  std::function<bool(steady_time)> mMayHoldLeases;
  std::function<std::optional<server_record>(const server_id&)> mFindServer;
  /** Servers that name this host as their sponsor and are not gone. */
  std::function<std::vector<server_id>()> mLeasedServers;
  std::function<boost::asio::awaitable<std::optional<
    change_outcome>>(record_change, std::optional<log_index>, steady_time)>
    mPropose;
  /** Waits until this host has applied the log up to an index. */
  std::function<boost::asio::awaitable<bool>(log_index, steady_time)>
    mWaitForIndex;
};

/**
 * Holds the leases of the servers that announce themselves at this host, and
 * puts into the log what others must know of them.
 */
class server_lease_manager
{
  host_id mSelf;
  announcement_controller mLeases;
  server_lease_hooks mHooks;

  boost::asio::awaitable<announce_result> Record(
    server_record aRecord,
    std::optional<log_index> aVersion);

public:
  server_lease_manager(host_id aSelf,
                       milliseconds aLapse,
                       server_lease_hooks aHooks)
    : mSelf(std::move(aSelf))
    , mLeases(aLapse)
    , mHooks(std::move(aHooks))
  {
  }

  /** Takes what a server says of itself. */
  boost::asio::awaitable<announce_result> HandleAnnouncement(
    server_record aRecord);
  /** Takes a server's word that it goes. */
  boost::asio::awaitable<announce_result> HandleLeave(server_id aServer);
  /** Records servers as gone whose leases have lapsed. */
  boost::asio::awaitable<void> ExpireLeases();
};

}
