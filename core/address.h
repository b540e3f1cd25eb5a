#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusspool {

/** An IP number and a port. */
struct ip_address
{
  std::string mIp;
  std::uint16_t mPort = 0;

  bool operator==(const ip_address&) const = default;
};

/** Reads `1.2.3.4:80` or `[::1]:80`; nothing for names and bad ports. */
std::optional<ip_address>
ParseAddress(std::string_view aText);

}
