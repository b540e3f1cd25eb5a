#pragma once

#include "drivers/access_token.h"
#include "drivers/control_client.h"
#include "drivers/http_server.h"

namespace hibiscusspool {

struct operator_api_hooks
{
  std::function<steady_time()> mNow;
  std::function<boost::asio::awaitable<
    result<std::vector<change_outcome>, control_client_error>>(change_command,
                                                               steady_time)>
    mPropose;
  /** The records after a confirmed read; nothing without a quorum. */
  std::function<boost::asio::awaitable<
    std::optional<std::vector<record_change>>>(steady_time)>
    mConfirmedRecords;
  std::function<boost::asio::awaitable<std::vector<wire::StatusReply>>()>
    mStatus;
  std::function<boost::asio::awaitable<std::vector<refusal_batch>>(wall_ms)>
    mRefusals;
  /** The page of `kMetricsPath`, which needs no token. */
  std::function<std::string()> mMetrics;
  /** The earliest time at which a request may have arrived that is read now;
   * nothing if it may have waited while this process stood still. */
  std::function<std::optional<steady_time>()> mEarliestArrival;
  /** Generates the Change-Id of a request that has none. */
  std::function<change_id()> mNewChangeId;
};

/** The HTTP API for operators, on each control host. */
http_handler
MakeOperatorApi(access_token aToken, operator_api_hooks aHooks);

}
