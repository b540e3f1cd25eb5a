#pragma once

#include "core/address.h"
#include "core/ids.h"

#include <map>
#include <optional>
#include <string>

namespace hibiscusspool {

/**
 * The `ip:port` of a control host: as the settings name it, or its id where
 * hosts are named by their addresses and learned from others.
 */
inline std::optional<std::string>
AddressOf(const std::map<host_id, std::string>& aNamed, const host_id& aHost)
{
  auto found = aNamed.find(aHost);
  if (found != aNamed.end()) {
    return found->second;
  }
  if (ParseAddress(aHost.mValue)) {
    return aHost.mValue;
  }
  return std::nullopt;
}

}
