#include "drivers/error_response.h"

#include "messages/caller_json.h"

namespace hibiscusspool {

http_response
ErrorResponse(unsigned aStatus,
              std::string_view aCode,
              std::string_view aDetail)
{
  http_response response;
  response.mStatus = aStatus;
  response.mBody = EncodeError(aCode, aDetail);
  return response;
}

}
