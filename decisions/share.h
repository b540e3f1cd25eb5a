#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace hibiscusspool {

/** A server and how many units of something it has for all hosts. */
struct server_capacity
{
  server_id mServer;
  std::uint32_t mUnits = 0;
};

/**
 * How many units of each server of one service this host may use. Each
 * server's units are divided evenly; what is left over goes to the hosts that
 * have the fewest left-over units of this service so far, by rank in a
 * rendezvous hash among equals. So the sum over all hosts is just the
 * server's units, no host of a service has over one unit more than another,
 * and a change of hosts or servers moves little.
 * `aServers` and `aHosts` must be in the same order everywhere.
 */
std::vector<std::uint32_t>
AllocateShares(const std::vector<server_capacity>& aServers,
               const std::vector<host_id>& aHosts,
               const host_id& aSelf);

/**
 * One host's share of one server. A share that shrinks does so at once. One
 * that grows may be used only after the hand-over, when whoever had it before
 * has learnt of the loss or stopped taking work, and has finished.
 */
class server_share
{
  struct gain
  {
    std::uint32_t mUnits = 0;
    steady_time mUsableAt;
  };

  std::uint32_t mUsable = 0;
  std::vector<gain> mGains;

public:
  /** Sets what the present view grants; gains wait for the hand-over. */
  void SetTarget(std::uint32_t aUnits,
                 steady_time aNow,
                 milliseconds aHandOver);
  /** Sets what is granted of a server that no host has used before. */
  void SetInitial(std::uint32_t aUnits);
  [[nodiscard]] std::uint32_t Usable(steady_time aNow) const;
  /** True while some gain waits for its hand-over. */
  [[nodiscard]] bool HasPendingIncrease(steady_time aNow) const;
};

}
