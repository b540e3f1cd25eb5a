#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

struct confirm_hooks
{
  std::function<steady_time()> mNow;
  /** True while this daemon's lease is valid. */
  std::function<bool(steady_time)> mIsConfirmed;
};

/** Refuses new work unless this daemon holds a valid lease, that is, unless
 * its records are known to be recent. */
filter
MakeConfirm(confirm_hooks aHooks);

}
