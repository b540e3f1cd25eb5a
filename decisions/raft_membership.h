#pragma once

#include "core/clock.h"
#include "decisions/raft_types.h"

namespace hibiscusspool {

/** What happened to a member between two lists of members. */
enum class member_change_kind
{
  LearnerAdded,
  LearnerRemoved,
  VoterAdded,
  VoterRemoved,
  Promoted,
  Demoted,
};

template<>
inline constexpr name_table<member_change_kind, 6> kNames<member_change_kind>{ {
  { member_change_kind::LearnerAdded, "learner_added" },
  { member_change_kind::LearnerRemoved, "learner_removed" },
  { member_change_kind::VoterAdded, "voter_added" },
  { member_change_kind::VoterRemoved, "voter_removed" },
  { member_change_kind::Promoted, "promoted" },
  { member_change_kind::Demoted, "demoted" },
} };

struct member_change
{
  raft_peer_id mMember;
  member_change_kind mKind = member_change_kind::LearnerAdded;

  bool operator==(const member_change&) const = default;
};

/** The members as their leader sees them. */
struct raft_strength
{
  std::size_t mVoters = 0;
  /** Voters, including the leader, that replied within the last election
   * time-out. */
  std::size_t mReachableVoters = 0;
  std::size_t mLearners = 0;
  /** Voters that a decision takes. */
  std::size_t mQuorum = 0;

  /** Voters that can be lost now without the group losing its majority. */
  [[nodiscard]] std::size_t Spare() const
  {
    return mReachableVoters > mQuorum ? mReachableVoters - mQuorum : 0;
  }

  bool operator==(const raft_strength&) const = default;
};

/** How one list of members differs from an earlier one: removed members first,
 * then added and changed ones, each in the order of their list. */
std::vector<member_change>
CompareMembers(const std::vector<raft_peer>& aEarlier,
               const std::vector<raft_peer>& aLater);

/** A member as its leader sees it. */
struct member_view
{
  raft_peer mPeer;
  /** Time since its latest reply, or since the leader's election if there was
   * none; 0 for the leader. */
  milliseconds mSilence{ 0 };
  /** It has replied in this term and lacks few entries. */
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
  /** Voters that are kept although they are gone: a group of these bears the
   * loss of two more disks. */
  std::size_t mMinVoters = 5;
};

/**
 * The next list of members, which differs in one member, or in one host's disk;
 * none if the members should stay. A silent voter is removed before a learner
 * takes its place, so that replacing it never raises the quorum; the voters
 * grow from one odd number to the next, and a learner that is left over stands
 * by. A member that was removed while it was away joins again.
 */
std::optional<std::vector<raft_peer>>
NextMembers(const std::vector<member_view>& aMembers,
            const raft_peer_id& aLeader,
            const member_limits& aLimits);

} // namespace hibiscusspool
