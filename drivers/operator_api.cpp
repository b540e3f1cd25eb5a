#include "drivers/operator_api.h"

#include "core/log_event.h"
#include "drivers/error_response.h"
#include "drivers/metrics_text.h"
#include "messages/operator_json.h"

#include <charconv>

namespace hibiscusspool {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds kChangeTimeout{ 10'000 };
constexpr milliseconds kReadTimeout{ 3000 };
constexpr std::size_t kMaxChangeIdLength = 128;

http_response
JsonResponse(unsigned aStatus, const json::value& aBody)
{
  http_response response;
  response.mStatus = aStatus;
  response.mBody = json::serialize(aBody);
  return response;
}

unsigned
StatusOf(change_verdict aVerdict)
{
  switch (aVerdict) {
    case change_verdict::Accepted:
      return 200;
    case change_verdict::NotFound:
      return 404;
    case change_verdict::Invalid:
      return 400;
    case change_verdict::Conflict:
    case change_verdict::InUse:
    case change_verdict::InProgress:
    case change_verdict::AlreadyDone:
    case change_verdict::AlreadyUnknown:
    case change_verdict::KeyReused:
    case change_verdict::Quarantined:
    case change_verdict::Stale:
      return 409;
    case change_verdict::TableFull:
      return 503;
  }
  return 500;
}

/** `/v1/KIND/NAME`, or `/v1/KIND` for a list. */
struct record_path
{
  record_kind mKind = record_kind::Template;
  std::string mName;
};

std::optional<record_path>
ParsePath(const std::string& aPath)
{
  static const std::map<std::string, record_kind> sKinds{
    { "templates", record_kind::Template },
    { "teams", record_kind::Team },
    { "failure-domains", record_kind::FailureDomain },
    { "entry-hosts", record_kind::EntryHost },
    { "servers", record_kind::Server },
    { "quarantine", record_kind::Quarantine },
    { "rollouts", record_kind::Rollout },
  };
  constexpr std::string_view kPrefix = "/v1/";
  if (!aPath.starts_with(kPrefix)) {
    return std::nullopt;
  }
  std::string rest = aPath.substr(kPrefix.size());
  std::size_t slash = rest.find('/');
  auto kind = sKinds.find(rest.substr(0, slash));
  if (kind == sKinds.end()) {
    return std::nullopt;
  }
  bool isList = slash == std::string::npos;
  return record_path{ kind->second, isList ? "" : rest.substr(slash + 1) };
}

/** The path of a record: its kind and the name that it is listed under. */
struct path_of_record
{
  record_path operator()(const template_record& aRecord) const
  {
    return { record_kind::Template, aRecord.mTemplate.mValue };
  }
  record_path operator()(const team_record& aRecord) const
  {
    return { record_kind::Team, aRecord.mTeam.mValue };
  }
  record_path operator()(const failure_domain_record& aRecord) const
  {
    return { record_kind::FailureDomain, aRecord.mFailureDomain.mValue };
  }
  record_path operator()(const entry_host_record& aRecord) const
  {
    return { record_kind::EntryHost, aRecord.mHost.mValue };
  }
  record_path operator()(const server_record& aRecord) const
  {
    return { record_kind::Server, aRecord.mServer.mValue };
  }
  record_path operator()(const quarantine_record& aRecord) const
  {
    return { record_kind::Quarantine, aRecord.mFingerprint.mValue };
  }
  record_path operator()(const claim_record& aRecord) const
  {
    return { record_kind::Claim, aRecord.mKey.mValue };
  }
  record_path operator()(const configuration_record& aRecord) const
  {
    return { record_kind::Configuration, std::to_string(aRecord.mNumber) };
  }
  record_path operator()(const rollout_record& aRecord) const
  {
    return { record_kind::Rollout, aRecord.mService.mValue };
  }
  record_path operator()(const record_removal& aRecord) const
  {
    return { aRecord.mKind, aRecord.mName };
  }
};

template<typename record>
result<record_change, json_error>
AsChange(result<record, json_error> aParsed)
{
  if (!aParsed) {
    return aParsed.error();
  }
  return record_change(std::move(aParsed.value()));
}

result<record_change, json_error>
ParseChange(const record_path& aPath, const http_request& aRequest)
{
  if (aRequest.mMethod == "DELETE") {
    return record_removal{ aPath.mKind, aPath.mName };
  }
  switch (aPath.mKind) {
    case record_kind::Template:
      return AsChange(ParseTemplate(aPath.mName, aRequest.mBody));
    case record_kind::Team:
      return AsChange(ParseTeam(aPath.mName, aRequest.mBody));
    case record_kind::FailureDomain:
      return AsChange(ParseFailureDomain(aPath.mName, aRequest.mBody));
    default:
      return Fail(json_error::Unknown,
                  "Records of this kind can't be changed with PUT.");
  }
}

bool
IsChangeAllowed(const record_path& aPath, const std::string& aMethod)
{
  switch (aPath.mKind) {
    case record_kind::Template:
    case record_kind::Team:
    case record_kind::FailureDomain:
      return aMethod == "PUT" || aMethod == "DELETE";
    case record_kind::Quarantine:
      return aMethod == "DELETE";
    default:
      return false;
  }
}

/** Reads `Change-Id` and `If-Version`; returns a response on an error. */
std::optional<http_response>
ReadHeaders(const http_request& aRequest, change_command& aCommand)
{
  auto changeId = aRequest.Header("change-id");
  if (changeId &&
      (changeId->empty() || changeId->size() > kMaxChangeIdLength)) {
    return ErrorResponse(
      400, "bad_header", "Change-Id must have 1 to 128 characters.");
  }
  if (changeId) {
    aCommand.mChangeId.mValue = *changeId;
  }
  auto version = aRequest.Header("if-version");
  if (!version) {
    return std::nullopt;
  }
  log_index number = 0;
  const char* end = version->data() + version->size();
  auto [stop, problem] = std::from_chars(version->data(), end, number);
  if (problem != std::errc{} || stop != end) {
    return ErrorResponse(
      400, "bad_header", "If-Version must be a whole number.");
  }
  aCommand.mIfVersion = number;
  return std::nullopt;
}

asio::awaitable<http_response>
Change(const http_request& aRequest,
       const record_path& aPath,
       const operator_api_hooks& aHooks)
{
  change_command command;
  auto headerError = ReadHeaders(aRequest, command);
  if (headerError) {
    co_return std::move(*headerError);
  }
  bool isCallerGone =
    aRequest.mCaller != nullptr && aRequest.mCaller->mIsDisconnected;
  auto arrivedAt = aHooks.mEarliestArrival();
  if (isCallerGone || !arrivedAt) {
    // The operator may have sent the change again to another host, and another
    // one after it, which this one must not undo.
    log_event("order_dropped", log_event::severity::Warning)
      .Add("path", aRequest.mPath)
      .Add("cause", isCallerGone ? "caller_gone" : "may_be_outdated");
    co_return ErrorResponse(
      503,
      "outdated",
      "The change may have waited for too long and was not made.");
  }
  auto parsed = ParseChange(aPath, aRequest);
  if (!parsed) {
    co_return ErrorResponse(
      400, NameOf(parsed.error().mCode), parsed.error().mDetail);
  }
  if (command.mChangeId.IsEmpty()) {
    // The command may be sent to several control hosts but must apply once.
    command.mChangeId = aHooks.mNewChangeId();
  }
  command.mChanges.push_back(std::move(parsed.value()));
  change_id changeId = command.mChangeId;
  auto outcomes =
    co_await aHooks.mPropose(std::move(command), *arrivedAt + kChangeTimeout);
  if (!outcomes || outcomes.value().size() != 1) {
    co_return ErrorResponse(
      503,
      "no_quorum",
      "It is unknown whether the change was accepted; repeat "
      "it with Change-Id " +
        changeId.mValue + ".");
  }
  const change_outcome& outcome = outcomes.value().front();
  json::object body = EncodeOutcome(outcome);
  body["change_id"] = changeId.mValue;
  log_event("operator_change")
    .Add("method", aRequest.mMethod)
    .Add("path", aRequest.mPath)
    .Add("change", changeId.mValue)
    .Add("verdict", NameOf(outcome.mVerdict))
    .Add("index", outcome.mIndex);
  co_return JsonResponse(StatusOf(outcome.mVerdict), body);
}

asio::awaitable<http_response>
Show(const record_path& aPath, const operator_api_hooks& aHooks)
{
  auto records =
    co_await aHooks.mConfirmedRecords(aHooks.mNow() + kReadTimeout);
  if (!records) {
    co_return ErrorResponse(
      503, "no_quorum", "This control host can't reach a quorum.");
  }
  json::array list;
  for (const record_change& record : *records) {
    record_path name = std::visit(path_of_record{}, record);
    if (name.mKind != aPath.mKind) {
      continue;
    }
    if (aPath.mName.empty()) {
      list.push_back(EncodeRecord(record));
    } else if (name.mName == aPath.mName) {
      co_return JsonResponse(200, EncodeRecord(record));
    }
  }
  if (!aPath.mName.empty()) {
    co_return ErrorResponse(
      404, "not_found", "No record of this kind has this name.");
  }
  json::object body{ { "items", std::move(list) } };
  co_return JsonResponse(200, body);
}

asio::awaitable<http_response>
ShowRefusals(const http_request& aRequest, const operator_api_hooks& aHooks)
{
  wall_ms from = 0;
  std::string text = aRequest.Parameter("from_ms").value_or("0");
  auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), from);
  if (error != std::errc{} || end != text.data() + text.size() || from < 0) {
    co_return ErrorResponse(400,
                            "invalid_parameter",
                            "'from_ms' must be a number of milliseconds since "
                            "1970.");
  }
  merged_refusals merged = MergeRefusals(co_await aHooks.mRefusals(from));
  std::erase_if(merged.mRefusals,
                [&](const refusal& aRefusal) { return aRefusal.mAt < from; });
  co_return JsonResponse(200, EncodeRefusals(merged));
}

asio::awaitable<http_response>
Handle(http_request aRequest,
       const access_token& aToken,
       const operator_api_hooks& aHooks)
{
  if (aRequest.mReadError != http_read_error::None) {
    co_return ErrorResponse(
      400, NameOf(aRequest.mReadError), "The request could not be read.");
  }
  if (aRequest.mPath == "/healthz") {
    co_return JsonResponse(200, json::object{ { "status", "alive" } });
  }
  bool isGet = aRequest.mMethod == "GET";
  if (isGet && aRequest.mPath == kMetricsPath) {
    http_response response;
    response.mContentType = kMetricsContentType;
    response.mBody = aHooks.mMetrics();
    co_return response;
  }
  if (!aToken.Authorizes(aRequest.Header("authorization").value_or(""))) {
    log_event("access_refused", log_event::severity::Warning)
      .Add("path", aRequest.mPath);
    co_return ErrorResponse(
      401, "no_access", "A valid bearer token is required.");
  }
  if (isGet && aRequest.mPath == "/v1/status") {
    co_return JsonResponse(200, EncodeStatus(co_await aHooks.mStatus()));
  }
  if (isGet && aRequest.mPath == "/v1/refusals") {
    co_return co_await ShowRefusals(aRequest, aHooks);
  }
  auto path = ParsePath(aRequest.mPath);
  if (!path) {
    co_return ErrorResponse(404, "no_such_path", "This path does not exist.");
  }
  if (isGet) {
    co_return co_await Show(*path, aHooks);
  }
  if (path->mName.empty() || !IsChangeAllowed(*path, aRequest.mMethod)) {
    co_return ErrorResponse(
      405, "wrong_method", "This path does not support this method.");
  }
  co_return co_await Change(aRequest, *path, aHooks);
}

}

http_handler
MakeOperatorApi(access_token aToken, operator_api_hooks aHooks)
{
  struct api_state
  {
    access_token mToken;
    operator_api_hooks mHooks;
  };
  auto state = std::make_shared<const api_state>(
    api_state{ std::move(aToken), std::move(aHooks) });
  return [state](http_request aRequest) -> asio::awaitable<http_response> {
    co_return co_await Handle(
      std::move(aRequest), state->mToken, state->mHooks);
  };
}

}
