#pragma once

#include "decisions/state/records.h"
#include "filters/request_context.h"

#include <string>

namespace hibiscusspool {

/** The response to a query or a run that was not refused. */
std::string
EncodeResponse(const request_context& aRequest);

std::string
EncodeRefusal(const refusal& aRefusal);

/** The list of entry hosts and how long a caller may cache it. */
std::string
EncodeEntryHosts(const std::vector<entry_host_record>& aHosts,
                 milliseconds aTtl);

/** An API error that is not a refusal of a request. */
std::string
EncodeError(std::string_view aCode, std::string_view aDetail);

}
