#include "drivers/announce_front.h"

#include "core/log_event.h"
#include "decisions/announcement.h"
#include "drivers/error_reply.h"
#include "messages/operator_json.h"

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

asio::awaitable<http_reply>
Announce(const http_request& aRequest,
         const announce_front_config& aConfig,
         const announce_front_hooks& aHooks)
{
  auto record = ParseAnnouncement(aRequest.mBody);
  if (!record) {
    co_return ErrorReply(
      400, NameOf(record.error().mCode), record.error().mDetail);
  }
  auto checked = CheckAnnouncement(record.value());
  if (!checked) {
    co_return ErrorReply(
      400, NameOf(checked.error().mCode), checked.error().mDetail);
  }
  announce_answer announced =
    co_await aHooks.mAnnounce(std::move(record.value()));
  switch (announced.mVerdict) {
    case announce_verdict::Taken:
      break;
    case announce_verdict::Refused:
      co_return ErrorReply(409, "refused", announced.mDetail);
    case announce_verdict::Unavailable:
      co_return ErrorReply(503, "unavailable", announced.mDetail);
  }
  http_reply response;
  boost::json::object body{ { "renew_in_ms", aConfig.mRenew.count() } };
  response.mBody = boost::json::serialize(body);
  co_return response;
}

asio::awaitable<http_reply>
Handle(http_request aRequest,
       const announce_front_config& aConfig,
       const access_token& aToken,
       const announce_front_hooks& aHooks)
{
  if (aRequest.mFault != http_fault::None) {
    co_return ErrorReply(
      400, NameOf(aRequest.mFault), "The request could not be read.");
  }
  if (!aToken.Admits(aRequest.Header("authorization").value_or(""))) {
    log_event("access_refused", log_event::severity::Warning)
      .Add("path", aRequest.mPath);
    co_return ErrorReply(401, "no_access", "A valid bearer token is required.");
  }
  if (aRequest.mPath == "/v1/announce" && aRequest.mMethod == "POST") {
    co_return co_await Announce(aRequest, aConfig, aHooks);
  }
  if (aRequest.mPath == "/v1/account" && aRequest.mMethod == "GET") {
    http_reply response;
    response.mBody = aHooks.mAccount();
    co_return response;
  }
  co_return ErrorReply(404, "no_such_path", "This path does not exist.");
}

}

http_handler
MakeAnnounceFront(announce_front_config aConfig,
                  access_token aToken,
                  announce_front_hooks aHooks)
{
  struct api_state
  {
    announce_front_config mConfig;
    access_token mToken;
    announce_front_hooks mHooks;
  };
  auto state = std::make_shared<const api_state>(
    api_state{ aConfig, std::move(aToken), std::move(aHooks) });
  return [state](http_request aRequest) -> asio::awaitable<http_reply> {
    co_return co_await Handle(
      std::move(aRequest), state->mConfig, state->mToken, state->mHooks);
  };
}

}
