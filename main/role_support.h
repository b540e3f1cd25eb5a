#pragma once

#include "controllers/client_controller.h"
#include "core/clock.h"
#include "core/ids.h"
#include "drivers/http_server.h"
#include "main/role_error.h"
#include "settings/settings.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusspool {

/** The current wall-clock time, for records. */
wall_ms
WallNow();

/** The current monotonic time, for decisions. */
steady_time
SteadyNow();

/** The steady time plus the time for which the machine was suspended. */
steady_time
ElapsedNow();

/** Converts host addresses from the settings to a map by host id. */
std::map<host_id, std::string>
ToHostMap(const host_address_map& aAddresses);

/** The initial control hosts and their addresses, from the settings. */
std::map<host_id, std::string>
ControlHosts(const settings& aSettings);

/** Logs which settings were replaced since their values can't be used. */
void
LogRepairs(const std::vector<setting_repair>& aRepairs);

/** What the clients of all listeners of this process may hold. */
client_limits
ClientLimits(const settings& aSettings);

/** Makes a listener share the limits of all listeners of this process. */
void
ShareClientLimits(const settings& aSettings,
                  const std::shared_ptr<client_controller>& aClients,
                  http_server_config& aConfig);

/** Creates a listening HTTP server; an error names the address. */
result<std::unique_ptr<http_server>, role_error>
StartHttpServer(boost::asio::io_context& aContext,
                http_server_config aConfig,
                http_handler aHandler);

/** Draws a random number that identifies one incarnation of a host. */
incarnation_number
NewIncarnation();

}
