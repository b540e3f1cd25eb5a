#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

struct confirm_hooks
{
  std::function<steady_time()> mNow;
  /** True while this daemon's lease is valid. */
  std::function<bool(steady_time)> mIsLeaseValid;
};

/** Refuses new work while this daemon's lease is not valid, since its records
 * may then be outdated. */
filter
MakeConfirm(confirm_hooks aHooks);

}
