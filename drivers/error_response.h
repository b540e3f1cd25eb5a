#pragma once

#include "drivers/http_server.h"

#include <string_view>

namespace hibiscusspool {

/** An answer of a front that is no refusal of a request. */
http_response
ErrorResponse(unsigned aStatus,
              std::string_view aCode,
              std::string_view aDetail);

}
