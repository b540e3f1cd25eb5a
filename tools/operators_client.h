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
  NoAnswer,
  Refused,
  CannotRead,
  CannotWrite,
};

template<>
inline constexpr name_table<tool_error, 5> kNames<tool_error>{ {
  { tool_error::Usage, "usage" },
  { tool_error::NoAnswer, "no_answer" },
  { tool_error::Refused, "refused" },
  { tool_error::CannotRead, "cannot_read" },
  { tool_error::CannotWrite, "cannot_write" },
} };

/** The operators' interface, asked at one control host after the other. */
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
  /** `aAddresses` has commas between; the token's file may be empty. */
  static result<operators_client, tool_error> Create(
    const std::string& aAddresses,
    const std::string& aTokenFile);

  /**
   * Sends an order, without its address, until a host answers other than
   * that it has no quorum. A change needs a Change-Id, so that it counts once.
   */
  result<boost::json::value, tool_error> Ask(http_client_request aOrder) const;
};

}
