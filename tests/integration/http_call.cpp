#include "tests/integration/http_call.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace test {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using hibiscusspool::milliseconds;

namespace {

tcp::endpoint
ToEndpoint(const std::string& aAddress)
{
  std::size_t colon = aAddress.rfind(':');
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))) };
}

/** Lets the context run until its work is done or the time is over. */
void
RunFor(asio::io_context& aContext, milliseconds aTimeout)
{
  aContext.restart();
  aContext.run_for(aTimeout);
}

}

std::string
call_result::Text(const std::string& aPath) const
{
  boost::json::error_code error;
  std::string pointer = "/" + aPath;
  std::replace(pointer.begin(), pointer.end(), '.', '/');
  const boost::json::value* found = mJson.find_pointer(pointer, error);
  return found != nullptr && found->is_string()
           ? std::string(found->get_string())
           : std::string();
}

double
call_result::Number(const std::string& aPath) const
{
  boost::json::error_code error;
  std::string pointer = "/" + aPath;
  std::replace(pointer.begin(), pointer.end(), '.', '/');
  const boost::json::value* found = mJson.find_pointer(pointer, error);
  return found != nullptr && found->is_number() ? found->to_number<double>()
                                                : -1;
}

call_result
Call(const std::string& aMethod,
     const std::string& aAddress,
     const std::string& aPath,
     const std::string& aBody,
     const headers& aHeaders,
     milliseconds aTimeout)
{
  auto started = std::chrono::steady_clock::now();
  call_result result;
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.expires_after(aTimeout);
  http::request<http::string_body> request(
    http::string_to_verb(aMethod), aPath, 11);
  request.set(http::field::host, aAddress);
  for (const auto& [name, value] : aHeaders) {
    request.set(name, value);
  }
  request.keep_alive(false);
  request.body() = aBody;
  request.prepare_payload();
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(256U << 20U);
  bool isDone = false;
  stream.async_connect(ToEndpoint(aAddress), [&](beast::error_code aError) {
    if (aError) {
      return;
    }
    http::async_write(
      stream, request, [&](beast::error_code aFailed, std::size_t) {
        if (aFailed) {
          return;
        }
        http::async_read(
          stream, buffer, parser, [&](beast::error_code aEnd, std::size_t) {
            isDone = !aEnd;
          });
      });
  });
  RunFor(context, aTimeout + milliseconds(500));
  if (isDone) {
    result.mStatus = parser.get().result_int();
    result.mBody = std::move(parser.get().body());
    boost::json::error_code ignored;
    result.mJson = boost::json::parse(result.mBody, ignored);
  }
  result.mTook = std::chrono::duration_cast<milliseconds>(
    std::chrono::steady_clock::now() - started);
  return result;
}

std::string
CallRaw(const std::string& aAddress,
        const std::string& aBytes,
        milliseconds aTimeout)
{
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.expires_after(aTimeout);
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
  stream.async_connect(ToEndpoint(aAddress), [&](beast::error_code aError) {
    if (!aError) {
      asio::async_write(stream,
                        asio::buffer(aBytes),
                        [&](beast::error_code, std::size_t) { readOn(); });
    }
  });
  RunFor(context, aTimeout + milliseconds(500));
  return received;
}

int
FreePort()
{
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return acceptor.local_endpoint().port();
}

}
