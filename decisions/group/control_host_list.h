#pragma once

#include "core/ids.h"

#include <cstddef>
#include <set>
#include <vector>

namespace hibiscusspool {

/**
 * The control hosts that a client may ask, those named last first. Hosts are
 * replaced by others at new addresses, so that those named longest ago are
 * forgotten once there are too many.
 */
class control_host_list
{
  /** Never forgotten. */
  std::set<host_id> mConfigured;
  /** Every known host, the one named last first. */
  std::vector<host_id> mOrder;

public:
  /** Maximum number of hosts, unless more are configured. */
  static constexpr std::size_t kMaxHosts = 32;

  static control_host_list Create(std::set<host_id> aConfigured);

  /** This host was named as a control host; true if it was not known. */
  bool Learn(const host_id& aHost);
  [[nodiscard]] bool Contains(const host_id& aHost) const;
  /** The host for a try, in rotation; empty while none is known. */
  [[nodiscard]] host_id At(std::size_t aTry) const;
  /** All hosts by name. */
  [[nodiscard]] std::vector<host_id> Hosts() const;
};

}
