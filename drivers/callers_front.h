#pragma once

#include "drivers/http_server.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct callers_front_hooks
{
  std::function<steady_time()> mNow;
  /** The entry hosts to list, those of the failure domain first. */
  std::function<std::vector<entry_host_record>(const failure_domain_id&)>
    mEntryHosts;
  std::function<bool()> mIsReady;
  std::function<std::string()> mMetrics;
};

struct callers_front_config
{
  /** How long callers may cache the list of entry hosts. */
  milliseconds mKeepList{ 5000 };
};

/** The HTTP API for callers, which passes their requests to the chain. */
http_handler
MakeCallersFront(callers_front_config aConfig,
                 std::shared_ptr<const filter_chain> aChain,
                 callers_front_hooks aHooks);

/** The HTTP status for a refusal. */
unsigned
StatusOf(refusal_reason aReason);

}
