#include "drivers/http_client.h"

#include "core/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint64_t kMostAnswerBytes = 256U << 20U;

http::request<http::string_body>
ToRequest(const http_client_request& aOrder)
{
  http::request<http::string_body> request(
    http::string_to_verb(aOrder.mMethod), aOrder.mPath, 11);
  request.set(http::field::host, aOrder.mAddress);
  for (const auto& [name, value] : aOrder.mHeaders) {
    request.set(name, value);
  }
  request.keep_alive(false);
  request.body() = aOrder.mBody;
  request.prepare_payload();
  return request;
}

}

http_client_response
SendHttpRequest(const http_client_request& aOrder)
{
  http_client_response answer;
  auto address = ParseAddress(aOrder.mAddress);
  if (!address) {
    return answer;
  }
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.expires_after(aOrder.mTimeout);
  http::request<http::string_body> request = ToRequest(aOrder);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMostAnswerBytes);
  beast::flat_buffer buffer;
  auto onRead = [&](beast::error_code aError, std::size_t) {
    if (!aError) {
      answer.mStatus = parser.get().result_int();
      answer.mBody = std::move(parser.get().body());
    }
  };
  auto onWritten = [&](beast::error_code aError, std::size_t) {
    if (!aError) {
      http::async_read(stream, buffer, parser, onRead);
    }
  };
  stream.async_connect({ asio::ip::make_address(address->mIp), address->mPort },
                       [&](beast::error_code aError) {
                         if (!aError) {
                           http::async_write(stream, request, onWritten);
                         }
                       });
  context.run();
  return answer;
}

}
