#include "drivers/http_server.h"

#include "core/background_task.h"
#include "core/sharded_map.h"
#include "core/text.h"
#include "drivers/tcp_listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/system_executor.hpp>
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

constexpr milliseconds kLingerTimeout{ 1000 };
/** Idle time-out of connections that were accepted just before the stop. */
constexpr milliseconds kLastRequestTimeout{ 200 };
/** Buffered bytes besides the header, which bounds chunk headers and trailers.
 */
constexpr std::size_t kMaxBodyBuffer = 64 << 10;
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

http_request
ToRequest(http::request_parser<http::string_body>& aParser,
          http_read_error aReadError)
{
  auto& message = aParser.get();
  http_request request;
  request.mReadError = aReadError;
  request.mMethod = std::string(message.method_string());
  request.mTarget = std::string(message.target());
  std::size_t queryStart = request.mTarget.find('?');
  request.mPath = request.mTarget.substr(0, queryStart);
  if (queryStart != std::string::npos) {
    request.mQuery = request.mTarget.substr(queryStart + 1);
  }
  for (const auto& field : message) {
    request.mFields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  if (aReadError == http_read_error::None) {
    request.mBody = std::move(message.body());
  }
  return request;
}

http_read_error
ToReadError(beast::error_code aError)
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
  if (aError == asio::error::no_buffer_space) {
    return http_read_error::NoRoom;
  }
  return http_read_error::Malformed;
}

/** True if the peer has closed its side and all that it sent was read. */
bool
HasPeerClosed(tcp::socket& aSocket)
{
  char byte = 0;
  ssize_t got =
    recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  bool isOpen =
    got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  return !isOpen;
}

/** True if the peer has disconnected, so that it can't receive a response. */
bool
IsDisconnected(beast::error_code aError)
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
  std::size_t offset = 0;
  while (offset < mQuery.size()) {
    std::size_t end = std::min(mQuery.find('&', offset), mQuery.size());
    std::string pair = mQuery.substr(offset, end - offset);
    if (pair.starts_with(aName + "=")) {
      return pair.substr(aName.size() + 1);
    }
    offset = end + 1;
  }
  return std::nullopt;
}

/** A caller's connection. */
struct http_connection
{
  beast::tcp_stream mStream;
  /** The caller of the active request; null while there is none. */
  std::shared_ptr<caller_status> mCaller;
  /** A request has begun to arrive and was not answered yet. */
  bool mIsReading = false;

  /** True if no byte of a request has arrived. */
  bool IsIdle()
  {
    beast::error_code ignored;
    return mCaller == nullptr && !mIsReading &&
           mStream.socket().available(ignored) == 0;
  }
};

struct http_server::state
{
  asio::io_context& mContext;
  http_server_config mConfig;
  http_handler mHandler;
  std::optional<tcp_listener> mListener;
  sharded_map<std::uint64_t, std::shared_ptr<http_connection>> mConnections;
  std::atomic<std::uint64_t> mNextConnection{ 1 };
  std::atomic<std::size_t> mCount{ 0 };
  std::atomic<std::size_t> mActive{ 0 };
  std::atomic<bool> mIsDraining{ false };
  std::atomic<bool> mIsStopped{ false };

  state(asio::io_context& aContext,
        http_server_config aConfig,
        http_handler aHandler)
    : mContext(aContext)
    , mConfig(std::move(aConfig))
    , mHandler(std::move(aHandler))
  {
  }

  std::vector<std::shared_ptr<http_connection>> OpenConnections()
  {
    std::vector<std::shared_ptr<http_connection>> open;
    mConnections.ForEach(
      [&](std::uint64_t, auto& aConnection) { open.push_back(aConnection); });
    return open;
  }

  void NotifyDrainProgress() const
  {
    if (mIsDraining && mConfig.mOnDrainProgress) {
      mConfig.mOnDrainProgress();
    }
  }

  /** The executor of a new connection. */
  asio::any_io_executor SelectExecutor()
  {
    if (mConfig.mSelectContext) {
      return mConfig.mSelectContext().get_executor();
    }
    return asio::make_strand(mContext);
  }

  asio::awaitable<void> Serve(std::shared_ptr<http_connection> aConnection)
  {
    beast::flat_buffer buffer(mConfig.mMaxHeaderBytes + kMaxBodyBuffer);
    do {
      http::request_parser<http::string_body> parser;
      parser.body_limit(mConfig.mMaxBodyBytes);
      parser.header_limit(mConfig.mMaxHeaderBytes);
      auto progress = std::make_shared<read_progress>();
      held_transfer body(mConfig.mTransfers, EndHook(aConnection, progress));
      beast::error_code error =
        co_await ReadRequest(*aConnection, buffer, parser, progress, body);
      if (IsDisconnected(error) || (error && !parser.got_some())) {
        break;
      }
      http_read_error readError = ToReadError(error);
      ++mActive;
      bool keepsAlive = co_await Respond(aConnection,
                                         ToRequest(parser, readError),
                                         readError == http_read_error::None &&
                                           parser.keep_alive());
      --mActive;
      aConnection->mIsReading = false;
      NotifyDrainProgress();
      if (!keepsAlive) {
        break;
      }
    } while (!mIsStopped);
    co_await Linger(*aConnection);
  }

  /**
   * Reads until the peer closes: closing a socket with unread data resets the
   * connection, which may discard the response.
   */
  asio::awaitable<void> Linger(http_connection& aConnection)
  {
    beast::error_code ignored;
    aConnection.mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    aConnection.mStream.expires_after(kLingerTimeout);
    std::array<char, 4096> scratch{};
    while (true) {
      auto [error, count] = co_await aConnection.mStream.async_read_some(
        asio::buffer(scratch), kNoThrow);
      if (error) {
        co_return;
      }
    }
  }

  /** The progress of reading one request, used on its connection's executor.
   */
  struct read_progress
  {
    bool mIsDone = false;
    bool mHasTimedOut = false;
    bool mIsGivenUp = false;
  };

  /** Gives up reading a request; may be called on any thread. */
  static std::function<void()> EndHook(
    const std::shared_ptr<http_connection>& aConnection,
    const std::shared_ptr<read_progress>& aProgress)
  {
    return [connection = std::weak_ptr(aConnection), progress = aProgress] {
      auto open = connection.lock();
      if (open == nullptr) {
        return;
      }
      asio::post(open->mStream.get_executor(), [open, progress] {
        if (!progress->mIsDone) {
          progress->mIsGivenUp = true;
          open->mStream.cancel();
        }
      });
    };
  }

  asio::awaitable<beast::error_code> ReadRequest(
    http_connection& aConnection,
    beast::flat_buffer& aBuffer,
    http::request_parser<http::string_body>& aParser,
    std::shared_ptr<read_progress> aProgress,
    held_transfer& aBody)
  {
    // The idle time-out applies until a request begins to arrive, and the
    // transfer time-out from then on.
    if (aBuffer.size() == 0) {
      aConnection.mStream.expires_after(mIsStopped ? kLastRequestTimeout
                                                   : mConfig.mIdleTimeout);
      auto [error, count] = co_await aConnection.mStream.async_read_some(
        aBuffer.prepare(4096), kNoThrow);
      if (error) {
        co_return error == beast::error::timeout ? asio::error::eof : error;
      }
      aBuffer.commit(count);
    }
    aConnection.mIsReading = true;
    // The stream's own timer would close it, and no response could be sent.
    aConnection.mStream.expires_never();
    asio::steady_timer limit(aConnection.mStream.get_executor(),
                             mConfig.mTransferTimeout);
    limit.async_wait([aProgress, &aConnection](beast::error_code aError) {
      if (!aError && !aProgress->mIsDone) {
        aProgress->mHasTimedOut = true;
        aConnection.mStream.cancel();
      }
    });
    beast::error_code error;
    aParser.eager(true);
    while (!error && !aParser.is_done() && !aProgress->mHasTimedOut &&
           !aProgress->mIsGivenUp) {
      auto [readError, count] = co_await http::async_read_some(
        aConnection.mStream, aBuffer, aParser, kNoThrow);
      error = readError;
      aBody.Grow(aParser.get().body().size());
    }
    bool isRead = aParser.is_done();
    aProgress->mIsDone = true;
    limit.cancel();
    aBody.Complete();
    if (aProgress->mIsGivenUp && !isRead) {
      co_return asio::error::no_buffer_space;
    }
    bool hasTimedOut = aProgress->mHasTimedOut;
    co_return hasTimedOut ? beast::error::timeout : error;
  }

  /** Detects that the caller disconnects while its request is active, or that
   * it had done so before the request was read. */
  static void WatchForDisconnect(
    const std::shared_ptr<http_connection>& aConnection)
  {
    if (HasPeerClosed(aConnection->mStream.socket())) {
      aConnection->mCaller->Disconnect();
      return;
    }
    aConnection->mStream.socket().async_wait(
      tcp::socket::wait_read,
      [aConnection, caller = aConnection->mCaller](beast::error_code aError) {
        if (!aError && HasPeerClosed(aConnection->mStream.socket())) {
          caller->Disconnect();
        }
      });
  }

  asio::awaitable<bool> Respond(std::shared_ptr<http_connection> aConnection,
                                http_request aRequest,
                                bool aKeepAlive)
  {
    bool isHead = aRequest.mMethod == "HEAD";
    aRequest.mCaller = std::make_shared<caller_status>();
    aConnection->mCaller = aRequest.mCaller;
    WatchForDisconnect(aConnection);
    http_response handlerResponse = co_await mHandler(std::move(aRequest));
    beast::error_code ignored;
    aConnection->mStream.socket().cancel(ignored);
    bool keepsAlive = aKeepAlive && !mIsDraining;
    http::response<http::string_body> response(
      static_cast<http::status>(handlerResponse.mStatus), 11);
    if (!handlerResponse.mContentType.empty()) {
      response.set(http::field::content_type, handlerResponse.mContentType);
    }
    for (const auto& [name, value] : handlerResponse.mHeaders) {
      response.insert(name, value);
    }
    response.keep_alive(keepsAlive);
    response.body() = std::move(handlerResponse.mBody);
    response.prepare_payload();
    if (isHead) {
      response.body().clear();
    }
    aConnection->mStream.expires_after(mConfig.mTransferTimeout);
    auto [error, count] =
      co_await http::async_write(aConnection->mStream, response, kNoThrow);
    aConnection->mCaller.reset();
    co_return !error && keepsAlive;
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
  std::string address = aConfig.mAddress;
  auto made =
    std::make_shared<state>(aContext, std::move(aConfig), std::move(aHandler));
  auto listener = tcp_listener::Create(aContext, address, ListenerHooks(made));
  if (!listener) {
    return Fail(http_server_error::CannotListen, listener.error().mDetail);
  }
  made->mListener.emplace(std::move(listener.value()));
  made->mListener->Start();
  return http_server(std::move(made));
}

tcp_listener_hooks
http_server::ListenerHooks(const std::weak_ptr<state>& aState)
{
  // The state owns the listener, so its hooks don't keep the state alive.
  tcp_listener_hooks hooks;
  hooks.mSelectExecutor = [aState]() -> asio::any_io_executor {
    auto self = aState.lock();
    return self ? self->SelectExecutor() : asio::system_executor();
  };
  hooks.mHasCapacity = [aState] {
    auto self = aState.lock();
    return !self || self->mCount < self->mConfig.mMaxConnections;
  };
  hooks.mOnAccepted = [aState](tcp::socket aSocket) {
    if (auto self = aState.lock()) {
      Start(self, std::move(aSocket));
    }
  };
  return hooks;
}

void
http_server::Start(const std::shared_ptr<state>& aState, tcp::socket aSocket)
{
  auto connection = std::make_shared<http_connection>(
    http_connection{ beast::tcp_stream(std::move(aSocket)), nullptr });
  std::uint64_t number = aState->mNextConnection++;
  aState->mConnections.Set(number, connection);
  ++aState->mCount;
  asio::co_spawn(connection->mStream.get_executor(),
                 aState->Serve(connection),
                 [aState, number](const std::exception_ptr& aException) {
                   if (aException) {
                     ReportTaskFailure("connection", aException);
                   }
                   aState->mConnections.Take(number);
                   --aState->mCount;
                   aState->NotifyDrainProgress();
                   aState->mListener->Resume();
                 });
}

void
http_server::StartDraining()
{
  mState->mIsDraining = true;
}

void
http_server::Stop()
{
  mState->mIsStopped = true;
  mState->mListener->Stop();
  for (auto& connection : mState->OpenConnections()) {
    asio::post(connection->mStream.get_executor(), [connection] {
      // Ends only a read that still waits: the bytes of one that has just
      // completed are a request that has yet to be handled.
      if (connection->IsIdle()) {
        connection->mStream.cancel();
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
