#pragma once

#include "decisions/group/raft_node.h"

namespace hibiscusspool {

/** What a stopped member's log holds. */
struct raft_log_summary
{
  raft_term mTerm = 0;
  log_index mLastIndex = 0;
  /** The term of the last entry. Of several members, the one with the highest
   * last term, and among those the highest last index, lacks the least. */
  raft_term mLastTerm = 0;
  /** The latest list of members, committed or not. */
  std::vector<raft_peer> mMembers;
};

raft_log_summary
SummarizeLog(const raft_persistent_state& aStored);

/**
 * What has to be stored, so that a member goes on with its log as the only one
 * of its group. Entries that were not committed yet will be. `aSelf` must have
 * another disk id than the stored list: then members of that list that come
 * back after all don't reach this one.
 */
raft_actions
GoOnAlone(const raft_persistent_state& aStored, const raft_peer_id& aSelf);

}
