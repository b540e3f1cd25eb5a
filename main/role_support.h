#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "drivers/http_server.h"
#include "main/role_error.h"
#include "settings/settings.h"

#include <map>
#include <memory>
#include <string>

namespace hibiscusspool {

/** The present wall-clock time, for records. */
wall_ms
WallNow();

/** The present steady time, for decisions. */
steady_time
SteadyNow();

/** A list of addresses from the settings, by host. */
std::map<host_id, std::string>
ToHosts(const host_address_map& aAddresses);

/** The control hosts to begin with, as the settings name or seed them. */
std::map<host_id, std::string>
ControlHosts(const settings& aSettings);

/** Starts to listen; the error names the address. */
result<std::unique_ptr<http_server>, role_error>
StartHttpServer(boost::asio::io_context& aContext,
                http_server_config aConfig,
                http_handler aHandler);

/** A number that no other run of a host has drawn. */
incarnation_number
NewIncarnation();

}
