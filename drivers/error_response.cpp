#include "drivers/error_response.h"

#include "messages/caller_json.h"

namespace hibiscusspool {

http_response
ErrorResponse(unsigned aStatus,
              std::string_view aCode,
              std::string_view aDetail)
{
  http_response reply;
  reply.mStatus = aStatus;
  reply.mBody = EncodeError(aCode, aDetail);
  return reply;
}

}
