#pragma once

#include "core/clock.h"
#include "decisions/group/raft_types.h"

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
  /** Its host's failure domain; empty while it is not known, which counts as
   * one of its own. */
  failure_domain_id mDomain;
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
  /** Two voters that are gone leave only a group of more than these; fewer are
   * not dealt anew over the failure domains. */
  std::size_t mMinVoters = 5;
  /** Votes are dealt anew no sooner than this after one was given or taken. */
  milliseconds mSettled{ 2000 };
};

/**
 * The next list of members, which adds, promotes or removes one; none if the
 * members should stay. A voter that is silent, or whose host has another disk
 * by now, gives its place to a learner that has caught up: of an odd number of
 * voters it is removed first, and a learner is promoted while their number is
 * even, so that replacing a voter never raises the quorum. The voters grow from
 * one odd number to the next, and a learner that is left over stands by. A
 * member that was removed while it was away joins again.
 *
 * The group should go on without any one failure domain. A learner whose vote
 * would stand in the way of that takes the place of a silent voter only once
 * that is gone for long. If one domain holds too many votes, and a learner
 * elsewhere is ready, the learner is promoted and a voter of that domain
 * removed.
 */
std::optional<std::vector<raft_peer>>
NextMembers(const std::vector<member_view>& aMembers,
            const raft_peer_id& aLeader,
            const member_limits& aLimits,
            milliseconds aSinceVoteChange);

}
