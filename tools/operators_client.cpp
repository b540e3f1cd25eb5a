#include "tools/operators_client.h"

#include "core/address.h"
#include "drivers/synced_file.h"

#include <sstream>

namespace hibiscusspool {

namespace {

constexpr unsigned kNoQuorum = 503;

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
                  "\"" + part + "\" is not an IP and a port.");
    }
    addresses.push_back(part);
  }
  if (addresses.empty()) {
    return Fail(tool_error::Usage, "--operators names no address.");
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
operators_client::Ask(http_client_request aOrder) const
{
  if (!mToken.empty()) {
    aOrder.mHeaders["Authorization"] = "Bearer " + mToken;
  }
  std::string last = "No control host answered.";
  for (const std::string& address : mAddresses) {
    aOrder.mAddress = address;
    http_client_response answer = SendHttpRequest(aOrder);
    boost::json::error_code error;
    boost::json::value body = boost::json::parse(answer.mBody, error);
    bool isAnswer = answer.mStatus != 0 && answer.mStatus != kNoQuorum;
    if (!isAnswer) {
      last = answer.mStatus == 0 ? last : answer.mBody;
      continue;
    }
    if (answer.mStatus != 200) {
      return Fail(tool_error::Refused, answer.mBody);
    }
    return body;
  }
  return Fail(tool_error::NoAnswer, last);
}

}
