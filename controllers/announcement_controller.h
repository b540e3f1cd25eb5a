#pragma once

#include "core/sharded_map.h"
#include "decisions/state/announcement.h"

#include <vector>

namespace hibiscusspool {

/**
 * Leases of the servers that announce themselves at this entry host, which is
 * their lease holder. A lease that is not renewed in time expires.
 */
class announcement_controller
{
  milliseconds mLeaseDuration;
  sharded_map<server_id, steady_time> mRenewedAt;

public:
  explicit announcement_controller(milliseconds aLeaseDuration)
    : mLeaseDuration(aLeaseDuration)
  {
  }

  void Renew(const server_id& aServer, steady_time aNow);
  void Drop(const server_id& aServer);
  /**
   * Starts a lease for each server that names this host as its lease holder
   * but has no lease here, as after a restart of this host.
   */
  void StartMissingLeases(const std::vector<server_id>& aLeasedServers,
                          steady_time aNow);
  /** Removes and returns the servers whose lease has expired. */
  std::vector<server_id> TakeExpired(steady_time aNow);
};

}
