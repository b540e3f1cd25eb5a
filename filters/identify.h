#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

/** What the filter asks of the catalog. */
struct identify_hooks
{
  std::function<std::optional<team_view>(const team_id&)> mTeam;
  /** A request id for a caller that gave none. */
  std::function<request_id()> mNewRequest;
  /** The longest time that any request may run. */
  milliseconds mLongestWait{ kLongestWait };
};

/** Finds the team and its policy, and sets the deadline. */
filter
MakeIdentify(identify_hooks aHooks);

}
