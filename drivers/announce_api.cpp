#include "drivers/announce_api.h"

#include "core/log_event.h"
#include "decisions/state/announcement.h"
#include "drivers/error_response.h"
#include "messages/operator_json.h"

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kAnnouncePath = "/v1/announce";

asio::awaitable<http_response>
Announce(const http_request& aRequest,
         const announce_api_config& aConfig,
         const announce_api_hooks& aHooks)
{
  auto record = ParseAnnouncement(aRequest.mBody);
  if (!record) {
    co_return ErrorResponse(
      400, NameOf(record.error().mCode), record.error().mDetail);
  }
  auto checked = CheckAnnouncement(record.value());
  if (!checked) {
    co_return ErrorResponse(
      400, NameOf(checked.error().mCode), checked.error().mDetail);
  }
  announce_result announced =
    co_await aHooks.mAnnounce(std::move(record.value()));
  switch (announced.mStatus) {
    case announce_status::Accepted:
      break;
    case announce_status::Refused:
      co_return ErrorResponse(409, "refused", announced.mDetail);
    case announce_status::Unavailable:
      co_return ErrorResponse(503, "unavailable", announced.mDetail);
  }
  http_response response;
  boost::json::object body{ { "renew_in_ms", aConfig.mRenewInterval.count() } };
  response.mBody = boost::json::serialize(body);
  co_return response;
}

asio::awaitable<http_response>
Handle(http_request aRequest,
       const announce_api_config& aConfig,
       const access_token& aToken,
       const announce_api_hooks& aHooks)
{
  if (aRequest.mReadError != http_read_error::None) {
    co_return ErrorResponse(
      400, NameOf(aRequest.mReadError), "The request could not be read.");
  }
  if (!aToken.Authorizes(aRequest.Header("authorization").value_or(""))) {
    log_event("access_refused", log_event::severity::Warning)
      .Add("path", aRequest.mPath);
    co_return ErrorResponse(
      401, "no_access", "A valid bearer token is required.");
  }
  if (aRequest.mPath == kAnnouncePath && aRequest.mMethod == "POST") {
    co_return co_await Announce(aRequest, aConfig, aHooks);
  }
  if (aRequest.mPath == "/v1/account" && aRequest.mMethod == "GET") {
    http_response response;
    response.mBody = aHooks.mAccount();
    co_return response;
  }
  co_return ErrorResponse(404, "no_such_path", "This path does not exist.");
}

}

bool
IsAnnouncement(const http_request_head& aHead)
{
  return aHead.mMethod == "POST" && aHead.mPath == kAnnouncePath;
}

http_handler
MakeAnnounceApi(announce_api_config aConfig,
                access_token aToken,
                announce_api_hooks aHooks)
{
  struct api_state
  {
    announce_api_config mConfig;
    access_token mToken;
    announce_api_hooks mHooks;
  };
  auto state = std::make_shared<const api_state>(
    api_state{ aConfig, std::move(aToken), std::move(aHooks) });
  return [state](http_request aRequest) -> asio::awaitable<http_response> {
    co_return co_await Handle(
      std::move(aRequest), state->mConfig, state->mToken, state->mHooks);
  };
}

}
