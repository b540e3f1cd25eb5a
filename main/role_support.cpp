#include "main/role_support.h"

#include "core/address.h"
#include "core/log_event.h"
#include "drivers/suspended_time.h"

#include <random>

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

steady_time
ElapsedNow()
{
  return SteadyNow() + SuspendedTime();
}

std::map<host_id, std::string>
ToHostMap(const host_address_map& aAddresses)
{
  std::map<host_id, std::string> hosts;
  for (const auto& [name, address] : aAddresses) {
    hosts[host_id{ name }] = address;
  }
  return hosts;
}

std::map<host_id, std::string>
ControlHosts(const settings& aSettings)
{
  if (!aSettings.IsOnPlatform()) {
    return ToHostMap(aSettings.IsEntry() ? aSettings.mEntryControlHosts
                                         : aSettings.mControlMembers);
  }
  std::map<host_id, std::string> hosts;
  for (const std::string& seed : aSettings.mPlatformSeeds) {
    auto parsed = ParseAddress(seed);
    if (!parsed) {
      continue;
    }
    // On the platform, the ids of control hosts are their addresses.
    std::string address =
      parsed->mIp + ":" + std::to_string(aSettings.mPlatformControlPort);
    hosts[host_id{ address }] = address;
  }
  return hosts;
}

void
LogRepairs(const std::vector<setting_repair>& aRepairs)
{
  for (const setting_repair& repair : aRepairs) {
    log_event("setting_replaced", log_event::severity::Error)
      .Add("setting", repair.mKey)
      .Add("value", repair.mText)
      .Add("used", repair.mUsed);
  }
}

result<std::unique_ptr<http_server>, role_error>
StartHttpServer(boost::asio::io_context& aContext,
                http_server_config aConfig,
                http_handler aHandler)
{
  auto listener =
    http_server::Create(aContext, std::move(aConfig), std::move(aHandler));
  if (!listener) {
    return Fail(role_error::CannotListen, listener.error().mDetail);
  }
  return std::make_unique<http_server>(std::move(listener.value()));
}

incarnation_number
NewIncarnation()
{
  std::random_device device;
  constexpr unsigned kWordBits = 32;
  incarnation_number high = device();
  // Zero means that there is no incarnation, so the lowest bit is always set.
  return ((high << kWordBits) | device()) | 1U;
}

}
