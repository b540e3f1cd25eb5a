#pragma once

#include "controllers/admission_controller.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct admit_hooks
{
  std::function<steady_time()> mNow;
  /** Number of entry hosts among which a team's concurrency is divided. */
  std::function<std::uint32_t()> mServingHosts;
  std::function<bool(steady_time)> mIsLeaseValid;
};

/**
 * Admits a request, queues it until a slot is free, or refuses it. The account
 * filter releases the slot.
 */
filter
MakeAdmit(admission_controller& aAdmission, admit_hooks aHooks);

}
