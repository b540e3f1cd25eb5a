#include "decisions/raft_member_plan.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

using members = std::vector<member_view>;
using next_members = std::optional<std::vector<raft_peer>>;

std::vector<raft_peer>
PeersOf(const members& aMembers)
{
  std::vector<raft_peer> peers;
  for (const member_view& member : aMembers) {
    peers.push_back(member.mPeer);
  }
  return peers;
}

std::vector<raft_peer>
Without(const members& aMembers, const raft_peer_id& aRemoved)
{
  std::vector<raft_peer> peers = PeersOf(aMembers);
  std::erase_if(peers,
                [&](const raft_peer& aPeer) { return aPeer.mId == aRemoved; });
  return peers;
}

std::vector<raft_peer>
WithVote(const members& aMembers, const raft_peer_id& aPromoted)
{
  std::vector<raft_peer> peers = PeersOf(aMembers);
  for (raft_peer& peer : peers) {
    peer.mIsVoter = peer.mIsVoter || peer.mId == aPromoted;
  }
  return peers;
}

std::size_t
VotersIn(const members& aMembers)
{
  return static_cast<std::size_t>(
    std::count_if(aMembers.begin(), aMembers.end(), [](const auto& aMember) {
      return aMember.mPeer.mIsVoter;
    }));
}

bool
IsReady(const member_view& aMember, const member_limits& aLimits)
{
  return !aMember.mPeer.mIsVoter && aMember.mIsCaughtUp &&
         aMember.mSilence < aLimits.mReachable;
}

/** Learners that can become voters now. */
std::vector<raft_peer_id>
ReadyLearners(const members& aMembers, const member_limits& aLimits)
{
  std::vector<raft_peer_id> ready;
  for (const member_view& member : aMembers) {
    if (IsReady(member, aLimits)) {
      ready.push_back(member.mPeer.mId);
    }
  }
  return ready;
}

/** Voters other than the leader that have been silent for longer than a limit,
 * the one with the longest silence first. */
std::vector<raft_peer_id>
SilentVoters(const members& aMembers,
             const raft_peer_id& aLeader,
             milliseconds aLimit)
{
  members silent;
  for (const member_view& member : aMembers) {
    bool isSilent = member.mPeer.mIsVoter && member.mPeer.mId != aLeader &&
                    member.mSilence > aLimit;
    if (isSilent) {
      silent.push_back(member);
    }
  }
  std::stable_sort(
    silent.begin(), silent.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.mSilence > aOther.mSilence;
    });
  std::vector<raft_peer_id> ids;
  for (const member_view& member : silent) {
    ids.push_back(member.mPeer.mId);
  }
  return ids;
}

/** The voter on a disk that its host has replaced, if the new one has a vote or
 * can get it now; the member with the new disk comes later in the list. */
std::optional<raft_peer_id>
VoterOnLostDisk(const members& aMembers,
                const raft_peer_id& aLeader,
                const member_limits& aLimits)
{
  for (auto voter = aMembers.begin(); voter != aMembers.end(); ++voter) {
    const raft_peer_id& id = voter->mPeer.mId;
    bool isReplaced =
      std::any_of(voter + 1, aMembers.end(), [&](const member_view& aLater) {
        return aLater.mPeer.mId.mHost == id.mHost &&
               (aLater.mPeer.mIsVoter || IsReady(aLater, aLimits));
      });
    if (voter->mPeer.mIsVoter && id != aLeader && isReplaced) {
      return id;
    }
  }
  return std::nullopt;
}

next_members
PromoteLearner(const members& aMembers,
               const raft_peer_id& aLeader,
               const member_limits& aLimits)
{
  auto ready = ReadyLearners(aMembers, aLimits);
  std::size_t voters = VotersIn(aMembers);
  if (ready.empty() || voters >= aLimits.mMaxVoters) {
    return std::nullopt;
  }
  bool isEven = voters % 2 == 0;
  // One more voter than an odd number raises the quorum by one. It is worth
  // that only if a second one follows, and all voters are known to run.
  bool isEachVoterReachable =
    std::all_of(aMembers.begin(), aMembers.end(), [&](const auto& aMember) {
      return !aMember.mPeer.mIsVoter || aMember.mPeer.mId == aLeader ||
             (aMember.mHasReplied && aMember.mSilence < aLimits.mReachable);
    });
  bool isGrowing = ready.size() >= 2 && voters + 2 <= aLimits.mMaxVoters &&
                   isEachVoterReachable;
  if (!isEven && !isGrowing) {
    return std::nullopt;
  }
  return WithVote(aMembers, ready.front());
}

next_members
RemoveVoter(const members& aMembers,
            const raft_peer_id& aLeader,
            const member_limits& aLimits)
{
  if (auto lost = VoterOnLostDisk(aMembers, aLeader, aLimits)) {
    return Without(aMembers, *lost);
  }
  std::size_t voters = VotersIn(aMembers);
  auto silent = SilentVoters(aMembers, aLeader, aLimits.mSilent);
  if (silent.empty() || voters < 3) {
    return std::nullopt;
  }
  bool hasSuccessor = !ReadyLearners(aMembers, aLimits).empty();
  auto gone = SilentVoters(aMembers, aLeader, aLimits.mGone);
  // An even number of voters bears no more losses than one fewer.
  bool isSpare = voters % 2 == 0 && !gone.empty();
  bool isPairGone = gone.size() >= 2 && voters >= aLimits.mMinVoters + 2;
  if (!hasSuccessor && !isSpare && !isPairGone) {
    return std::nullopt;
  }
  return Without(aMembers, silent.front());
}

next_members
RemoveLearner(const members& aMembers, const member_limits& aLimits)
{
  for (const member_view& member : aMembers) {
    if (!member.mPeer.mIsVoter && member.mSilence > aLimits.mGone) {
      return Without(aMembers, member.mPeer.mId);
    }
  }
  return std::nullopt;
}

}

std::optional<std::vector<raft_peer>>
NextMembers(const std::vector<member_view>& aMembers,
            const raft_peer_id& aLeader,
            const member_limits& aLimits)
{
  if (auto next = PromoteLearner(aMembers, aLeader, aLimits)) {
    return next;
  }
  if (auto next = RemoveVoter(aMembers, aLeader, aLimits)) {
    return next;
  }
  return RemoveLearner(aMembers, aLimits);
}

}
