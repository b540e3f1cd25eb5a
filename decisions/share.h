#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace hibiscusspool {

/**
 * How many of a server's units this host may use. The units are divided
 * evenly, and what is left over goes by rank in a rendezvous hash, so that
 * the sum over all hosts is just `aUnits` and a change of hosts moves little.
 */
std::uint32_t
ShareOf(const server_id& aServer,
        std::uint32_t aUnits,
        const std::vector<host_id>& aHosts,
        const host_id& aSelf);

/**
 * One host's share of one server. A share that shrinks does so at once. One
 * that grows may be used only after the hand-over, when whoever had it before
 * has learnt of the loss or stopped taking work, and has finished.
 */
class share_holder
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
  void SetFresh(std::uint32_t aUnits);
  [[nodiscard]] std::uint32_t Usable(steady_time aNow) const;
  /** True while some gain waits for its hand-over. */
  [[nodiscard]] bool HasGain(steady_time aNow) const;
};

}
