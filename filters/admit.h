#pragma once

#include "controllers/admission_controller.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct admit_hooks
{
  std::function<steady_time()> mNow;
  /** Entry hosts among which a team's concurrency is divided. */
  std::function<std::uint32_t()> mServingHosts;
  std::function<bool(steady_time)> mIsLeaseValid;
};

/**
 * Lets a request in, has it wait for a place, or turns it away. The place is
 * given back by the account filter.
 */
filter
MakeAdmit(admission_controller& aAdmission, admit_hooks aHooks);

}
