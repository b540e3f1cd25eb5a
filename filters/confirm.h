#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

struct confirm_hooks
{
  std::function<steady_time()> mNow;
  /** True while this daemon's newest confirmed mark is young enough. */
  std::function<bool(steady_time)> mIsLeaseValid;
};

/** Takes new work only while this daemon knows what is in force. */
filter
MakeConfirm(confirm_hooks aHooks);

}
