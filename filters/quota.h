#pragma once

#include "controllers/quota_controller.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct quota_filter_hooks
{
  std::function<steady_time()> mNow;
  /** Sends a message to the owner of a quota; nothing if no reply comes in
   * time. */
  std::function<boost::asio::awaitable<std::optional<quota_reply>>(
    quota_message)>
    mExchange;
};

/** Refuses requests over the quota of the caller team whose key they carry. */
filter
MakeQuota(quota_controller& aQuotas, quota_filter_hooks aHooks);

/** Stops counting a request that was within its team's quota and then did not
 * run. */
filter
MakeQuotaReturn(quota_controller& aQuotas, quota_filter_hooks aHooks);

}
