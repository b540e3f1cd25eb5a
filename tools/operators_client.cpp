#include "tools/operators_client.h"

#include "core/address.h"
#include "drivers/synced_file.h"

#include <sstream>

namespace hibiscusspool {

namespace {

constexpr unsigned kStatusNoQuorum = 503;

}

result<operators_client, tool_error>
operators_client::Create(const std::string& aAddresses,
                         const std::string& aTokenFile)
{
  std::vector<std::string> addresses;
  std::istringstream parts(aAddresses);
  for (std::string part; std::getline(parts, part, ',');) {
    if (!ParseAddress(part)) {
      return Fail(tool_error::Usage,
                  "--operators: \"" + part + "\" is not an ip:port.");
    }
    addresses.push_back(part);
  }
  if (addresses.empty()) {
    return Fail(tool_error::Usage, "--operators lists no address.");
  }
  std::string token;
  if (!aTokenFile.empty()) {
    auto text = ReadWholeFile(aTokenFile);
    if (!text) {
      return Fail(tool_error::CannotRead, text.error().mDetail);
    }
    token = text.value().substr(0, text.value().find_first_of("\r\n"));
  }
  return operators_client(std::move(addresses), std::move(token));
}

result<boost::json::value, tool_error>
operators_client::Send(http_client_request aRequest) const
{
  if (!mToken.empty()) {
    aRequest.mHeaders["Authorization"] = "Bearer " + mToken;
  }
  std::string lastError = "No control host responded.";
  for (const std::string& address : mAddresses) {
    aRequest.mAddress = address;
    http_client_response response = SendHttpRequest(aRequest);
    boost::json::error_code error;
    boost::json::value body = boost::json::parse(response.mBody, error);
    bool isFinal = response.mStatus != 0 && response.mStatus != kStatusNoQuorum;
    if (!isFinal) {
      lastError = response.mStatus == 0 ? lastError : response.mBody;
      continue;
    }
    if (response.mStatus != 200) {
      return Fail(tool_error::Refused, response.mBody);
    }
    return body;
  }
  return Fail(tool_error::NoResponse, lastError);
}

}
