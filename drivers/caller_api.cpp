#include "drivers/caller_api.h"

#include "drivers/error_response.h"
#include "drivers/metrics_text.h"
#include "messages/caller_json.h"

#include <charconv>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kTeamsPrefix = "/v1/teams/";
constexpr std::size_t kMaxHeaderLength = 256;

/** The parts of `/v1/teams/NAME/query` or `/v1/teams/NAME/run`. */
struct team_path
{
  team_id mTeam;
  request_kind mKind = request_kind::Query;
};

std::optional<team_path>
ParsePath(std::string_view aPath)
{
  if (!aPath.starts_with(kTeamsPrefix)) {
    return std::nullopt;
  }
  aPath.remove_prefix(kTeamsPrefix.size());
  std::size_t slash = aPath.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  auto kind = ValueOf<request_kind>(aPath.substr(slash + 1));
  bool isSupported = kind == request_kind::Query || kind == request_kind::Run;
  if (!isSupported) {
    return std::nullopt;
  }
  return team_path{ team_id{ std::string(aPath.substr(0, slash)) }, *kind };
}

request_error
ToRequestError(http_read_error aError)
{
  switch (aError) {
    case http_read_error::HeaderTooLarge:
    case http_read_error::BodyTooLarge:
      return { refusal_reason::BodyTooLarge,
               "The headers or the body exceed the limit of this host." };
    case http_read_error::ReadTimeout:
      return { refusal_reason::BadRequest,
               "The request was not received completely in time." };
    case http_read_error::NoRoom:
      return { refusal_reason::HostLimit,
               "This host holds too many bytes of request bodies." };
    case http_read_error::Malformed:
    case http_read_error::None:
      break;
  }
  return { refusal_reason::BadRequest, "The request is not valid HTTP/1.1." };
}

/** Returns a header's value; sets the context's error if it is too long. */
std::string
ReadHeader(const http_request& aRequest,
           const std::string& aName,
           request_context& aContext)
{
  std::string value = aRequest.Header(aName).value_or("");
  if (value.size() > kMaxHeaderLength) {
    aContext.mError =
      request_error{ refusal_reason::BadRequest,
                     "Header " + aName + " is longer than " +
                       std::to_string(kMaxHeaderLength) + " characters." };
    return {};
  }
  return value;
}

void
ReadDeadline(const http_request& aRequest, request_context& aContext)
{
  auto text = aRequest.Header("deadline-ms");
  if (!text) {
    return;
  }
  std::int64_t wait = 0;
  const char* end = text->data() + text->size();
  auto [stop, problem] = std::from_chars(text->data(), end, wait);
  constexpr std::int64_t kMaxWaitMs = 86'400'000;
  bool isValid =
    problem == std::errc{} && stop == end && wait > 0 && wait <= kMaxWaitMs;
  if (!isValid) {
    aContext.mError =
      request_error{ refusal_reason::BadRequest,
                     "Header Deadline-Ms is \"" +
                       text->substr(0, kMaxHeaderLength) +
                       "\"; allowed is a whole number from 1 to " +
                       std::to_string(kMaxWaitMs) + "." };
    return;
  }
  aContext.mCallerTimeout = milliseconds(wait);
}

request_context
ToContext(http_request& aRequest, const team_path& aPath, steady_time aNow)
{
  request_context context;
  context.mReceivedAt = aNow;
  context.mTeam = aPath.mTeam;
  context.mKind = aPath.mKind;
  context.mRequest.mValue = ReadHeader(aRequest, "request-id", context);
  context.mKey.mValue = ReadHeader(aRequest, "idempotency-key", context);
  ReadDeadline(aRequest, context);
  if (aRequest.mReadError != http_read_error::None) {
    context.mError = ToRequestError(aRequest.mReadError);
  }
  context.mBody =
    std::make_shared<const std::string>(std::move(aRequest.mBody));
  return context;
}

http_response
ToResponse(const request_context& aContext)
{
  http_response response;
  response.mHeaders.emplace_back("Request-Id", aContext.mRequest.mValue);
  if (!aContext.mRefusal) {
    response.mBody = EncodeResponse(aContext);
    return response;
  }
  response.mStatus = HttpStatusOf(aContext.mRefusal->mReason);
  response.mBody = EncodeRefusal(*aContext.mRefusal);
  milliseconds retry = aContext.mRefusal->mRetryAfter;
  if (retry > milliseconds(0)) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(retry);
    response.mHeaders.emplace_back("Retry-After",
                                   std::to_string(seconds.count()));
  }
  return response;
}

/** Handles the paths that need no filter chain. */
std::optional<http_response>
HandleWithoutChain(const http_request& aRequest,
                   const caller_api_config& aConfig,
                   const caller_api_hooks& aHooks)
{
  bool isGetOrHead = aRequest.mMethod == "GET" || aRequest.mMethod == "HEAD";
  http_response response;
  if (aRequest.mPath == "/v1/entry-hosts" && isGetOrHead) {
    failure_domain_id failureDomain{
      aRequest.Parameter("failure_domain").value_or("")
    };
    response.mBody =
      EncodeEntryHosts(aHooks.mEntryHosts(failureDomain), aConfig.mListTtl);
    return response;
  }
  if (aRequest.mPath == "/healthz" && isGetOrHead) {
    response.mBody = R"({"status":"alive"})";
    return response;
  }
  if (aRequest.mPath == "/readyz" && isGetOrHead) {
    bool isReady = aHooks.mIsReady();
    response.mStatus = isReady ? 200 : 503;
    response.mBody =
      isReady ? R"({"status":"ready"})" : R"({"status":"not_ready"})";
    return response;
  }
  if (aRequest.mPath == kMetricsPath && isGetOrHead) {
    response.mContentType = kMetricsContentType;
    response.mBody = aHooks.mMetrics();
    return response;
  }
  return std::nullopt;
}

asio::awaitable<http_response>
Handle(http_request aRequest,
       const caller_api_config& aConfig,
       const filter_chain& aChain,
       const caller_api_hooks& aHooks)
{
  auto direct = HandleWithoutChain(aRequest, aConfig, aHooks);
  if (direct) {
    co_return std::move(*direct);
  }
  auto path = ParsePath(aRequest.mPath);
  bool isUnreadable = aRequest.mReadError != http_read_error::None;
  if (!path && !isUnreadable) {
    co_return ErrorResponse(404, "no_such_path", "This path does not exist.");
  }
  if (path && aRequest.mMethod != "POST" && !isUnreadable) {
    co_return ErrorResponse(
      405, "wrong_method", "This path supports only POST.");
  }
  // A malformed request without a team is refused and counted too.
  request_context context =
    ToContext(aRequest, path.value_or(team_path{}), aHooks.mNow());
  co_await RunChain(aChain, context);
  co_return ToResponse(context);
}

}

unsigned
HttpStatusOf(refusal_reason aReason)
{
  switch (aReason) {
    case refusal_reason::BadRequest:
    case refusal_reason::BodyTooLarge:
    case refusal_reason::MissingKey:
    case refusal_reason::HeaderTooLarge:
    case refusal_reason::SlowSender:
      return 400;
    case refusal_reason::UnknownKey:
      return 401;
    case refusal_reason::UnknownTeam:
      return 404;
    case refusal_reason::KeyReused:
    case refusal_reason::Quarantined:
      return 409;
    case refusal_reason::TeamLimit:
    case refusal_reason::QuotaExceeded:
      return 429;
    case refusal_reason::DeadlinePassed:
    case refusal_reason::OutcomeUnknown:
      return 504;
    case refusal_reason::NotConfirmed:
    case refusal_reason::HostLimit:
    case refusal_reason::Overloaded:
    case refusal_reason::CoverageTooLow:
    case refusal_reason::NoSnapshot:
    case refusal_reason::ClaimsFull:
    case refusal_reason::ClaimFailed:
    case refusal_reason::NoServer:
      return 503;
  }
  return 503;
}

bool
IsCallersRequest(const http_request_head& aHead)
{
  return aHead.mMethod == "POST" && ParsePath(aHead.mPath).has_value();
}

http_handler
MakeCallerApi(caller_api_config aConfig,
              std::shared_ptr<const filter_chain> aChain,
              caller_api_hooks aHooks)
{
  auto hooks = std::make_shared<const caller_api_hooks>(std::move(aHooks));
  return [aConfig, chain = std::move(aChain), hooks](
           http_request aRequest) -> asio::awaitable<http_response> {
    co_return co_await Handle(std::move(aRequest), aConfig, *chain, *hooks);
  };
}

}
