#pragma once

#include "core/sharded_map.h"
#include "decisions/announcement.h"

#include <vector>

namespace hibiscusspool {

/**
 * The leases of the servers that announce themselves at this entry host,
 * their sponsor. A lease that is not renewed in time lapses.
 */
class announcement_controller
{
  milliseconds mLapse;
  sharded_map<server_id, steady_time> mRenewedAt;

public:
  explicit announcement_controller(milliseconds aLapse)
    : mLapse(aLapse)
  {
  }

  void Renew(const server_id& aServer, steady_time aNow);
  void Drop(const server_id& aServer);
  /**
   * Takes over servers that name this host as their sponsor but hold no lease
   * here, as after a restart: they have one lapse to renew.
   */
  void Adopt(const std::vector<server_id>& aSponsored, steady_time aNow);
  /** The servers whose lease has lapsed; they are dropped. */
  std::vector<server_id> TakeExpired(steady_time aNow);
};

}
