#include "drivers/backend_client.h"

#include "core/address.h"
#include "core/sharded_map.h"
#include "core/worker_number.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <charconv>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hibiscusspool {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
/** Time without an acknowledgement after which the kernel gives up, in ms. */
constexpr unsigned kUnacknowledgedMs = 3000;
/** A run must not be lost to a connection that the server just closed. */
constexpr milliseconds kFreshForRun{ 1000 };
constexpr milliseconds kCancelTimeout{ 500 };

struct backend_connection
{
  tcp::socket mSocket;
  beast::flat_buffer mBuffer;
  steady_time mUsedAt;
  /** Unused for longer, it is replaced. */
  milliseconds mLongestIdle{ 0 };
  worker_number mWorker = CurrentWorker();

  explicit backend_connection(const asio::any_io_executor& aExecutor)
    : mSocket(aExecutor)
  {
  }

  /** True when the peer closed it or sent what nobody asked for. */
  bool IsStale()
  {
    char byte = 0;
    ssize_t got =
      recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    bool isQuiet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return !isQuiet || mBuffer.size() > 0;
  }
};

using connection_pointer = std::shared_ptr<backend_connection>;
using attempt_request = http::request<http::span_body<const char>>;
using attempt_parser = http::response_parser<http::string_body>;

/** Extra answers that are read over before a connection is given up. */
constexpr int kMostForeign = 2;

attempt_request
MakeRequest(const backend_protocol& aDialect,
            const server_request& aOrder,
            steady_time aNow)
{
  auto left = std::chrono::duration_cast<milliseconds>(aOrder.mDeadline - aNow);
  backend_request_head call =
    aDialect.mEncode(aOrder, std::max(milliseconds(1), left));
  attempt_request request;
  request.method_string(call.mMethod);
  request.target(call.mTarget);
  for (const header_field& field : call.mFields) {
    request.insert(field.mName, field.mValue);
  }
  request.body() = { aOrder.mBody->data(), aOrder.mBody->size() };
  bool hasBody = !aOrder.mBody->empty() ||
                 request.method() == http::verb::post ||
                 request.method() == http::verb::put;
  if (hasBody) {
    request.prepare_payload();
  }
  return request;
}

server_response
ToReply(http::response<http::string_body>& aAnswer)
{
  server_response reply;
  reply.mStatus = aAnswer.result_int();
  for (const auto& field : aAnswer) {
    reply.mFields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  reply.mBody = std::move(aAnswer.body());
  return reply;
}

/** How long the server keeps an unused connection, if it says so. */
std::optional<milliseconds>
KeepAliveOf(const server_response& aReply)
{
  std::string_view text = aReply.Field("keep-alive");
  constexpr std::string_view kKey = "timeout=";
  std::size_t place = text.find(kKey);
  if (place == std::string_view::npos) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const char* start = text.data() + place + kKey.size();
  auto [stop, problem] =
    std::from_chars(start, text.data() + text.size(), seconds);
  if (problem != std::errc{} || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

backend_request_head
EncodeOwn(const server_request& aOrder, milliseconds aLeft)
{
  bool isRun = aOrder.mKind == request_kind::Run;
  backend_request_head call{ "POST", isRun ? "/v1/run" : "/v1/search", {} };
  call.mFields = { { "Host", aOrder.mPermit.mAddress },
                   { "Request-Id", aOrder.mAttemptId.mValue },
                   { "Deadline-Ms", std::to_string(aLeft.count()) },
                   { "Team", aOrder.mTeam.mValue } };
  if (isRun) {
    call.mFields.push_back({ "Idempotency-Key", aOrder.mKey.mValue });
  } else {
    call.mFields.push_back({ "Snapshot", std::to_string(aOrder.mSnapshot) });
  }
  return call;
}

attempt_status
JudgeOwn(const server_request& aOrder, const server_response& aReply)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kUnavailable = 503;
  // An answer to another request proves that the connection is crossed.
  if (aReply.Field("request-id") != aOrder.mAttemptId.mValue) {
    return attempt_status::BadAnswer;
  }
  if (aReply.mStatus == kUnavailable && aReply.Field("not-run") == "true") {
    return attempt_status::Shed;
  }
  if (aReply.mStatus != kOk) {
    return attempt_status::Failed;
  }
  bool isPinned = aOrder.mKind == request_kind::Query;
  if (isPinned &&
      aReply.Field("snapshot") != std::to_string(aOrder.mSnapshot)) {
    return attempt_status::WrongSnapshot;
  }
  return attempt_status::Answered;
}

}

backend_protocol
MakeNativeProtocol()
{
  return { EncodeOwn,
           JudgeOwn,
           [](const server_request&, const server_response&) { return false; },
           true };
}

const backend_protocol&
ProtocolOf(const backend_client_config& aConfig, const server_request& aOrder)
{
  bool isForwarded = aOrder.mForwarded != nullptr;
  return isForwarded ? aConfig.mForwardProtocol : aConfig.mNativeProtocol;
}

struct backend_client::state
{
  asio::io_context& mContext;
  backend_client_config mConfig;
  backend_client_hooks mHooks;
  sharded_map<connection_id, connection_pointer> mConnections;
  std::atomic<connection_id> mNextConnection{ 1 };

  state(asio::io_context& aContext,
        backend_client_config aConfig,
        backend_client_hooks aHooks)
    : mContext(aContext)
    , mConfig(std::move(aConfig))
    , mHooks(std::move(aHooks))
  {
  }

  /** The permitted connection, unless it should not be used any more. */
  connection_pointer TakeOpen(const server_request& aOrder, steady_time aNow)
  {
    if (aOrder.mPermit.mConnection == 0) {
      return nullptr;
    }
    auto kept = mConnections.Take(aOrder.mPermit.mConnection);
    if (!kept) {
      return nullptr;
    }
    milliseconds longest = (*kept)->mLongestIdle;
    if (!IsIdempotent(aOrder.mKind)) {
      longest = std::min(longest, kFreshForRun);
    }
    bool isOld = aNow - (*kept)->mUsedAt > longest;
    if (isOld || (*kept)->IsStale()) {
      return nullptr;
    }
    return std::move(*kept);
  }

  asio::awaitable<connection_pointer> Open(const server_request& aOrder)
  {
    auto address = ParseAddress(aOrder.mPermit.mAddress);
    if (!address) {
      co_return nullptr;
    }
    auto executor = co_await asio::this_coro::executor;
    auto opened = std::make_shared<backend_connection>(executor);
    asio::steady_timer timeout(executor);
    timeout.expires_at(
      std::min(aOrder.mGiveUpAt,
               std::chrono::steady_clock::now() + mConfig.mConnectTimeout));
    timeout.async_wait([opened](beast::error_code aError) {
      if (!aError) {
        beast::error_code ignored;
        opened->mSocket.close(ignored);
      }
    });
    tcp::endpoint endpoint(asio::ip::make_address(address->mIp),
                           address->mPort);
    auto [error] = co_await opened->mSocket.async_connect(endpoint, kNoThrow);
    timeout.cancel();
    if (error || !opened->mSocket.is_open()) {
      co_return nullptr;
    }
    beast::error_code ignored;
    opened->mSocket.set_option(tcp::no_delay(true), ignored);
    unsigned limit = kUnacknowledgedMs;
    setsockopt(opened->mSocket.native_handle(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &limit,
               sizeof limit);
    co_return opened;
  }

  connection_id Keep(connection_pointer aConnection, steady_time aNow)
  {
    aConnection->mUsedAt = aNow;
    // The number tells which worker the connection belongs to.
    connection_id number =
      mNextConnection++ * kMaxWorkers + aConnection->mWorker % kMaxWorkers;
    mConnections.Set(number, std::move(aConnection));
    return number;
  }

  asio::awaitable<attempt_result> Exchange(const server_request& aOrder,
                                           connection_pointer aConnection)
  {
    attempt_result ended;
    const backend_protocol& dialect = ProtocolOf(mConfig, aOrder);
    attempt_request request =
      MakeRequest(dialect, aOrder, std::chrono::steady_clock::now());
    auto [writeError, written] =
      co_await http::async_write(aConnection->mSocket, request, kNoThrow);
    if (writeError) {
      bool wasCancelled = writeError == asio::error::operation_aborted;
      ended.mStatus = written == 0   ? attempt_status::NotSent
                      : wasCancelled ? attempt_status::Cancelled
                                     : attempt_status::Reset;
      co_return ended;
    }
    bool isForeign = true;
    bool keeps = true;
    for (int number = 0; isForeign && number <= kMostForeign; ++number) {
      attempt_parser parser;
      parser.body_limit(mConfig.mMaxResponseBytes);
      auto [readError, count] = co_await http::async_read(
        aConnection->mSocket, aConnection->mBuffer, parser, kNoThrow);
      if (readError) {
        ended.mStatus = StatusOf(readError);
        co_return ended;
      }
      keeps = keeps && number == 0 && parser.keep_alive();
      ended.mResponse = ToReply(parser.get());
      isForeign = dialect.mIsMismatched(aOrder, ended.mResponse);
    }
    ended.mStatus = isForeign ? attempt_status::BadAnswer
                              : dialect.mClassify(aOrder, ended.mResponse);
    bool isUsable = ended.mStatus != attempt_status::BadAnswer && keeps &&
                    aConnection->mBuffer.size() == 0;
    if (isUsable) {
      auto kept = KeepAliveOf(ended.mResponse);
      // Used in the last part of the server's time, it may meet its close.
      aConnection->mLongestIdle =
        kept ? std::min(mConfig.mMaxIdle, *kept * 3 / 4) : mConfig.mMaxIdle;
      ended.mConnection =
        Keep(std::move(aConnection), std::chrono::steady_clock::now());
    }
    co_return ended;
  }

  static attempt_status StatusOf(beast::error_code aError)
  {
    if (aError == asio::error::operation_aborted) {
      return attempt_status::Cancelled;
    }
    bool isConnections =
      aError == http::error::end_of_stream ||
      aError == http::error::partial_message ||
      aError.category() == asio::error::get_system_category() ||
      aError.category() == asio::error::get_misc_category();
    return isConnections ? attempt_status::Reset : attempt_status::BadAnswer;
  }

  /** Tells a server that nobody waits for an attempt any more. */
  asio::awaitable<void> SendCancel(std::shared_ptr<state> /*aKept*/,
                                   server_id aServer,
                                   std::string aAddress,
                                   connection_id aNumber,
                                   request_id aAttempt)
  {
    auto kept = mConnections.Take(aNumber);
    if (!kept || (*kept)->IsStale()) {
      mHooks.mOnConnectionClosed(aServer);
      co_return;
    }
    connection_pointer connection = std::move(*kept);
    asio::steady_timer timeout(co_await asio::this_coro::executor);
    timeout.expires_after(kCancelTimeout);
    timeout.async_wait([connection](beast::error_code aError) {
      if (!aError) {
        beast::error_code ignored;
        connection->mSocket.close(ignored);
      }
    });
    http::request<http::empty_body> request(
      http::verb::delete_, "/v1/requests/" + aAttempt.mValue, 11);
    request.set(http::field::host, aAddress);
    request.set("Request-Id", aAttempt.mValue);
    auto [writeError, written] =
      co_await http::async_write(connection->mSocket, request, kNoThrow);
    attempt_parser parser;
    beast::error_code error = writeError;
    if (!error) {
      auto [readError, count] = co_await http::async_read(
        connection->mSocket, connection->mBuffer, parser, kNoThrow);
      error = readError;
    }
    timeout.cancel();
    if (error || !parser.keep_alive()) {
      mHooks.mOnConnectionClosed(aServer);
      co_return;
    }
    connection_id number =
      Keep(std::move(connection), std::chrono::steady_clock::now());
    mHooks.mReturnConnection(aServer, number);
  }
};

backend_client::backend_client(std::shared_ptr<state> aState)
  : mState(std::move(aState))
{
}

backend_client
backend_client::Create(asio::io_context& aContext,
                       backend_client_config aConfig,
                       backend_client_hooks aHooks)
{
  return backend_client(
    std::make_shared<state>(aContext, std::move(aConfig), std::move(aHooks)));
}

asio::awaitable<attempt_result>
backend_client::Attempt(server_request aOrder) const
{
  std::shared_ptr<state> kept = mState;
  connection_pointer connection =
    kept->TakeOpen(aOrder, std::chrono::steady_clock::now());
  if (connection == nullptr) {
    connection = co_await kept->Open(aOrder);
  }
  if (connection == nullptr) {
    co_return attempt_result{};
  }
  // Only a run waits longer than its request, whose end cancels the others.
  asio::steady_timer timeout(co_await asio::this_coro::executor);
  bool hasTimeout = aOrder.mGiveUpAt != aOrder.mDeadline;
  auto timedOut = std::make_shared<bool>(false);
  if (hasTimeout) {
    timeout.expires_at(aOrder.mGiveUpAt);
    timeout.async_wait([connection, timedOut](beast::error_code aError) {
      if (!aError) {
        *timedOut = true;
        beast::error_code ignored;
        connection->mSocket.close(ignored);
      }
    });
  }
  attempt_result ended = co_await kept->Exchange(aOrder, connection);
  timeout.cancel();
  bool isPast = std::chrono::steady_clock::now() >= aOrder.mDeadline;
  if (ended.mStatus == attempt_status::Cancelled && (isPast || *timedOut)) {
    ended.mStatus = attempt_status::TimedOut;
  }
  if (ended.mStatus == attempt_status::Cancelled &&
      ProtocolOf(kept->mConfig, aOrder).mSendsCancel) {
    const server_id& server = aOrder.mPermit.mServer;
    auto borrowed = kept->mHooks.mBorrowConnection(server);
    if (borrowed) {
      asio::co_spawn(
        asio::make_strand(kept->mContext),
        kept->SendCancel(
          kept, server, aOrder.mPermit.mAddress, *borrowed, aOrder.mAttemptId),
        asio::detached);
    }
  }
  co_return ended;
}

void
backend_client::Close(const std::vector<connection_id>& aConnections) const
{
  for (connection_id number : aConnections) {
    mState->mConnections.Take(number);
  }
}

std::size_t
backend_client::OpenCount() const
{
  return mState->mConnections.Count();
}

}
