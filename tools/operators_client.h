#pragma once

#include "core/failure.h"
#include "core/name_table.h"
#include "drivers/http_client.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace hibiscusspool {

enum class tool_error
{
  Usage,
  NoResponse,
  Refused,
  CannotRead,
  CannotWrite,
};

template<>
inline constexpr name_table<tool_error, 5> kNames<tool_error>{ {
  { tool_error::Usage, "usage" },
  { tool_error::NoResponse, "no_answer" },
  { tool_error::Refused, "refused" },
  { tool_error::CannotRead, "cannot_read" },
  { tool_error::CannotWrite, "cannot_write" },
} };

/** Client of the operator API that fails over between control hosts. */
class operators_client
{
  std::vector<std::string> mAddresses;
  std::string mToken;

  operators_client(std::vector<std::string> aAddresses, std::string aToken)
    : mAddresses(std::move(aAddresses))
    , mToken(std::move(aToken))
  {
  }

public:
  /**
   * `aAddresses` is a comma-separated list of `ip:port`. An empty
   * `aTokenFile` sends no token.
   */
  static result<operators_client, tool_error> Create(
    const std::string& aAddresses,
    const std::string& aTokenFile);

  /**
   * Sends a request, whose address is filled in here, to each control host in
   * turn until one responds with anything but 503 (no quorum). A change needs a
   * Change-Id so that it is applied once even if a response is lost.
   */
  result<boost::json::value, tool_error> Send(
    http_client_request aRequest) const;
};

}
