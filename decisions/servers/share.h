#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hibiscusspool {

/** The units of a server, such as connections or slots, for all hosts. */
struct server_capacity
{
  server_id mServer;
  std::uint32_t mUnits = 0;
  failure_domain_id mFailureDomain{};
};

/** A host among which the units of servers are divided. */
struct share_holder
{
  host_id mHost;
  failure_domain_id mFailureDomain;

  auto operator<=>(const share_holder&) const = default;
};

/**
 * Divides the units of servers among hosts. All hosts that know the same hosts
 * and servers compute the same shares, each only its own.
 *
 * Each server's units are divided evenly. The remainder goes first to the hosts
 * of the server's failure domain, then to an arc of the ring of all other
 * hosts. The arcs of a service's servers start at equal distances, so that the
 * hosts without a server in their own domain get about the same number of
 * units of the service, and a change of hosts moves few units. The cost for
 * one server does not depend on the number of hosts.
 */
class share_ring
{
  struct segment
  {
    std::size_t mBegin = 0;
    std::size_t mCount = 0;
  };

  std::size_t mHostCount = 0;
  /** The hosts of each failure domain, which are neighbours on the ring. */
  std::map<failure_domain_id, segment> mSegments;
  /** Position of this host on the ring; nothing if it is not on it. */
  std::optional<std::size_t> mOwnPosition;
  failure_domain_id mOwnDomain;

  [[nodiscard]] bool HasRemainderUnit(const server_capacity& aServer,
                                      std::size_t aRemainder,
                                      double aArcStart) const;

public:
  /** An empty ring gives every host no units. */
  share_ring() = default;
  static share_ring Create(std::vector<share_holder> aHosts,
                           const host_id& aSelf);

  [[nodiscard]] std::size_t HostCount() const { return mHostCount; }
  /** This host's units of each server of one service. `aServers` must be in the
   * same order on all hosts. */
  [[nodiscard]] std::vector<std::uint32_t> Allocate(
    const service_id& aService,
    const std::vector<server_capacity>& aServers) const;
};

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
