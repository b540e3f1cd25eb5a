#include "core/address.h"

#include <charconv>

#include <arpa/inet.h>

namespace hibiscusspool {

std::optional<socket_address>
ParseAddress(std::string_view aText)
{
  std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view port = aText.substr(colon + 1);
  socket_address address;
  auto [stop, error] =
    std::from_chars(port.data(), port.data() + port.size(), address.mPort);
  bool isPort = error == std::errc{} && stop == port.data() + port.size() &&
                address.mPort != 0;
  if (!isPort) {
    return std::nullopt;
  }
  std::string ip(aText.substr(0, colon));
  bool isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (isBracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  in6_addr scratch;
  int family = isBracketed ? AF_INET6 : AF_INET;
  if (inet_pton(family, ip.c_str(), &scratch) != 1) {
    return std::nullopt;
  }
  address.mIp = ip;
  return address;
}

}
