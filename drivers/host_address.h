#pragma once

#include "core/address.h"
#include "core/ids.h"

#include <map>
#include <optional>
#include <string>

namespace hibiscusspool {

/**
 * Returns the `ip:port` of a control host: the configured address or, for a
 * host that was discovered through others and is named by its address, its id.
 */
inline std::optional<std::string>
AddressOf(const std::map<host_id, std::string>& aConfigured,
          const host_id& aHost)
{
  auto found = aConfigured.find(aHost);
  if (found != aConfigured.end()) {
    return found->second;
  }
  if (ParseAddress(aHost.mValue)) {
    return aHost.mValue;
  }
  return std::nullopt;
}

}
