#include "main/role_support.h"

#include "core/address.h"
#include "core/log_event.h"
#include "drivers/suspended_time.h"

#include <algorithm>
#include <random>

#include <sys/resource.h>

namespace hibiscusspool {

namespace {

/** Memory of the smallest machine that runs a host. */
constexpr std::uint64_t kDefaultMemoryMb = 112;
constexpr std::uint64_t kBytesPerMb = 1'000'000;
/** Clients may hold a fifth of the memory, which takes up to twice as much of
 * the heap. The process itself takes a quarter of the smallest machine. */
constexpr std::uint64_t kMemoryParts = 5;
/** Clients may hold three quarters of the descriptors. The others are for
 * backend servers, other hosts and the disk. */
constexpr std::uint64_t kDescriptorQuarters = 3;
/** Used if the process may open any number of descriptors. */
constexpr std::uint64_t kDefaultDescriptors = 1 << 20;

std::uint64_t
MaxDescriptors(const settings& aSettings)
{
  if (aSettings.mHostMaxDescriptors > 0) {
    return static_cast<std::uint64_t>(aSettings.mHostMaxDescriptors);
  }
  rlimit limit{};
  bool isLimited =
    getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return isLimited ? limit.rlim_cur : kDefaultDescriptors;
}

}

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

client_limits
ClientLimits(const settings& aSettings)
{
  client_limits limits;
  auto memory = static_cast<std::uint64_t>(aSettings.mHostMemoryMb);
  bool isKnown = memory > 0;
  limits.mMaxBytes =
    (isKnown ? memory : kDefaultMemoryMb) * kBytesPerMb / kMemoryParts;
  // Who lets an entry host hold more than by default has the memory for it.
  bool isRaised = aSettings.mEntryMaxHeldBytes > settings{}.mEntryMaxHeldBytes;
  if (!isKnown && isRaised) {
    limits.mMaxBytes =
      std::max(limits.mMaxBytes,
               static_cast<std::uint64_t>(aSettings.mEntryMaxHeldBytes));
  }
  limits.mMaxConnections = std::max<std::uint64_t>(
    1, MaxDescriptors(aSettings) * kDescriptorQuarters / 4);
  return limits;
}

void
ShareClientLimits(const settings& aSettings,
                  const std::shared_ptr<client_controller>& aClients,
                  http_server_config& aConfig)
{
  aConfig.mClients = aClients;
  aConfig.mMaxHeaderFields =
    static_cast<std::size_t>(aSettings.mHostMaxHeaderFields);
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
