#pragma once

#include "controllers/admission_controller.h"
#include "decisions/admission/overload.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct admit_hooks
{
  std::function<steady_time()> mNow;
  /** Number of entry hosts among which a team's concurrency is divided. */
  std::function<std::uint32_t()> mServingHosts;
  std::function<bool(steady_time)> mIsLeaseValid;
  /** Decides whether the servers can bear a request; unset if that is not
   * asked. */
  std::function<overload_verdict(const request_context&, steady_time)>
    mCheckOverload;
};

/** The request as overload control sees it. */
overload_request
ToOverloadRequest(const request_context& aRequest);

/**
 * Admits a request, queues it until a slot is free, or refuses it. What servers
 * can't bear is refused first, before it is queued or any server gets it. The
 * account filter releases the slot.
 */
filter
MakeAdmit(admission_controller& aAdmission, admit_hooks aHooks);

}
