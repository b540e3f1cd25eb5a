#include "tests/integration/call.h"

#include "core/address.h"
#include "drivers/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>

#include <algorithm>
#include <array>
#include <functional>

namespace test {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

const boost::json::value*
Find(const boost::json::value& aJson, const std::string& aPath)
{
  boost::json::error_code error;
  std::string pointer = "/" + aPath;
  std::replace(pointer.begin(), pointer.end(), '.', '/');
  return aJson.find_pointer(pointer, error);
}

}

std::string
call_result::Text(const std::string& aPath) const
{
  const boost::json::value* found = Find(mJson, aPath);
  return found != nullptr && found->is_string()
           ? std::string(found->get_string())
           : std::string();
}

double
call_result::Number(const std::string& aPath) const
{
  const boost::json::value* found = Find(mJson, aPath);
  return found != nullptr && found->is_number() ? found->to_number<double>()
                                                : -1;
}

call_result
Call(const std::string& aMethod,
     const std::string& aAddress,
     const std::string& aPath,
     const std::string& aBody,
     const headers& aHeaders)
{
  hibiscusspool::http_client_request order;
  order.mMethod = aMethod;
  order.mAddress = aAddress;
  order.mPath = aPath;
  order.mBody = aBody;
  order.mHeaders = aHeaders;
  auto answer = hibiscusspool::SendHttpRequest(order);
  call_result result;
  result.mStatus = answer.mStatus;
  result.mBody = std::move(answer.mBody);
  boost::json::error_code ignored;
  result.mJson = boost::json::parse(result.mBody, ignored);
  return result;
}

std::string
CallRaw(const std::string& aAddress, const std::string& aBytes)
{
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.expires_after(std::chrono::seconds(15));
  std::string received;
  std::array<char, 4096> chunk{};
  std::function<void()> readOn = [&] {
    stream.async_read_some(asio::buffer(chunk),
                           [&](beast::error_code aError, std::size_t aCount) {
                             received.append(chunk.data(), aCount);
                             if (!aError) {
                               readOn();
                             }
                           });
  };
  auto address = hibiscusspool::ParseAddress(aAddress);
  stream.async_connect({ asio::ip::make_address(address->mIp), address->mPort },
                       [&](beast::error_code aError) {
                         if (!aError) {
                           asio::async_write(
                             stream,
                             asio::buffer(aBytes),
                             [&](beast::error_code, std::size_t) { readOn(); });
                         }
                       });
  context.run();
  return received;
}

}
