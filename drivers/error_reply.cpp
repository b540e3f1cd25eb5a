#include "drivers/error_reply.h"

#include "messages/caller_json.h"

namespace hibiscusspool {

http_reply
ErrorReply(unsigned aStatus, std::string_view aCode, std::string_view aDetail)
{
  http_reply response;
  response.mStatus = aStatus;
  response.mBody = EncodeError(aCode, aDetail);
  return response;
}

}
