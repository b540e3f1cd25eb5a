#pragma once

#include "drivers/http_server.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct caller_api_hooks
{
  std::function<steady_time()> mNow;
  /** The entry hosts to list, those of the failure domain first. */
  std::function<std::vector<entry_host_record>(const failure_domain_id&)>
    mEntryHosts;
  std::function<bool()> mIsReady;
  std::function<std::string()> mMetrics;
};

struct caller_api_config
{
  /** How long callers may cache the list of entry hosts. */
  milliseconds mListTtl{ 5000 };
};

/** True for a request of a caller, which has a body; false for any other path
 * or method. */
bool
IsCallersRequest(const http_request_head& aHead);

/** The HTTP API for callers, which passes their requests to the chain. */
http_handler
MakeCallerApi(caller_api_config aConfig,
              std::shared_ptr<const filter_chain> aChain,
              caller_api_hooks aHooks);

/** The HTTP status for a refusal. */
unsigned
HttpStatusOf(refusal_reason aReason);

}
