#pragma once

#include "core/clock.h"

#include <boost/json.hpp>

#include <map>
#include <string>

namespace test {

using headers = std::map<std::string, std::string>;

/** Response to one HTTP request; status 0 if there was none. */
struct call_result
{
  unsigned mStatus = 0;
  std::string mBody;
  /** The body parsed as JSON, or null. */
  boost::json::value mJson;

  /** The string at a path in the body, as in `refusal.ran`, or "". */
  [[nodiscard]] std::string Text(const std::string& aPath) const;
  /** The number at a path in the body, or -1. */
  [[nodiscard]] double Number(const std::string& aPath) const;
};

/** Sends one HTTP request over a new connection. */
call_result
Call(const std::string& aMethod,
     const std::string& aAddress,
     const std::string& aPath,
     const std::string& aBody = "",
     const headers& aHeaders = {});

/** Sends raw bytes and returns all bytes received until the peer closes. */
std::string
SendRaw(const std::string& aAddress, const std::string& aBytes);

}
