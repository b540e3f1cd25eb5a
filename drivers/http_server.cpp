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
#include <iterator>

namespace hibiscusspool {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

/** Limits of reading from a peer that gets no further response. */
constexpr milliseconds kLingerTimeout{ 1000 };
constexpr std::size_t kMaxLingerBytes = 1 << 20;
/** Idle time-out of connections that were accepted just before the stop. */
constexpr milliseconds kLastRequestTimeout{ 200 };
/** Buffered bytes besides the header, which bounds chunk headers and trailers.
 */
constexpr std::size_t kMaxBodyBuffer = 64 << 10;
/** Bytes of the first read, for which an idle connection keeps a buffer. */
constexpr std::size_t kFirstReadBytes = 1024;
/** Initial size of the buffer of a request that is being received. */
constexpr std::size_t kReadBufferBytes = 4096;
constexpr std::size_t kMaxReadBytes = 64 << 10;
/** A body up to this size is read even if the request takes none: that keeps
 * the connection usable. */
constexpr std::uint64_t kMaxUnusedBody = 4096;
/** Bytes that a header field takes besides its text, in the parser and in a
 * request. */
constexpr std::uint64_t kFieldBytes = 112;
/** Bytes of unfinished requests and unread responses of a listener that shares
 * no limit with others. */
constexpr std::uint64_t kMaxOwnBytes = 32U << 20U;
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

using request_parser = http::request_parser<http::string_body>;

steady_time
Now()
{
  return std::chrono::steady_clock::now();
}

std::size_t
CountFields(request_parser& aParser)
{
  const auto& message = aParser.get();
  return static_cast<std::size_t>(
    std::distance(message.begin(), message.end()));
}

http_request_head
HeadOf(request_parser& aParser)
{
  const auto& message = aParser.get();
  std::string_view target(message.target().data(), message.target().size());
  auto host = message[http::field::host];
  auto method = message.method_string();
  return { { method.data(), method.size() },
           target.substr(0, target.find('?')),
           { host.data(), host.size() } };
}

/** Bytes that a request takes while it is being received. A body without a
 * length is copied each time its string grows, so that it counts twice. */
std::uint64_t
ReceivedBytes(request_parser& aParser,
              const beast::flat_buffer& aBuffer,
              std::size_t aFields)
{
  bool hasLength =
    aParser.is_header_done() && aParser.content_length().has_value();
  std::uint64_t body = aParser.get().body().capacity();
  return aBuffer.capacity() + (hasLength ? body : 2 * body) +
         aFields * kFieldBytes;
}

std::uint64_t
RequestBytes(const http_request& aRequest)
{
  std::uint64_t bytes = aRequest.mBody.capacity() + aRequest.mTarget.size();
  for (const header_field& field : aRequest.mFields) {
    bytes += kFieldBytes + field.mName.size() + field.mValue.size();
  }
  return bytes;
}

std::uint64_t
ResponseBytes(const http_response& aResponse)
{
  std::uint64_t bytes = aResponse.mBody.capacity();
  for (const auto& [name, value] : aResponse.mHeaders) {
    bytes += kFieldBytes + name.size() + value.size();
  }
  return bytes;
}

/** At most `aMaxFields` fields are copied. */
http_request
ToRequest(request_parser& aParser,
          http_read_error aReadError,
          std::size_t aMaxFields)
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
    if (request.mFields.size() == aMaxFields) {
      break;
    }
    request.mFields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  if (aReadError == http_read_error::None && aParser.is_done()) {
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
  client_id mNumber = 0;
  client_phase mPhase = client_phase::Idle;

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
  std::shared_ptr<client_controller> mClients;
  listener_id mNumber = 0;
  sharded_map<client_id, std::shared_ptr<http_connection>> mConnections;
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
    , mClients(mConfig.mClients)
  {
    if (mClients == nullptr) {
      mClients = std::make_shared<client_controller>(
        client_limits{ kMaxOwnBytes, mConfig.mMaxConnections });
    }
  }

  state(const state&) = delete;
  state& operator=(const state&) = delete;

  ~state() { mClients->RemoveListener(mNumber); }

  void SetPhase(http_connection& aConnection,
                client_phase aPhase,
                std::uint64_t aBytes)
  {
    aConnection.mPhase = aPhase;
    mClients->Update(aConnection.mNumber, aPhase, aBytes, Now());
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
      std::optional<request_parser> parser(std::in_place);
      parser->body_limit(mConfig.mMaxBodyBytes);
      parser->header_limit(mConfig.mMaxHeaderBytes);
      auto progress = std::make_shared<read_progress>();
      held_transfer body(mConfig.mTransfers, EndHook(aConnection, progress));
      beast::error_code error =
        co_await ReadRequest(*aConnection, buffer, *parser, progress, body);
      if (IsDisconnected(error) || (error && !parser->got_some())) {
        break;
      }
      http_read_error readError = ToReadError(error);
      bool keepsAlive = readError == http_read_error::None &&
                        parser->is_done() && parser->keep_alive();
      http_request request =
        ToRequest(*parser, readError, mConfig.mMaxHeaderFields);
      parser.reset();
      SetPhase(*aConnection,
               client_phase::Serving,
               RequestBytes(request) + buffer.capacity());
      ++mActive;
      keepsAlive =
        co_await Respond(aConnection, std::move(request), keepsAlive);
      --mActive;
      aConnection->mIsReading = false;
      NotifyDrainProgress();
      if (!keepsAlive) {
        break;
      }
      buffer.shrink_to_fit();
      SetPhase(*aConnection, client_phase::Idle, buffer.capacity());
    } while (!mIsStopped);
    buffer = beast::flat_buffer();
    SetPhase(*aConnection, client_phase::Lingering, 0);
    co_await Linger(*aConnection);
  }

  /**
   * Reads until the peer closes: closing a socket with unread data resets the
   * connection, which may discard the response. The time is compared here: the
   * stream's timer doesn't end reads that complete at once.
   */
  asio::awaitable<void> Linger(http_connection& aConnection)
  {
    beast::error_code ignored;
    aConnection.mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    steady_time end = Now() + kLingerTimeout;
    aConnection.mStream.expires_at(end);
    std::size_t left =
      std::max(kMaxLingerBytes, mConfig.mMaxBodyBytes + kMaxBodyBuffer);
    std::array<char, 4096> scratch{};
    while (left > 0 && Now() < end) {
      auto [error, count] = co_await aConnection.mStream.async_read_some(
        asio::buffer(scratch), kNoThrow);
      if (error) {
        co_return;
      }
      left -= std::min(left, count);
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
      std::array<char, kFirstReadBytes> first{};
      auto [error, count] = co_await aConnection.mStream.async_read_some(
        asio::buffer(first), kNoThrow);
      if (error) {
        co_return error == beast::error::timeout ? asio::error::eof : error;
      }
      aBuffer.reserve(kReadBufferBytes);
      aBuffer.commit(
        asio::buffer_copy(aBuffer.prepare(count), asio::buffer(first, count)));
    }
    aConnection.mIsReading = true;
    SetPhase(aConnection, client_phase::Receiving, aBuffer.capacity());
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
    std::size_t fields = 0;
    bool isComplete = false;
    while (!error && !isComplete && !aProgress->mHasTimedOut &&
           !aProgress->mIsGivenUp) {
      bool wasHeaderDone = aParser.is_header_done();
      bool needsMore = Parse(aParser, aBuffer, error);
      aBody.Grow(aParser.get().body().size());
      // The parser holds the fields of an unfinished head too.
      if (!error && !wasHeaderDone) {
        fields = CountFields(aParser);
        error = CheckFields(fields);
      }
      isComplete = aParser.is_done() || HasUnusedBody(aParser);
      SetPhase(aConnection,
               client_phase::Receiving,
               ReceivedBytes(aParser, aBuffer, fields));
      if (needsMore && !error && !isComplete) {
        std::size_t size = beast::read_size(aBuffer, kMaxReadBytes);
        if (size == 0) {
          error = http::error::buffer_overflow;
          break;
        }
        auto [readError, count] = co_await aConnection.mStream.async_read_some(
          aBuffer.prepare(size), kNoThrow);
        aBuffer.commit(count);
        error = readError == asio::error::eof ? EndOfInput(aParser) : readError;
        isComplete = !error && aParser.is_done();
      }
    }
    aProgress->mIsDone = true;
    limit.cancel();
    aBody.Complete();
    if (aProgress->mIsGivenUp && !isComplete) {
      co_return asio::error::no_buffer_space;
    }
    bool hasTimedOut = aProgress->mHasTimedOut;
    co_return hasTimedOut ? beast::error::timeout : error;
  }

  /** Parses what the buffer holds; true if more bytes are needed. */
  static bool Parse(request_parser& aParser,
                    beast::flat_buffer& aBuffer,
                    beast::error_code& aError)
  {
    if (aBuffer.size() == 0) {
      return true;
    }
    aBuffer.consume(aParser.put(aBuffer.data(), aError));
    bool needsMore = aError == http::error::need_more;
    if (needsMore) {
      aError = {};
    }
    return needsMore || aBuffer.size() == 0;
  }

  /** The error of a request at whose place the peer has closed its side. */
  static beast::error_code EndOfInput(request_parser& aParser)
  {
    beast::error_code error = http::error::end_of_stream;
    if (aParser.got_some()) {
      error = {};
      aParser.put_eof(error);
    }
    return error;
  }

  beast::error_code CheckFields(std::size_t aFields) const
  {
    if (aFields <= mConfig.mMaxHeaderFields) {
      return {};
    }
    mClients->CountRefusedFields(Now());
    return http::error::header_limit;
  }

  /** True if the rest of the body is left unread, and the connection closed. */
  bool HasUnusedBody(request_parser& aParser) const
  {
    if (!mConfig.mTakesBody || !aParser.is_header_done() || aParser.is_done()) {
      return false;
    }
    auto left = aParser.content_length_remaining();
    bool isSmall = left && *left <= kMaxUnusedBody;
    return !isSmall && !mConfig.mTakesBody(HeadOf(aParser));
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
    SetPhase(
      *aConnection, client_phase::Sending, ResponseBytes(handlerResponse));
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
    http::response_serializer<http::string_body> serializer(response);
    std::uint64_t bytes = response.body().capacity();
    beast::error_code error;
    while (!error && !serializer.is_done()) {
      auto [writeError, count] = co_await http::async_write_some(
        aConnection->mStream, serializer, kNoThrow);
      error = writeError;
      if (!serializer.is_done()) {
        SetPhase(*aConnection, client_phase::Sending, bytes);
      }
    }
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
  made->mNumber = made->mClients->AddListener(made->mConfig.mMaxConnections,
                                              [weak = std::weak_ptr(made)] {
                                                if (auto self = weak.lock()) {
                                                  self->mListener->Resume();
                                                }
                                              });
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
    return !self || self->mClients->HasRoom(self->mNumber);
  };
  hooks.mOnAccepted = [aState](tcp::socket aSocket) {
    if (auto self = aState.lock()) {
      Start(self, std::move(aSocket));
    }
  };
  return hooks;
}

std::function<void(client_id)>
http_server::CloseHook(const std::weak_ptr<state>& aState,
                       const std::weak_ptr<http_connection>& aConnection)
{
  return [aState, aConnection](client_id aNumber) {
    auto open = aConnection.lock();
    if (open == nullptr) {
      return;
    }
    asio::post(open->mStream.get_executor(), [aState, open, aNumber] {
      auto self = aState.lock();
      if (self == nullptr || !self->mClients->IsClosing(aNumber)) {
        return;
      }
      // A request may have begun to arrive since the choice.
      beast::error_code ignored;
      bool hasRequest = open->mPhase == client_phase::Idle &&
                        open->mStream.socket().available(ignored) > 0;
      if (hasRequest) {
        self->mClients->Keep(aNumber);
      } else {
        open->mStream.close();
      }
    });
  };
}

void
http_server::Start(const std::shared_ptr<state>& aState, tcp::socket aSocket)
{
  auto connection = std::make_shared<http_connection>(
    http_connection{ beast::tcp_stream(std::move(aSocket)), nullptr });
  client_id number = aState->mClients->Open(
    aState->mNumber, CloseHook(aState, connection), Now());
  connection->mNumber = number;
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
                   aState->mClients->Close(number);
                   aState->NotifyDrainProgress();
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
