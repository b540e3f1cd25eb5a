#pragma once

#include "decisions/group/raft_types.h"

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

}
