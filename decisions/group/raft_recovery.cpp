#include "decisions/group/raft_recovery.h"

namespace hibiscusspool {

raft_log_summary
SummarizeLog(const raft_persistent_state& aStored)
{
  raft_log_summary summary;
  summary.mTerm = aStored.mHardState.mTerm;
  summary.mLastIndex = aStored.mSnapshot.mIndex;
  summary.mLastTerm = aStored.mSnapshot.mTerm;
  summary.mMembers = aStored.mSnapshot.mPeers;
  for (const raft_entry& entry : aStored.mEntries) {
    summary.mLastIndex = entry.mIndex;
    summary.mLastTerm = entry.mTerm;
    summary.mMembers = entry.mPeers.value_or(summary.mMembers);
  }
  return summary;
}

raft_actions
GoOnAlone(const raft_persistent_state& aStored, const raft_peer_id& aSelf)
{
  raft_log_summary summary = SummarizeLog(aStored);
  raft_actions actions;
  actions.mHardState = raft_hard_state{ summary.mTerm + 1, aSelf };
  raft_entry entry;
  entry.mTerm = summary.mTerm + 1;
  entry.mIndex = summary.mLastIndex + 1;
  entry.mPeers = { { aSelf, true } };
  actions.mAppend.push_back(std::move(entry));
  return actions;
}

}
