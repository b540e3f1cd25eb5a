#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace hibiscusspool {

/** The units of a server, such as connections or slots, for all hosts. */
struct server_capacity
{
  server_id mServer;
  std::uint32_t mUnits = 0;
};

/**
 * Computes how many units of each server of one service this host may use.
 * Each server's units are divided evenly among the hosts. The remainder goes to
 * the hosts that have the least of this service's remainders so far; ties are
 * broken by a rendezvous hash. So the shares of all hosts add up to the
 * server's units, the totals of any two hosts over the service differ by at
 * most one unit, and a change of hosts or servers moves few units.
 * `aServers` and `aHosts` must be in the same order on all hosts.
 */
std::vector<std::uint32_t>
AllocateShares(const std::vector<server_capacity>& aServers,
               const std::vector<host_id>& aHosts,
               const host_id& aSelf);

/**
 * One host's share of one server. A decrease takes effect immediately. An
 * increase takes effect after the handover delay: by then, the previous owner
 * has learnt of its decrease or stopped accepting work, and has finished what
 * it had started.
 */
class server_share
{
  struct pending_increase
  {
    std::uint32_t mUnits = 0;
    steady_time mUsableAt;
  };

  std::uint32_t mUsable = 0;
  std::vector<pending_increase> mPendingIncreases;

public:
  /** Sets the share for the current hosts; increases wait for the handover. */
  void SetTarget(std::uint32_t aUnits,
                 steady_time aNow,
                 milliseconds aHandoverDelay);
  /** Sets the share of a server that no host has used before. */
  void SetInitial(std::uint32_t aUnits);
  [[nodiscard]] std::uint32_t Usable(steady_time aNow) const;
  /** True while an increase waits for its handover. */
  [[nodiscard]] bool HasPendingIncrease(steady_time aNow) const;
};

}
