#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

/** Lookups and limits that the filter needs. */
struct identify_hooks
{
  std::function<std::optional<team_view>(const team_id&)> mTeam;
  /** Makes a request id for a caller that sent none. */
  std::function<request_id()> mNewRequest;
  /** Upper limit of any request's run time. */
  milliseconds mLongestWait{ kLongestWait };
};

/** Looks up the team and its policy, and sets the deadline. */
filter
MakeIdentify(identify_hooks aHooks);

}
