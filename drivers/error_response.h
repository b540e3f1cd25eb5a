#pragma once

#include "drivers/http_server.h"

#include <string_view>

namespace hibiscusspool {

/** An error response of an API that is not a refusal of a request. */
http_response
ErrorResponse(unsigned aStatus,
              std::string_view aCode,
              std::string_view aDetail);

}
