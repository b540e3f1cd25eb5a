#include "drivers/http_server.h"

#include "core/address.h"
#include "core/log_event.h"
#include "core/sharded_map.h"
#include "core/text.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <atomic>

namespace hibiscusspool {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr milliseconds kAcceptPause{ 50 };
constexpr milliseconds kDrainTime{ 1000 };
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

http_request
ToRequest(http::request_parser<http::string_body>& aParser,
          http_read_error aFault)
{
  auto& message = aParser.get();
  http_request request;
  request.mReadError = aFault;
  request.mMethod = std::string(message.method_string());
  request.mTarget = std::string(message.target());
  std::size_t mark = request.mTarget.find('?');
  request.mPath = request.mTarget.substr(0, mark);
  if (mark != std::string::npos) {
    request.mQuery = request.mTarget.substr(mark + 1);
  }
  for (const auto& field : message) {
    request.mFields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  if (aFault == http_read_error::None) {
    request.mBody = std::move(message.body());
  }
  return request;
}

http_read_error
FaultOf(beast::error_code aError)
{
  if (!aError) {
    return http_read_error::None;
  }
  if (aError == http::error::header_limit) {
    return http_read_error::HeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return http_read_error::BodyTooLarge;
  }
  if (aError == beast::error::timeout) {
    return http_read_error::ReadTimeout;
  }
  return http_read_error::Malformed;
}

/** True when the peer went away, so that nobody hears an answer. */
bool
IsGone(beast::error_code aError)
{
  return aError == http::error::end_of_stream ||
         aError == asio::error::connection_reset ||
         aError == asio::error::eof || aError == asio::error::broken_pipe ||
         aError == asio::error::operation_aborted;
}

}

std::optional<std::string>
http_request::Header(std::string_view aName) const
{
  auto found = std::find_if(
    mFields.rbegin(), mFields.rend(), [&](const header_field& aField) {
      return EqualsIgnoreCase(aField.mName, aName);
    });
  if (found == mFields.rend()) {
    return std::nullopt;
  }
  return found->mValue;
}

std::optional<std::string>
http_request::Parameter(const std::string& aName) const
{
  std::size_t place = 0;
  while (place < mQuery.size()) {
    std::size_t end = std::min(mQuery.find('&', place), mQuery.size());
    std::string pair = mQuery.substr(place, end - place);
    if (pair.starts_with(aName + "=")) {
      return pair.substr(aName.size() + 1);
    }
    place = end + 1;
  }
  return std::nullopt;
}

/** One caller's connection. */
struct http_connection
{
  beast::tcp_stream mStream;
  /** Of the request that is being answered; unset while one is waited for. */
  std::shared_ptr<caller_status> mCaller;
};

namespace {

/** A connection that ends by an exception says so. */
void
LogProblem(const std::exception_ptr& aProblem)
{
  if (!aProblem) {
    return;
  }
  try {
    std::rethrow_exception(aProblem);
  } catch (const std::exception& problem) {
    log_event("connection_failed", log_event::severity::Error)
      .Add("cause", problem.what());
  }
}

}

struct http_server::state
{
  asio::io_context& mContext;
  http_server_config mConfig;
  http_handler mHandler;
  tcp::acceptor mAcceptor;
  /** Cancelled when a connection ends. */
  asio::steady_timer mRoom;
  sharded_map<std::uint64_t, std::shared_ptr<http_connection>> mConnections;
  std::atomic<std::uint64_t> mNextConnection{ 1 };
  std::atomic<std::size_t> mCount{ 0 };
  std::atomic<std::size_t> mActive{ 0 };
  std::atomic<bool> mIsClosing{ false };
  std::atomic<bool> mIsStopped{ false };

  state(asio::io_context& aContext,
        http_server_config aConfig,
        http_handler aHandler)
    : mContext(aContext)
    , mConfig(std::move(aConfig))
    , mHandler(std::move(aHandler))
    , mAcceptor(asio::make_strand(aContext))
    , mRoom(mAcceptor.get_executor())
  {
  }

  std::vector<std::shared_ptr<http_connection>> OpenConnections()
  {
    std::vector<std::shared_ptr<http_connection>> open;
    mConnections.ForEach(
      [&](std::uint64_t, auto& aConnection) { open.push_back(aConnection); });
    return open;
  }

  void NoteIdle() const
  {
    if (mIsClosing && mConfig.mOnDrainProgress) {
      mConfig.mOnDrainProgress();
    }
  }

  /** The executor of a new connection. */
  asio::any_io_executor Place()
  {
    if (mConfig.mSelectContext) {
      return mConfig.mSelectContext().get_executor();
    }
    return asio::make_strand(mContext);
  }

  asio::awaitable<void> Serve(std::shared_ptr<http_connection> aConnection)
  {
    beast::flat_buffer buffer;
    while (!mIsStopped) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(mConfig.mMaxBodyBytes);
      parser.header_limit(mConfig.mMaxHeaderBytes);
      beast::error_code error =
        co_await ReadRequest(*aConnection, buffer, parser);
      if (IsGone(error) || (error && !parser.got_some())) {
        break;
      }
      http_read_error fault = FaultOf(error);
      ++mActive;
      bool keeps =
        co_await Answer(aConnection,
                        ToRequest(parser, fault),
                        fault == http_read_error::None && parser.keep_alive());
      --mActive;
      NoteIdle();
      if (!keeps) {
        break;
      }
    }
    co_await Drain(*aConnection);
  }

  /** Lets the answer arrive before what is unread resets the connection. */
  asio::awaitable<void> Drain(http_connection& aConnection)
  {
    beast::error_code ignored;
    aConnection.mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    aConnection.mStream.expires_after(kDrainTime);
    std::array<char, 4096> scratch{};
    while (true) {
      auto [error, count] = co_await aConnection.mStream.async_read_some(
        asio::buffer(scratch), kNoThrow);
      if (error) {
        co_return;
      }
    }
  }

  asio::awaitable<beast::error_code> ReadRequest(
    http_connection& aConnection,
    beast::flat_buffer& aBuffer,
    http::request_parser<http::string_body>& aParser)
  {
    // An idle connection may stay; one that began must not dawdle.
    if (aBuffer.size() == 0) {
      aConnection.mStream.expires_after(mConfig.mIdleTimeout);
      auto [error, count] = co_await aConnection.mStream.async_read_some(
        aBuffer.prepare(4096), kNoThrow);
      if (error) {
        co_return error == beast::error::timeout ? asio::error::eof : error;
      }
      aBuffer.commit(count);
    }
    // The stream's own timer would close it, and no answer could be sent.
    aConnection.mStream.expires_never();
    struct reading
    {
      bool mIsDone = false;
      bool mIsSlow = false;
    };
    auto progress = std::make_shared<reading>();
    asio::steady_timer limit(aConnection.mStream.get_executor(),
                             mConfig.mTransferTimeout);
    limit.async_wait([progress, &aConnection](beast::error_code aError) {
      if (!aError && !progress->mIsDone) {
        progress->mIsSlow = true;
        aConnection.mStream.cancel();
      }
    });
    auto [error, count] = co_await http::async_read(
      aConnection.mStream, aBuffer, aParser, kNoThrow);
    progress->mIsDone = true;
    limit.cancel();
    co_return progress->mIsSlow ? beast::error::timeout : error;
  }

  /** Notes when the caller closes while its request is being answered. */
  static void WatchCaller(const std::shared_ptr<http_connection>& aConnection)
  {
    auto& socket = aConnection->mStream.socket();
    socket.async_wait(
      tcp::socket::wait_read,
      [aConnection, presence = aConnection->mCaller](beast::error_code aError) {
        if (aError) {
          return;
        }
        auto& socket = aConnection->mStream.socket();
        char byte = 0;
        ssize_t got =
          recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        bool hasMore =
          got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
        if (!hasMore) {
          presence->Disconnect();
        }
      });
  }

  asio::awaitable<bool> Answer(std::shared_ptr<http_connection> aConnection,
                               http_request aRequest,
                               bool aKeepAlive)
  {
    bool isHead = aRequest.mMethod == "HEAD";
    aRequest.mCaller = std::make_shared<caller_status>();
    aConnection->mCaller = aRequest.mCaller;
    WatchCaller(aConnection);
    http_response reply = co_await mHandler(std::move(aRequest));
    beast::error_code ignored;
    aConnection->mStream.socket().cancel(ignored);
    bool keeps = aKeepAlive && !mIsClosing;
    http::response<http::string_body> response(
      static_cast<http::status>(reply.mStatus), 11);
    if (!reply.mContentType.empty()) {
      response.set(http::field::content_type, reply.mContentType);
    }
    for (const auto& [name, value] : reply.mHeaders) {
      response.insert(name, value);
    }
    response.keep_alive(keeps);
    response.body() = std::move(reply.mBody);
    response.prepare_payload();
    if (isHead) {
      response.body().clear();
    }
    aConnection->mStream.expires_after(mConfig.mTransferTimeout);
    auto [error, count] =
      co_await http::async_write(aConnection->mStream, response, kNoThrow);
    aConnection->mCaller.reset();
    co_return !error && keeps;
  }
};

http_server::http_server(std::shared_ptr<state> aState)
  : mState(std::move(aState))
{
}

result<http_server, http_server_error>
http_server::Create(asio::io_context& aContext,
                    http_server_config aConfig,
                    http_handler aHandler)
{
  auto address = ParseAddress(aConfig.mAddress);
  if (!address) {
    return Fail(http_server_error::CannotListen,
                "Not an address: " + aConfig.mAddress);
  }
  auto made =
    std::make_shared<state>(aContext, std::move(aConfig), std::move(aHandler));
  tcp::endpoint endpoint(asio::ip::make_address(address->mIp), address->mPort);
  beast::error_code error;
  made->mAcceptor.open(endpoint.protocol(), error);
  if (!error) {
    made->mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    made->mAcceptor.bind(endpoint, error);
  }
  if (!error) {
    made->mAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(http_server_error::CannotListen,
                made->mConfig.mAddress + ": " + error.message());
  }
  asio::co_spawn(made->mAcceptor.get_executor(), Accept(made), asio::detached);
  return http_server(std::move(made));
}

asio::awaitable<void>
http_server::Accept(std::shared_ptr<state> aState)
{
  asio::steady_timer pause(co_await asio::this_coro::executor);
  while (!aState->mIsStopped) {
    if (aState->mCount >= aState->mConfig.mMaxConnections) {
      // The kernel's queue holds newcomers until a connection ends.
      aState->mRoom.expires_at(steady_time::max());
      co_await aState->mRoom.async_wait(kNoThrow);
      continue;
    }
    auto [error, socket] =
      co_await aState->mAcceptor.async_accept(aState->Place(), kNoThrow);
    if (error) {
      // Out of descriptors, most likely: some come free before long.
      pause.expires_after(kAcceptPause);
      co_await pause.async_wait(kNoThrow);
      continue;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<http_connection>(
      http_connection{ beast::tcp_stream(std::move(socket)), nullptr });
    std::uint64_t number = aState->mNextConnection++;
    aState->mConnections.Set(number, connection);
    ++aState->mCount;
    asio::co_spawn(connection->mStream.get_executor(),
                   aState->Serve(connection),
                   [aState, number](const std::exception_ptr& aProblem) {
                     LogProblem(aProblem);
                     aState->mConnections.Take(number);
                     --aState->mCount;
                     aState->NoteIdle();
                     asio::post(aState->mAcceptor.get_executor(),
                                [aState] { aState->mRoom.cancel(); });
                   });
  }
}

void
http_server::StartDraining()
{
  mState->mIsClosing = true;
}

void
http_server::Stop()
{
  mState->mIsStopped = true;
  asio::post(mState->mAcceptor.get_executor(), [kept = mState] {
    beast::error_code ignored;
    kept->mAcceptor.close(ignored);
  });
  for (auto& connection : mState->OpenConnections()) {
    asio::post(connection->mStream.get_executor(), [connection] {
      if (connection->mCaller == nullptr) {
        connection->mStream.close();
      }
    });
  }
}

void
http_server::CancelActiveRequests()
{
  for (auto& connection : mState->OpenConnections()) {
    asio::post(connection->mStream.get_executor(), [connection] {
      if (connection->mCaller != nullptr) {
        connection->mCaller->Disconnect();
      }
    });
  }
}

std::size_t
http_server::ConnectionCount() const
{
  return mState->mCount;
}

std::size_t
http_server::ActiveRequestCount() const
{
  return mState->mActive;
}

}
