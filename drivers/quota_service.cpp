#include "drivers/quota_service.h"

#include "core/log_event.h"
#include "messages/quota_codec.h"

#include <grpcpp/grpcpp.h>
#include <quota.grpc.pb.h>

namespace hibiscusspool {

namespace {

grpc::Status
MalformedStatus(const std::string& aDetail)
{
  log_event("quota_message_malformed", log_event::severity::Warning)
    .Add("cause", aDetail);
  return { grpc::StatusCode::INVALID_ARGUMENT, aDetail };
}

class quota_callback_service : public wire::Quotas::CallbackService
{
  quota_service_hooks mHooks;

public:
  explicit quota_callback_service(quota_service_hooks aHooks)
    : mHooks(std::move(aHooks))
  {
  }

  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* aContext,
                                     const wire::QuotaRequest* aRequest,
                                     wire::QuotaReply* aReply) override
  {
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    auto request = ReadQuotaRequest(*aRequest);
    if (!request) {
      reactor->Finish(MalformedStatus(request.error().mDetail));
      return reactor;
    }
    WriteQuotaReply(mHooks.mOnRequest(request.value()), *aReply);
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerUnaryReactor* Notify(grpc::CallbackServerContext* aContext,
                                   const wire::QuotaNotice* aNotice,
                                   wire::QuotaNoticeReply* /*aReply*/) override
  {
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    auto notice = ReadQuotaNotice(*aNotice);
    if (!notice) {
      reactor->Finish(MalformedStatus(notice.error().mDetail));
      return reactor;
    }
    mHooks.mOnNotice(notice.value());
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }
};

}

std::unique_ptr<grpc::Service>
MakeQuotaService(quota_service_hooks aHooks)
{
  return std::make_unique<quota_callback_service>(std::move(aHooks));
}

}
