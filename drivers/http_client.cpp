#include "drivers/http_client.h"

#include "core/address.h"
#include "drivers/http_status.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint64_t kMaxResponseBytes = 256U << 20U;

http::request<http::string_body>
ToRequest(const http_client_request& aRequest)
{
  http::request<http::string_body> request(
    http::string_to_verb(aRequest.mMethod), aRequest.mPath, 11);
  request.set(http::field::host, aRequest.mAddress);
  for (const auto& [name, value] : aRequest.mHeaders) {
    request.set(name, value);
  }
  request.keep_alive(false);
  request.body() = aRequest.mBody;
  request.prepare_payload();
  return request;
}

}

http_client_response
SendHttpRequest(const http_client_request& aRequest)
{
  http_client_response response;
  auto address = ParseAddress(aRequest.mAddress);
  if (!address) {
    return response;
  }
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.expires_after(aRequest.mTimeout);
  http::request<http::string_body> request = ToRequest(aRequest);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  beast::flat_buffer buffer;
  auto onRead = [&](beast::error_code aError, std::size_t) {
    if (!aError && IsHttpStatus(parser.get().result_int())) {
      response.mStatus = parser.get().result_int();
      response.mBody = std::move(parser.get().body());
    }
  };
  auto onWrite = [&](beast::error_code aError, std::size_t) {
    if (!aError) {
      http::async_read(stream, buffer, parser, onRead);
    }
  };
  stream.async_connect({ asio::ip::make_address(address->mIp), address->mPort },
                       [&](beast::error_code aError) {
                         if (!aError) {
                           http::async_write(stream, request, onWrite);
                         }
                       });
  context.run();
  return response;
}

}
