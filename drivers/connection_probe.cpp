#include "drivers/connection_probe.h"

#include "core/address.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace hibiscusspool {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

asio::awaitable<connect_result>
ProbeConnection(std::string aAddress, milliseconds aTimeout)
{
  auto address = ParseAddress(aAddress);
  if (!address) {
    co_return connect_result::Unknown;
  }
  auto executor = co_await asio::this_coro::executor;
  auto socket = std::make_shared<tcp::socket>(executor);
  asio::steady_timer timeout(executor, aTimeout);
  timeout.async_wait([socket](boost::system::error_code aError) {
    if (!aError) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  tcp::endpoint endpoint(asio::ip::make_address(address->mIp), address->mPort);
  auto [error] = co_await socket->async_connect(
    endpoint, asio::as_tuple(asio::use_awaitable));
  timeout.cancel();
  if (error == asio::error::connection_refused) {
    co_return connect_result::Refused;
  }
  co_return error ? connect_result::Unknown : connect_result::Accepted;
}

}
