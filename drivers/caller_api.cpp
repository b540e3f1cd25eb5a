#include "drivers/caller_api.h"

#include "drivers/error_response.h"
#include "messages/caller_json.h"

#include <charconv>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kTeams = "/v1/teams/";
constexpr std::size_t kLongestHeader = 256;

/** `/v1/teams/NAME/query` or `/run`, taken apart. */
struct team_path
{
  team_id mTeam;
  request_kind mKind = request_kind::Query;
};

std::optional<team_path>
ParsePath(std::string_view aPath)
{
  if (!aPath.starts_with(kTeams)) {
    return std::nullopt;
  }
  aPath.remove_prefix(kTeams.size());
  std::size_t slash = aPath.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  auto kind = ValueOf<request_kind>(aPath.substr(slash + 1));
  bool isOwn = kind == request_kind::Query || kind == request_kind::Run;
  if (!isOwn) {
    return std::nullopt;
  }
  return team_path{ team_id{ std::string(aPath.substr(0, slash)) }, *kind };
}

request_error
FaultOf(http_read_error aFault)
{
  switch (aFault) {
    case http_read_error::HeaderTooLarge:
    case http_read_error::BodyTooLarge:
      return { refusal_reason::BodyTooLarge,
               "The headers or the body are larger than this host takes." };
    case http_read_error::ReadTimeout:
      return { refusal_reason::BadRequest,
               "The request did not arrive whole in time." };
    case http_read_error::Malformed:
    case http_read_error::None:
      break;
  }
  return { refusal_reason::BadRequest, "The request is not whole HTTP/1.1." };
}

/** A header's text, or a fault when it is overlong. */
std::string
TakeHeader(const http_request& aRequest,
           const std::string& aName,
           request_context& aContext)
{
  std::string value = aRequest.Header(aName).value_or("");
  if (value.size() > kLongestHeader) {
    aContext.mError =
      request_error{ refusal_reason::BadRequest,
                     "Header " + aName + " is longer than " +
                       std::to_string(kLongestHeader) + " letters." };
    return {};
  }
  return value;
}

void
TakeDeadline(const http_request& aRequest, request_context& aContext)
{
  auto text = aRequest.Header("deadline-ms");
  if (!text) {
    return;
  }
  std::int64_t wait = 0;
  const char* end = text->data() + text->size();
  auto [stop, problem] = std::from_chars(text->data(), end, wait);
  constexpr std::int64_t kLongest = 86'400'000;
  bool isGood =
    problem == std::errc{} && stop == end && wait > 0 && wait <= kLongest;
  if (!isGood) {
    aContext.mError =
      request_error{ refusal_reason::BadRequest,
                     "Header Deadline-Ms is \"" +
                       text->substr(0, kLongestHeader) +
                       "\"; allowed is a whole number from 1 to " +
                       std::to_string(kLongest) + "." };
    return;
  }
  aContext.mCallerWait = milliseconds(wait);
}

request_context
ToContext(http_request& aRequest, const team_path& aPath, steady_time aNow)
{
  request_context context;
  context.mReceivedAt = aNow;
  context.mTeam = aPath.mTeam;
  context.mKind = aPath.mKind;
  context.mRequest.mValue = TakeHeader(aRequest, "request-id", context);
  context.mKey.mValue = TakeHeader(aRequest, "idempotency-key", context);
  TakeDeadline(aRequest, context);
  if (aRequest.mReadError != http_read_error::None) {
    context.mError = FaultOf(aRequest.mReadError);
  }
  context.mBody =
    std::make_shared<const std::string>(std::move(aRequest.mBody));
  return context;
}

http_response
ToReply(const request_context& aContext)
{
  http_response reply;
  reply.mHeaders.emplace_back("Request-Id", aContext.mRequest.mValue);
  if (!aContext.mRefusal) {
    reply.mBody = EncodeAnswer(aContext);
    return reply;
  }
  reply.mStatus = HttpStatusOf(aContext.mRefusal->mReason);
  reply.mBody = EncodeRefusal(*aContext.mRefusal);
  milliseconds retry = aContext.mRefusal->mRetryAfter;
  if (retry > milliseconds(0)) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(retry);
    reply.mHeaders.emplace_back("Retry-After", std::to_string(seconds.count()));
  }
  return reply;
}

/** The paths that are answered without the chain. */
std::optional<http_response>
AnswerPlain(const http_request& aRequest,
            const caller_api_config& aConfig,
            const caller_api_hooks& aHooks)
{
  bool isRead = aRequest.mMethod == "GET" || aRequest.mMethod == "HEAD";
  http_response reply;
  if (aRequest.mPath == "/v1/entry-hosts" && isRead) {
    failure_domain_id nearby{
      aRequest.Parameter("failure_domain").value_or("")
    };
    reply.mBody =
      EncodeEntryHosts(aHooks.mEntryHosts(nearby), aConfig.mListTtl);
    return reply;
  }
  if (aRequest.mPath == "/healthz" && isRead) {
    reply.mBody = R"({"status":"alive"})";
    return reply;
  }
  if (aRequest.mPath == "/readyz" && isRead) {
    bool isReady = aHooks.mIsReady();
    reply.mStatus = isReady ? 200 : 503;
    reply.mBody =
      isReady ? R"({"status":"ready"})" : R"({"status":"not_ready"})";
    return reply;
  }
  if (aRequest.mPath == "/metrics" && isRead) {
    reply.mContentType = "text/plain; version=0.0.4";
    reply.mBody = aHooks.mMetrics();
    return reply;
  }
  return std::nullopt;
}

asio::awaitable<http_response>
Handle(http_request aRequest,
       const caller_api_config& aConfig,
       const filter_chain& aChain,
       const caller_api_hooks& aHooks)
{
  auto plain = AnswerPlain(aRequest, aConfig, aHooks);
  if (plain) {
    co_return std::move(*plain);
  }
  auto path = ParsePath(aRequest.mPath);
  bool isFaulty = aRequest.mReadError != http_read_error::None;
  if (!path && !isFaulty) {
    co_return ErrorResponse(404, "no_such_path", "There is nothing here.");
  }
  if (path && aRequest.mMethod != "POST" && !isFaulty) {
    co_return ErrorResponse(405, "wrong_method", "This path takes POST.");
  }
  // A request too broken to name a team is refused and accounted for too.
  request_context context =
    ToContext(aRequest, path.value_or(team_path{}), aHooks.mNow());
  co_await RunChain(aChain, context);
  co_return ToReply(context);
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
    case refusal_reason::UnknownTeam:
      return 404;
    case refusal_reason::KeyReused:
    case refusal_reason::Quarantined:
      return 409;
    case refusal_reason::TeamLimit:
      return 429;
    case refusal_reason::DeadlinePassed:
    case refusal_reason::OutcomeUnknown:
      return 504;
    case refusal_reason::NotConfirmed:
    case refusal_reason::HostLimit:
    case refusal_reason::CoverageTooLow:
    case refusal_reason::NoSnapshot:
    case refusal_reason::ClaimsFull:
    case refusal_reason::ClaimFailed:
    case refusal_reason::NoServer:
      return 503;
  }
  return 503;
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
