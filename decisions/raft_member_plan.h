#pragma once

#include "core/clock.h"
#include "decisions/raft_types.h"

#include <optional>
#include <vector>

namespace hibiscusspool {

/** A member as its leader sees it. */
struct member_view
{
  raft_peer mPeer;
  /** Time since its latest reply, or since the leader's election if there was
   * none; 0 for the leader. */
  milliseconds mSilence{ 0 };
  /** It has replied to this leader; true for the leader. */
  bool mHasReplied = false;
  /** It has replied to this leader and lacks few entries. */
  bool mIsCaughtUp = false;
};

struct member_limits
{
  /** A member with a reply within this time is reachable. */
  milliseconds mReachable{ 1000 };
  /** A voter without a reply for this long gives its place to a learner. */
  milliseconds mSilent{ 2000 };
  /** A member without a reply for this long is removed where no learner takes
   * its place. */
  milliseconds mGone{ 10'000 };
  /** More voters would only slow down commits. */
  std::size_t mMaxVoters = 9;
  /** Two voters that are gone leave only a group of more than these. */
  std::size_t mMinVoters = 5;
};

/**
 * The next list of members, which adds, promotes or removes one; none if the
 * members should stay. A voter that is silent, or whose host has another disk
 * by now, gives its place to a learner that has caught up: of an odd number of
 * voters it is removed first, and a learner is promoted while their number is
 * even, so that replacing a voter never raises the quorum. The voters grow from
 * one odd number to the next, and a learner that is left over stands by. A
 * member that was removed while it was away joins again.
 */
std::optional<std::vector<raft_peer>>
NextMembers(const std::vector<member_view>& aMembers,
            const raft_peer_id& aLeader,
            const member_limits& aLimits);

}
