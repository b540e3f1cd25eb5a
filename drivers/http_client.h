#pragma once

#include "core/clock.h"

#include <map>
#include <string>

namespace hibiscusspool {

/** One call over a connection of its own. */
struct http_client_request
{
  std::string mMethod = "GET";
  /** `ip:port` */
  std::string mAddress;
  std::string mPath;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
  milliseconds mTimeout{ 15'000 };
};

/** What came back; status 0 when nothing did. */
struct http_client_response
{
  unsigned mStatus = 0;
  std::string mBody;
};

/** Makes the call and blocks until it is answered, failed or late. */
http_client_response
SendHttpRequest(const http_client_request& aOrder);

}
