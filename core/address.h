#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusspool {

/** An IP address and a port. */
struct socket_address
{
  std::string mIp;
  std::uint16_t mPort = 0;

  bool operator==(const socket_address&) const = default;
};

/** Parses `1.2.3.4:80` or `[::1]:80`; host names and port 0 are invalid. */
std::optional<socket_address>
ParseAddress(std::string_view aText);

}
