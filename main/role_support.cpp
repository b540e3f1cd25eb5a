#include "main/role_support.h"

namespace hibiscusspool {

wall_ms
WallNow()
{
  return ToWallMs(std::chrono::system_clock::now());
}

steady_time
SteadyNow()
{
  return std::chrono::steady_clock::now();
}

std::map<host_id, std::string>
ToHosts(const address_list& aAddresses)
{
  std::map<host_id, std::string> hosts;
  for (const auto& [name, address] : aAddresses) {
    hosts[host_id{ name }] = address;
  }
  return hosts;
}

}
