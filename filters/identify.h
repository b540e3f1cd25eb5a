#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

/** What the filter asks of the catalog. */
struct identify_hooks
{
  std::function<std::optional<versioned_policy>(const team_id&)> mFindTeam;
  /** A request id for a caller that gave none. */
  std::function<request_id()> mNewRequestId;
  /** The longest time that any request may run. */
  milliseconds mMaxWait{ kMaxWait };
};

/** Finds the team and its policy, and sets the deadline. */
filter
MakeIdentify(identify_hooks aHooks);

}
