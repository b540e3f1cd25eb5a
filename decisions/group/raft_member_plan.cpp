#include "decisions/group/raft_member_plan.h"

#include <algorithm>
#include <map>
#include <utility>

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

/** The members after one was removed. */
members
WithoutMember(members aMembers, const raft_peer_id& aRemoved)
{
  std::erase_if(aMembers, [&](const member_view& aMember) {
    return aMember.mPeer.mId == aRemoved;
  });
  return aMembers;
}

/** The members after a learner was promoted. */
members
WithVoter(members aMembers, const raft_peer_id& aPromoted)
{
  for (member_view& member : aMembers) {
    member.mPeer.mIsVoter =
      member.mPeer.mIsVoter || member.mPeer.mId == aPromoted;
  }
  return aMembers;
}

std::vector<raft_peer>
Without(const members& aMembers, const raft_peer_id& aRemoved)
{
  return PeersOf(WithoutMember(aMembers, aRemoved));
}

std::vector<raft_peer>
WithVote(const members& aMembers, const raft_peer_id& aPromoted)
{
  return PeersOf(WithVoter(aMembers, aPromoted));
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

std::map<failure_domain_id, std::size_t>
VotersByDomain(const members& aMembers)
{
  std::map<failure_domain_id, std::size_t> voters;
  for (const member_view& member : aMembers) {
    if (member.mPeer.mIsVoter && !member.mDomain.IsEmpty()) {
      ++voters[member.mDomain];
    }
  }
  return voters;
}

/** How many votes too many some failure domain holds for the others to be a
 * majority without it; 0 if the group bears the loss of each one. */
std::size_t
ExcessOfDomain(const members& aMembers)
{
  std::size_t voters = VotersIn(aMembers);
  std::size_t bearable = voters - std::min(voters, voters / 2 + 1);
  std::size_t most = 0;
  for (const auto& [domain, count] : VotersByDomain(aMembers)) {
    most = std::max(most, count);
  }
  return most - std::min(most, bearable);
}

/** The ready learner whose vote leaves the failure domains dealt best. */
std::optional<raft_peer_id>
BestLearner(const members& aMembers, const member_limits& aLimits)
{
  std::optional<raft_peer_id> best;
  std::pair<std::size_t, std::size_t> bestRank;
  auto voters = VotersByDomain(aMembers);
  for (const member_view& member : aMembers) {
    if (!IsReady(member, aLimits)) {
      continue;
    }
    auto sameDomain = voters.find(member.mDomain);
    std::pair rank(ExcessOfDomain(WithVoter(aMembers, member.mPeer.mId)),
                   sameDomain == voters.end() ? 0 : sameDomain->second);
    if (!best || rank < bestRank) {
      best = member.mPeer.mId;
      bestRank = rank;
    }
  }
  return best;
}

/** The voter other than the leader, of those that were added last, without
 * which the failure domains are dealt best. */
std::optional<raft_peer_id>
MostDispensableVoter(const members& aMembers, const raft_peer_id& aLeader)
{
  std::optional<raft_peer_id> best;
  std::size_t bestExcess = 0;
  for (const member_view& member : aMembers) {
    const raft_peer_id& id = member.mPeer.mId;
    if (!member.mPeer.mIsVoter || id == aLeader) {
      continue;
    }
    std::size_t excess = ExcessOfDomain(WithoutMember(aMembers, id));
    if (!best || excess <= bestExcess) {
      best = id;
      bestExcess = excess;
    }
  }
  return best;
}

bool
IsEachVoterReachable(const members& aMembers,
                     const raft_peer_id& aLeader,
                     const member_limits& aLimits)
{
  return std::all_of(
    aMembers.begin(), aMembers.end(), [&](const auto& aMember) {
      return !aMember.mPeer.mIsVoter || aMember.mPeer.mId == aLeader ||
             (aMember.mHasReplied && aMember.mSilence < aLimits.mReachable);
    });
}

/** True if two more voters, which raise the quorum by one, are worth it. */
bool
IsGrowing(const members& aMembers,
          const raft_peer_id& aLeader,
          const member_limits& aLimits)
{
  if (ReadyLearners(aMembers, aLimits).size() < 2 ||
      VotersIn(aMembers) + 2 > aLimits.mMaxVoters ||
      !IsEachVoterReachable(aMembers, aLeader, aLimits)) {
    return false;
  }
  members grown = WithVoter(aMembers, *BestLearner(aMembers, aLimits));
  grown = WithVoter(grown, *BestLearner(grown, aLimits));
  return ExcessOfDomain(grown) <= ExcessOfDomain(aMembers);
}

next_members
PromoteLearner(const members& aMembers,
               const raft_peer_id& aLeader,
               const member_limits& aLimits)
{
  auto learner = BestLearner(aMembers, aLimits);
  std::size_t voters = VotersIn(aMembers);
  if (!learner || voters >= aLimits.mMaxVoters) {
    return std::nullopt;
  }
  bool isEven = voters % 2 == 0;
  if (!isEven && !IsGrowing(aMembers, aLeader, aLimits)) {
    return std::nullopt;
  }
  return WithVote(aMembers, *learner);
}

/** Deals the votes anew over the failure domains, one more and then one fewer;
 * at the maximum, the other way round. */
next_members
RedealVotes(const members& aMembers,
            const raft_peer_id& aLeader,
            const member_limits& aLimits,
            milliseconds aSinceVoteChange)
{
  std::size_t voters = VotersIn(aMembers);
  std::size_t excess = ExcessOfDomain(aMembers);
  if (excess == 0 || voters < aLimits.mMinVoters ||
      !IsEachVoterReachable(aMembers, aLeader, aLimits)) {
    return std::nullopt;
  }
  auto learner = BestLearner(aMembers, aLimits);
  auto voter = MostDispensableVoter(aMembers, aLeader);
  if (!voter) {
    return std::nullopt;
  }
  members fewer = WithoutMember(aMembers, *voter);
  if (voters % 2 == 0) {
    std::size_t excessOfMore =
      learner ? ExcessOfDomain(WithVoter(aMembers, *learner)) : excess;
    bool isWorthIt =
      voters > aLimits.mMinVoters && ExcessOfDomain(fewer) < excessOfMore;
    return isWorthIt ? next_members(PeersOf(fewer)) : std::nullopt;
  }
  bool isWorthIt = learner && aSinceVoteChange >= aLimits.mSettled &&
                   ExcessOfDomain(WithVoter(fewer, *learner)) < excess;
  if (!isWorthIt) {
    return std::nullopt;
  }
  return voters < aLimits.mMaxVoters ? WithVote(aMembers, *learner)
                                     : PeersOf(fewer);
}

/** The silent voter whose place a ready learner can take, the one with the
 * longest silence if there are several. */
std::optional<raft_peer_id>
VoterWithSuccessor(const members& aMembers,
                   const std::vector<raft_peer_id>& aSilent,
                   const std::vector<raft_peer_id>& aGone,
                   const member_limits& aLimits)
{
  std::size_t excess = ExcessOfDomain(aMembers);
  for (const raft_peer_id& silent : aSilent) {
    members fewer = WithoutMember(aMembers, silent);
    auto successor = BestLearner(fewer, aLimits);
    bool isGone = std::find(aGone.begin(), aGone.end(), silent) != aGone.end();
    if (successor &&
        (isGone || ExcessOfDomain(WithVoter(fewer, *successor)) <= excess)) {
      return silent;
    }
  }
  return std::nullopt;
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
  auto gone = SilentVoters(aMembers, aLeader, aLimits.mGone);
  if (auto voter = VoterWithSuccessor(aMembers, silent, gone, aLimits)) {
    return Without(aMembers, *voter);
  }
  // An even number of voters bears no more losses than one fewer.
  bool isSpare = voters % 2 == 0 && !gone.empty();
  bool isPairGone = gone.size() >= 2 && voters >= aLimits.mMinVoters + 2;
  if (!isSpare && !isPairGone) {
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
            const member_limits& aLimits,
            milliseconds aSinceVoteChange)
{
  if (auto next = RedealVotes(aMembers, aLeader, aLimits, aSinceVoteChange)) {
    return next;
  }
  if (auto next = PromoteLearner(aMembers, aLeader, aLimits)) {
    return next;
  }
  if (auto next = RemoveVoter(aMembers, aLeader, aLimits)) {
    return next;
  }
  return RemoveLearner(aMembers, aLimits);
}

}
