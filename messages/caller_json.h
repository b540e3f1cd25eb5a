#pragma once

#include "decisions/records.h"
#include "filters/request_context.h"

#include <string>

namespace hibiscusspool {

/** The answer to a query or a run that was not refused. */
std::string
EncodeAnswer(const request_context& aRequest);

std::string
EncodeRefusal(const refusal& aRefusal);

/** The list of entry hosts and how long a caller may keep it. */
std::string
EncodeEntryHosts(const std::vector<entry_host_record>& aHosts,
                 milliseconds aKeepFor);

/** An error of a front that is no refusal of a request. */
std::string
EncodeError(std::string_view aCode, std::string_view aDetail);

}
