#pragma once

#include "decisions/servers/announced_rate.h"
#include "filters/forwarded_message.h"

#include <string_view>

namespace hibiscusspool {

/** Requests per second above which a limit is cut to this one. */
constexpr double kMaxAnnouncedRate = 1e6;

/**
 * Reads the header field in which a server gives the requests per second that
 * it takes: a decimal number without an exponent. Of several numbers, the
 * lowest counts. A field without any number is malformed.
 */
rate_notice
ReadRateField(const server_response& aResponse, std::string_view aName);

}
