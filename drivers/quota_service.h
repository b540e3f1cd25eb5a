#pragma once

#include "decisions/quota/quota_exchange.h"

#include <grpcpp/impl/service_type.h>

#include <functional>
#include <memory>

namespace hibiscusspool {

/** Both are called on threads of gRPC and must not block. */
struct quota_service_hooks
{
  std::function<quota_reply(const quota_request&)> mOnRequest;
  std::function<void(const quota_notice&)> mOnNotice;
};

/** The gRPC service for the messages of other entry hosts on quotas, for the
 * server of the subqueries. */
std::unique_ptr<grpc::Service>
MakeQuotaService(quota_service_hooks aHooks);

}
