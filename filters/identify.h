#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

/** Lookups and limits that the filter needs. */
struct identify_hooks
{
  std::function<std::optional<versioned_policy>(const team_id&)> mFindTeam;
  /** Makes a request id for a caller that sent none. */
  std::function<request_id()> mNewRequestId;
  /** Upper limit of the time that any request may take. */
  milliseconds mMaxWait{ kMaxWait };
};

/** Looks up the team and its policy, and sets the deadline. */
filter
MakeIdentify(identify_hooks aHooks);

}
