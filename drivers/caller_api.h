#pragma once

#include "drivers/http_server.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct caller_api_hooks
{
  std::function<steady_time()> mNow;
  /** The entry hosts to name, those of a failure domain first. */
  std::function<std::vector<entry_host_record>(const failure_domain_id&)>
    mEntryHosts;
  std::function<bool()> mIsReady;
  std::function<std::string()> mMetrics;
};

struct caller_api_config
{
  /** How long callers may keep the list of entry hosts. */
  milliseconds mListTtl{ 5000 };
};

/** The callers' interface over HTTP: requests into the chain and back. */
http_handler
MakeCallerApi(caller_api_config aConfig,
              std::shared_ptr<const filter_chain> aChain,
              caller_api_hooks aHooks);

/** The HTTP status of a refusal. */
unsigned
HttpStatusOf(refusal_reason aReason);

}
