#include "drivers/backend_client.h"

#include "core/address.h"
#include "core/background_task.h"
#include "core/log_event.h"
#include "core/sharded_map.h"
#include "core/worker_number.h"
#include "decisions/servers/exchange_history.h"
#include "drivers/http_status.h"
#include "drivers/rate_field.h"
#include "drivers/retry_after.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
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
/** Time without an acknowledgement after which the kernel closes a socket. */
constexpr unsigned kTcpUserTimeoutMs = 3000;
/**
 * Maximum idle time of a connection that is reused for a run, which must not be
 * lost on a connection that the server has just closed.
 */
constexpr milliseconds kMaxIdleForRun{ 1000 };
constexpr milliseconds kCancelTimeout{ 500 };
constexpr unsigned kUnavailable = 503;
/** Maximum number of buffered bytes that are not part of a body yet. */
constexpr std::size_t kMaxBufferBytes = 128 << 10;

struct backend_connection
{
  tcp::socket mSocket;
  /** Bounded, since a chunk header or a trailer may not end. */
  beast::flat_buffer mBuffer{ kMaxBufferBytes };
  steady_time mUsedAt;
  /** The connection is replaced if it was idle for longer. */
  milliseconds mMaxIdleTime{ 0 };
  exchange_history mHistory;
  worker_number mWorker = CurrentWorker();

  explicit backend_connection(const asio::any_io_executor& aExecutor)
    : mSocket(aExecutor)
  {
  }

  /** True if the peer closed the connection or sent unexpected data. */
  bool IsStale()
  {
    char byte = 0;
    ssize_t got =
      recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    bool isSilent = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return !isSilent || mBuffer.size() > 0;
  }
};

using connection_pointer = std::shared_ptr<backend_connection>;
using backend_request = http::request<http::span_body<const char>>;
using response_parser = http::response_parser<http::string_body>;

/** Maximum number of responses to earlier requests that an exchange skips. */
constexpr int kMaxSkipped = 2;
/** Maximum number of informational responses before the final one. */
constexpr int kMaxInformational = 8;

/** True if the head of a response was read and its status is none. */
bool
HasInvalidStatus(response_parser& aParser)
{
  return aParser.is_header_done() && !IsHttpStatus(aParser.get().result_int());
}

/** True for a response that precedes the final one and has no body. */
bool
IsInformational(unsigned aStatus)
{
  constexpr unsigned kSwitchingProtocols = 101;
  return aStatus / 100 == 1 && aStatus != kSwitchingProtocols;
}

backend_request
MakeRequest(const backend_protocol& aProtocol,
            const server_request& aRequest,
            steady_time aNow)
{
  auto left =
    std::chrono::duration_cast<milliseconds>(aRequest.mDeadline - aNow);
  backend_request_head head =
    aProtocol.mEncode(aRequest, std::max(milliseconds(1), left));
  backend_request request;
  request.method_string(head.mMethod);
  request.target(head.mTarget);
  for (const header_field& field : head.mFields) {
    request.insert(field.mName, field.mValue);
  }
  request.body() = { aRequest.mBody->data(), aRequest.mBody->size() };
  bool hasBody = !aRequest.mBody->empty() ||
                 request.method() == http::verb::post ||
                 request.method() == http::verb::put;
  if (hasBody) {
    request.prepare_payload();
  }
  return request;
}

server_response
ToResponse(http::response<http::string_body>& aResponse)
{
  server_response response;
  response.mStatus = aResponse.result_int();
  for (const auto& field : aResponse) {
    response.mFields.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  response.mBody = std::move(aResponse.body());
  return response;
}

/** How long the server keeps an idle connection, if it says so. */
std::optional<milliseconds>
KeepAliveOf(const server_response& aResponse)
{
  std::string_view text = aResponse.Field("keep-alive");
  constexpr std::string_view kKey = "timeout=";
  std::size_t start = text.find(kKey);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const char* digits = text.data() + start + kKey.size();
  auto [stop, problem] =
    std::from_chars(digits, text.data() + text.size(), seconds);
  if (problem != std::errc{} || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

backend_request_head
EncodeNative(const server_request& aRequest, milliseconds aLeft)
{
  bool isRun = aRequest.mKind == request_kind::Run;
  backend_request_head head{ "POST", isRun ? "/v1/run" : "/v1/search", {} };
  head.mFields = { { "Host", aRequest.mPermit.mAddress },
                   { "Request-Id", aRequest.mAttemptId.mValue },
                   { "Deadline-Ms", std::to_string(aLeft.count()) },
                   { "Team", aRequest.mTeam.mValue } };
  if (isRun) {
    head.mFields.push_back({ "Idempotency-Key", aRequest.mKey.mValue });
  } else {
    head.mFields.push_back({ "Snapshot", std::to_string(aRequest.mSnapshot) });
  }
  return head;
}

std::string_view
RequestIdNative(const server_request& aRequest)
{
  return aRequest.mAttemptId.mValue;
}

std::string_view
NamedRequestNative(const server_response& aResponse)
{
  return aResponse.Field("request-id");
}

attempt_status
ClassifyNative(const server_request& aRequest, const server_response& aResponse)
{
  constexpr unsigned kOk = 200;
  // A response to another request proves that the connection is out of sync.
  if (NamedRequestNative(aResponse) != aRequest.mAttemptId.mValue) {
    return attempt_status::BadResponse;
  }
  if (aResponse.mStatus == kUnavailable &&
      aResponse.Field("not-run") == "true") {
    return attempt_status::Shed;
  }
  if (aResponse.mStatus != kOk) {
    return attempt_status::Failed;
  }
  bool isPinned = aRequest.mKind == request_kind::Query;
  if (isPinned &&
      aResponse.Field("snapshot") != std::to_string(aRequest.mSnapshot)) {
    return attempt_status::WrongSnapshot;
  }
  return attempt_status::Answered;
}

server_notice
ReadNoticeNative(const server_response& aResponse, wall_ms aNow)
{
  server_notice notice;
  notice.mIsLeaving = aResponse.Field("leaving") == "true";
  notice.mRate = ReadRateField(aResponse, "rate-limit");
  if (aResponse.mStatus == kUnavailable) {
    notice.mPause = ParseRetryAfter(aResponse.Field("retry-after"), aNow);
  }
  return notice;
}

wall_ms
WallTime()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

}

backend_protocol
MakeNativeProtocol()
{
  return { EncodeNative,       ClassifyNative,   RequestIdNative,
           NamedRequestNative, ReadNoticeNative, true };
}

const backend_protocol&
ProtocolOf(const backend_client_config& aConfig, const server_request& aRequest)
{
  bool isForwarded = aRequest.mForwarded != nullptr;
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

  /** The connection that the permit names, unless it is expired or stale, or
   * has carried the request before. */
  connection_pointer TakePermitted(const server_request& aRequest,
                                   steady_time aNow)
  {
    if (aRequest.mPermit.mConnection == 0) {
      return nullptr;
    }
    auto found = mConnections.Take(aRequest.mPermit.mConnection);
    if (!found) {
      return nullptr;
    }
    milliseconds maxIdle = (*found)->mMaxIdleTime;
    if (!IsIdempotent(aRequest.mKind)) {
      maxIdle = std::min(maxIdle, kMaxIdleForRun);
    }
    bool isExpired = aNow - (*found)->mUsedAt > maxIdle;
    std::string_view id = ProtocolOf(mConfig, aRequest).mRequestId(aRequest);
    if (isExpired || !(*found)->mHistory.MayCarry(id, aNow) ||
        (*found)->IsStale()) {
      return nullptr;
    }
    return std::move(*found);
  }

  asio::awaitable<connection_pointer> Open(const server_request& aRequest)
  {
    auto address = ParseAddress(aRequest.mPermit.mAddress);
    if (!address) {
      co_return nullptr;
    }
    auto executor = co_await asio::this_coro::executor;
    auto opened = std::make_shared<backend_connection>(executor);
    opened->mMaxIdleTime = mConfig.mMaxIdleTime;
    asio::steady_timer timeout(executor);
    timeout.expires_at(
      std::min(aRequest.mGiveUpAt,
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
    unsigned limit = kTcpUserTimeoutMs;
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
    // The number encodes the worker that the connection belongs to.
    connection_id number =
      mNextConnection++ * kMaxWorkers + aConnection->mWorker % kMaxWorkers;
    mConnections.Set(number, std::move(aConnection));
    return number;
  }

  asio::awaitable<attempt_result> Exchange(const server_request& aRequest,
                                           connection_pointer aConnection)
  {
    attempt_result outcome;
    const backend_protocol& protocol = ProtocolOf(mConfig, aRequest);
    backend_request request =
      MakeRequest(protocol, aRequest, std::chrono::steady_clock::now());
    // The process may have been paused since the attempt was permitted. Nothing
    // is left to do between this check and the write.
    steady_time now = std::chrono::steady_clock::now();
    if (now >= aRequest.mDeadline || !mHooks.mMaySend(aRequest, now)) {
      outcome.mStatus = attempt_status::Withdrawn;
      outcome.mConnection = Keep(std::move(aConnection), now);
      co_return outcome;
    }
    std::string_view id = protocol.mRequestId(aRequest);
    aConnection->mHistory.OnRequest(id, aRequest.mDeadline, now);
    auto [writeError, written] =
      co_await http::async_write(aConnection->mSocket, request, kNoThrow);
    if (writeError) {
      bool wasCancelled = writeError == asio::error::operation_aborted;
      if (written == 0) {
        outcome.mStatus =
          wasCancelled ? attempt_status::Withdrawn : attempt_status::NotSent;
      } else {
        outcome.mStatus =
          wasCancelled ? attempt_status::Cancelled : attempt_status::Reset;
      }
      co_return outcome;
    }
    response_owner owner = response_owner::Earlier;
    bool keepsAlive = true;
    int maxSkipped = protocol.mSkipsEarlier ? kMaxSkipped : 0;
    for (int number = 0;
         owner == response_owner::Earlier && number <= maxSkipped;
         ++number) {
      std::optional<response_parser> parser;
      auto readStatus = co_await ReadFinal(aConnection, parser, outcome);
      if (readStatus) {
        outcome.mStatus = *readStatus;
        co_return outcome;
      }
      keepsAlive = keepsAlive && number == 0 && parser->keep_alive();
      auto heldBody = std::move(outcome.mResponse.mHeldBody);
      outcome.mResponse = ToResponse(parser->get());
      outcome.mResponse.mHeldBody = std::move(heldBody);
      owner = aConnection->mHistory.OnResponse(
        id, protocol.mNamedRequest(outcome.mResponse));
    }
    outcome.mStatus = JudgeResponse(aRequest, outcome.mResponse, owner);
    if (owner == response_owner::Current || owner == response_owner::Unnamed) {
      outcome.mNotice = protocol.mReadNotice(outcome.mResponse, WallTime());
    }
    bool isUsable = outcome.mStatus != attempt_status::BadResponse &&
                    keepsAlive && aConnection->mBuffer.size() == 0;
    if (isUsable) {
      auto keepAlive = KeepAliveOf(outcome.mResponse);
      // A request late in the keep-alive time would race with the server's
      // close.
      aConnection->mMaxIdleTime =
        keepAlive ? std::min(mConfig.mMaxIdleTime, *keepAlive * 3 / 4)
                  : mConfig.mMaxIdleTime;
      outcome.mConnection =
        Keep(std::move(aConnection), std::chrono::steady_clock::now());
    }
    co_return outcome;
  }

  /**
   * Reads the next response that is not informational. Returns the status of
   * the attempt if there is none; otherwise `aParser` has the response, and
   * `aOutcome` what counts its body.
   */
  asio::awaitable<std::optional<attempt_status>> ReadFinal(
    connection_pointer aConnection,
    std::optional<response_parser>& aParser,
    attempt_result& aOutcome)
  {
    for (int number = 0; number <= kMaxInformational; ++number) {
      aParser.emplace();
      aParser->body_limit(mConfig.mMaxResponseBytes);
      auto failed = co_await ReadResponse(aConnection, *aParser, aOutcome);
      if (failed || !IsInformational(aParser->get().result_int())) {
        co_return failed;
      }
    }
    co_return attempt_status::BadResponse;
  }

  /** Reads one response; returns the status of the attempt if that fails. */
  asio::awaitable<std::optional<attempt_status>> ReadResponse(
    connection_pointer aConnection,
    response_parser& aParser,
    attempt_result& aOutcome)
  {
    struct read_state
    {
      bool mIsReading = true;
      bool mIsGivenUp = false;
    };
    auto state = std::make_shared<read_state>();
    auto executor = co_await asio::this_coro::executor;
    auto end = [executor, state, connection = aConnection] {
      asio::post(executor, [state, connection] {
        // The connection may be in use for another request by now.
        if (state->mIsReading) {
          state->mIsGivenUp = true;
          beast::error_code ignored;
          connection->mSocket.close(ignored);
        }
      });
    };
    auto body = std::make_shared<held_transfer>(mConfig.mTransfers, end);
    beast::error_code error;
    aParser.eager(true);
    bool isInvalid = false;
    while (!error && !isInvalid && !aParser.is_done() && !state->mIsGivenUp) {
      auto [readError, count] = co_await http::async_read_some(
        aConnection->mSocket, aConnection->mBuffer, aParser, kNoThrow);
      error = readError;
      body->Grow(aParser.get().body().size());
      isInvalid = HasInvalidStatus(aParser);
    }
    state->mIsReading = false;
    body->Complete();
    if (body->IsCounted()) {
      aOutcome.mResponse.mHeldBody = body;
    }
    if (state->mIsGivenUp) {
      log_event("response_given_up", log_event::severity::Warning)
        .Add("bytes", aParser.get().body().size());
      co_return attempt_status::BadResponse;
    }
    if (isInvalid) {
      log_event("status_invalid", log_event::severity::Warning)
        .Add("status", aParser.get().result_int());
      co_return attempt_status::BadResponse;
    }
    if (error) {
      co_return StatusOf(error);
    }
    co_return std::nullopt;
  }

  attempt_status JudgeResponse(const server_request& aRequest,
                               const server_response& aResponse,
                               response_owner aOwner) const
  {
    bool isForeign =
      aOwner == response_owner::Earlier || aOwner == response_owner::Doubtful;
    if (isForeign) {
      return attempt_status::BadResponse;
    }
    attempt_status status =
      ProtocolOf(mConfig, aRequest).mClassify(aRequest, aResponse);
    // A refusal that may belong to an earlier request doesn't prove that this
    // one has not run.
    bool isProof =
      aOwner == response_owner::Current || IsIdempotent(aRequest.mKind);
    return status == attempt_status::Shed && !isProof
             ? attempt_status::BadResponse
             : status;
  }

  static attempt_status StatusOf(beast::error_code aError)
  {
    if (aError == asio::error::operation_aborted) {
      return attempt_status::Cancelled;
    }
    bool isConnectionError =
      aError == http::error::end_of_stream ||
      aError == http::error::partial_message ||
      aError.category() == asio::error::get_system_category() ||
      aError.category() == asio::error::get_misc_category();
    return isConnectionError ? attempt_status::Reset
                             : attempt_status::BadResponse;
  }

  /** Sends a server the cancellation of an attempt on an idle connection. */
  asio::awaitable<void> SendCancel(std::shared_ptr<state> /*aSelf*/,
                                   server_id aServer,
                                   std::string aAddress,
                                   connection_id aNumber,
                                   request_id aAttempt)
  {
    auto idle = mConnections.Take(aNumber);
    if (!idle || (*idle)->IsStale()) {
      mHooks.mOnConnectionClosed(aServer);
      co_return;
    }
    connection_pointer connection = std::move(*idle);
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
    response_parser parser;
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
backend_client::SendAttempt(server_request aRequest) const
{
  std::shared_ptr<state> self = mState;
  connection_pointer connection =
    self->TakePermitted(aRequest, std::chrono::steady_clock::now());
  if (connection == nullptr) {
    connection = co_await self->Open(aRequest);
  }
  if (connection == nullptr) {
    auto cancellation = co_await asio::this_coro::cancellation_state;
    bool isCancelled =
      cancellation.cancelled() != asio::cancellation_type::none;
    bool isExpired = std::chrono::steady_clock::now() >= aRequest.mGiveUpAt;
    attempt_result unsent;
    if (isCancelled || isExpired) {
      unsent.mStatus = attempt_status::Withdrawn;
    }
    co_return unsent;
  }
  // An attempt of a run or on a cold slot may continue after its request has
  // ended and needs its own time-out; others are cancelled with the request.
  asio::steady_timer timeout(co_await asio::this_coro::executor);
  bool hasTimeout = aRequest.mGiveUpAt != aRequest.mDeadline;
  auto timedOut = std::make_shared<bool>(false);
  if (hasTimeout) {
    timeout.expires_at(aRequest.mGiveUpAt);
    timeout.async_wait([connection, timedOut](beast::error_code aError) {
      if (!aError) {
        *timedOut = true;
        beast::error_code ignored;
        connection->mSocket.close(ignored);
      }
    });
  }
  attempt_result outcome = co_await self->Exchange(aRequest, connection);
  timeout.cancel();
  bool isPastDeadline = std::chrono::steady_clock::now() >= aRequest.mDeadline;
  if (outcome.mStatus == attempt_status::Cancelled &&
      (isPastDeadline || *timedOut)) {
    outcome.mStatus = attempt_status::TimedOut;
  }
  if (outcome.mStatus == attempt_status::Cancelled &&
      ProtocolOf(self->mConfig, aRequest).mSendsCancel) {
    const server_id& server = aRequest.mPermit.mServer;
    auto borrowed = self->mHooks.mBorrowConnection(server);
    if (borrowed) {
      RunInBackground(asio::make_strand(self->mContext),
                      "cancel",
                      self->SendCancel(self,
                                       server,
                                       aRequest.mPermit.mAddress,
                                       *borrowed,
                                       aRequest.mAttemptId));
    }
  }
  co_return outcome;
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
