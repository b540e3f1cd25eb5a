#pragma once

#include "core/clock.h"
#include "decisions/servers/crash_suspects.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace hibiscusspool {

/** Connects to an `ip:port` and closes the connection again. */
boost::asio::awaitable<connect_result>
ProbeConnection(std::string aAddress, milliseconds aTimeout);

}
