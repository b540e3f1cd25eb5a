#pragma once

#include "core/clock.h"

#include <boost/json.hpp>

#include <map>
#include <string>

namespace test {

using headers = std::map<std::string, std::string>;

/** What came back of one call; status 0 when nothing did. */
struct call_result
{
  unsigned mStatus = 0;
  std::string mBody;
  /** The body as JSON, or null. */
  boost::json::value mJson;

  /** A string inside the body by its path, as in `refusal.ran`. */
  [[nodiscard]] std::string Text(const std::string& aPath) const;
  /** A number by its path, or -1. */
  [[nodiscard]] double Number(const std::string& aPath) const;
};

/** One HTTP call over a connection of its own. */
call_result
Call(const std::string& aMethod,
     const std::string& aAddress,
     const std::string& aPath,
     const std::string& aBody = "",
     const headers& aHeaders = {});

/** Sends raw bytes and returns all that comes until the peer closes. */
std::string
CallRaw(const std::string& aAddress, const std::string& aBytes);

}
