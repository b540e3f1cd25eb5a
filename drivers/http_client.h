#pragma once

#include "core/clock.h"

#include <map>
#include <string>

namespace hibiscusspool {

/** A request that is sent over a new connection. */
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

/** The response; status 0 if none with a status from 100 to 599 was received.
 */
struct http_client_response
{
  unsigned mStatus = 0;
  std::string mBody;
};

/** Sends the request and blocks until it has a response, fails or times out. */
http_client_response
SendHttpRequest(const http_client_request& aRequest);

}
