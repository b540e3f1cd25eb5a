#include "drivers/announce_api.h"

#include "core/log_event.h"
#include "decisions/announcement.h"
#include "drivers/error_response.h"
#include "messages/operator_json.h"

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

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
  announce_result answer = co_await aHooks.mAnnounce(std::move(record.value()));
  switch (answer.mStatus) {
    case announce_status::Accepted:
      break;
    case announce_status::Refused:
      co_return ErrorResponse(409, "refused", answer.mDetail);
    case announce_status::Unavailable:
      co_return ErrorResponse(503, "unavailable", answer.mDetail);
  }
  http_response reply;
  boost::json::object body{ { "renew_in_ms", aConfig.mRenewInterval.count() } };
  reply.mBody = boost::json::serialize(body);
  co_return reply;
}

asio::awaitable<http_response>
Handle(http_request aRequest,
       const announce_api_config& aConfig,
       const access_token& aToken,
       const announce_api_hooks& aHooks)
{
  if (aRequest.mReadError != http_read_error::None) {
    co_return ErrorResponse(
      400, NameOf(aRequest.mReadError), "The request can't be read.");
  }
  if (!aToken.Authorizes(aRequest.Header("authorization").value_or(""))) {
    log_event("access_refused", log_event::severity::Warning)
      .Add("path", aRequest.mPath);
    co_return ErrorResponse(401, "no_access", "A bearer token is needed.");
  }
  if (aRequest.mPath == "/v1/announce" && aRequest.mMethod == "POST") {
    co_return co_await Announce(aRequest, aConfig, aHooks);
  }
  if (aRequest.mPath == "/v1/account" && aRequest.mMethod == "GET") {
    http_response reply;
    reply.mBody = aHooks.mAccount();
    co_return reply;
  }
  co_return ErrorResponse(404, "no_such_path", "There is nothing here.");
}

}

http_handler
MakeAnnounceApi(announce_api_config aConfig,
                access_token aToken,
                announce_api_hooks aHooks)
{
  struct parts
  {
    announce_api_config mConfig;
    access_token mToken;
    announce_api_hooks mHooks;
  };
  auto kept = std::make_shared<const parts>(
    parts{ aConfig, std::move(aToken), std::move(aHooks) });
  return [kept](http_request aRequest) -> asio::awaitable<http_response> {
    co_return co_await Handle(
      std::move(aRequest), kept->mConfig, kept->mToken, kept->mHooks);
  };
}

}
