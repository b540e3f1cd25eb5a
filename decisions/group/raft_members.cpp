#include "decisions/group/raft_member_plan.h"
#include "decisions/group/raft_node.h"

#include <algorithm>
#include <utility>

namespace hibiscusspool {

namespace {

/** A learner that lags by at most this many entries has caught up. */
constexpr log_index kMaxLearnerLag = 64;
/** A voter without a reply for this many election time-outs may give its place
 * to a learner. */
constexpr int kSilentElectionTimeouts = 2;

std::set<raft_peer_id>
VotersIn(const std::vector<raft_peer>& aPeers)
{
  std::set<raft_peer_id> voters;
  for (const raft_peer& peer : aPeers) {
    if (peer.mIsVoter) {
      voters.insert(peer.mId);
    }
  }
  return voters;
}

}

bool
raft_node::IsMember(const raft_peer_id& aId) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const raft_peer& aPeer) {
    return aPeer.mId == aId;
  });
}

bool
raft_node::IsVoter(const raft_peer_id& aId) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const raft_peer& aPeer) {
    return aPeer.mIsVoter && aPeer.mId == aId;
  });
}

std::size_t
raft_node::VoterCount() const
{
  auto voters =
    std::count_if(mPeers.begin(), mPeers.end(), [](const raft_peer& aPeer) {
      return aPeer.mIsVoter;
    });
  return static_cast<std::size_t>(voters);
}

std::size_t
raft_node::Quorum() const
{
  return VoterCount() / 2 + 1;
}

std::set<host_id>
raft_node::ActiveHosts(steady_time aNow) const
{
  std::set<host_id> active{ mConfig.mSelf.mHost };
  for (const auto& [peer, state] : mProgress) {
    if (IsReachable(peer, aNow)) {
      active.insert(peer.mHost);
    }
  }
  return active;
}

bool
raft_node::IsReachable(const raft_peer_id& aPeer, steady_time aNow) const
{
  if (aPeer == mConfig.mSelf) {
    return true;
  }
  auto found = mProgress.find(aPeer);
  return found != mProgress.end() &&
         aNow - found->second.mLastContact < mConfig.mElectionTimeout;
}

raft_strength
raft_node::Strength(steady_time aNow) const
{
  raft_strength strength;
  strength.mQuorum = Quorum();
  for (const raft_peer& peer : mPeers) {
    strength.mVoters += peer.mIsVoter ? 1 : 0;
    strength.mLearners += peer.mIsVoter ? 0 : 1;
    bool isReachable = IsReachable(peer.mId, aNow);
    strength.mReachableVoters += peer.mIsVoter && isReachable ? 1 : 0;
  }
  return strength;
}

bool
raft_node::CanChangePeers() const
{
  return mRole == raft_role::Leader && HasCommittedInTerm() &&
         mPeersIndex <= mCommit;
}

void
raft_node::UpdatePeers()
{
  const std::deque<raft_entry>& entries = mLog.Entries();
  for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    if (entry->mPeers) {
      mPeers = *entry->mPeers;
      mPeersIndex = entry->mIndex;
      return;
    }
  }
  mPeers = mSnapshot.mPeers;
  mPeersIndex = mSnapshot.mIndex;
}

void
raft_node::Bootstrap(std::vector<raft_peer> aVoters, steady_time aNow)
{
  if (LastIndex() != 0 || mHardState.mTerm != 0) {
    return;
  }
  SetTerm(1);
  raft_entry first;
  first.mPeers = std::move(aVoters);
  AppendToLog(std::move(first));
  StartPreVote(aNow);
}

void
raft_node::SetKnownHosts(std::set<host_id> aHosts)
{
  mConfig.mKnownHosts = std::move(aHosts);
}

void
raft_node::SetFailureDomains(std::map<host_id, failure_domain_id> aDomains)
{
  mDomains = std::move(aDomains);
}

void
raft_node::RequestJoin(steady_time aNow)
{
  mJoinDue = aNow + kJoinInterval;
  std::set<host_id> hosts = mConfig.mKnownHosts;
  for (const raft_peer& peer : mPeers) {
    hosts.insert(peer.mId.mHost);
  }
  hosts.erase(mConfig.mSelf.mHost);
  for (const host_id& host : hosts) {
    raft_message join;
    join.mKind = raft_message_kind::Join;
    join.mTo = { host, {} };
    Send(std::move(join));
  }
}

void
raft_node::OnJoin(const raft_message& aMessage, steady_time aNow)
{
  bool isAllowed = mConfig.mAllowsAnyHost ||
                   mConfig.mKnownHosts.contains(aMessage.mFrom.mHost);
  if (isAllowed && mRole != raft_role::Leader) {
    ForwardJoin(aMessage);
    return;
  }
  bool isNew = isAllowed && !IsMember(aMessage.mFrom);
  if (isNew && mJoining.size() < kMaxJoining) {
    mJoining.insert(aMessage.mFrom);
    AddLearners(aNow);
  }
}

void
raft_node::AddLearners(steady_time aNow)
{
  if (mJoining.empty() || !CanChangePeers()) {
    return;
  }
  std::vector<raft_peer> peers = mPeers;
  for (const raft_peer_id& joining : std::exchange(mJoining, {})) {
    auto isEarlier = [&](const raft_peer& aPeer) {
      return !aPeer.mIsVoter && aPeer.mId.mHost == joining.mHost;
    };
    auto earlier = std::find_if(peers.begin(), peers.end(), isEarlier);
    // A request of a disk that was replaced may come late.
    if (earlier != peers.end() && IsReachable(earlier->mId, aNow)) {
      continue;
    }
    std::erase_if(peers, isEarlier);
    peers.push_back({ joining, false });
  }
  if (peers != mPeers) {
    ChangePeers(std::move(peers), aNow);
  }
}

void
raft_node::ForwardJoin(const raft_message& aMessage)
{
  // A joining host may know none of the hosts that can lead. Forwarding only
  // once stops two members that each take the other for the leader from
  // forwarding forever.
  bool isForwarded = aMessage.mNumber != 0;
  if (isForwarded || mLeader.mHost.IsEmpty()) {
    return;
  }
  raft_message forwarded = aMessage;
  forwarded.mTo = mLeader;
  forwarded.mNumber = 1;
  mActions.mMessages.push_back(std::move(forwarded));
}

void
raft_node::ChangePeers(std::vector<raft_peer> aPeers, steady_time aNow)
{
  if (VotersIn(aPeers) != VotersIn(mPeers)) {
    mVotersChangedAt = aNow;
  }
  raft_entry entry;
  entry.mPeers = std::move(aPeers);
  AppendToLog(std::move(entry));
  for (const raft_peer& peer : mPeers) {
    if (!mProgress.contains(peer.mId)) {
      mProgress[peer.mId] = MakeProgress(aNow);
    }
  }
  std::erase_if(mProgress,
                [&](const auto& aState) { return !IsMember(aState.first); });
  Broadcast(aNow);
  AdvanceCommit();
}

void
raft_node::ManagePeers(steady_time aNow)
{
  AddLearners(aNow);
  if (!CanChangePeers()) {
    return;
  }
  std::vector<member_view> members;
  for (const raft_peer& peer : mPeers) {
    member_view& member = members.emplace_back();
    member.mPeer = peer;
    auto domain = mDomains.find(peer.mId.mHost);
    member.mDomain =
      domain == mDomains.end() ? failure_domain_id{} : domain->second;
    if (peer.mId == mConfig.mSelf) {
      member.mHasReplied = true;
      continue;
    }
    const progress& state = mProgress[peer.mId];
    member.mHasReplied = state.mHasReplied;
    member.mSilence =
      std::chrono::duration_cast<milliseconds>(aNow - state.mLastContact);
    member.mIsCaughtUp =
      state.mMatch > 0 && state.mMatch + kMaxLearnerLag >= LastIndex();
  }
  member_limits limits;
  limits.mReachable = mConfig.mElectionTimeout;
  limits.mSilent = kSilentElectionTimeouts * mConfig.mElectionTimeout;
  limits.mSettled = kSilentElectionTimeouts * mConfig.mElectionTimeout;
  auto sinceChange = std::chrono::duration_cast<milliseconds>(
    aNow - std::max(mVotersChangedAt, mLeaderSince));
  auto next = NextMembers(members, mConfig.mSelf, limits, sinceChange);
  if (next) {
    ChangePeers(std::move(*next), aNow);
  }
}

std::vector<raft_peer>
raft_node::CommittedPeers() const
{
  if (mPeersIndex <= mCommit) {
    return mPeers;
  }
  const std::deque<raft_entry>& entries = mLog.Entries();
  for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    if (entry->mPeers && entry->mIndex <= mCommit) {
      return *entry->mPeers;
    }
  }
  return mSnapshot.mPeers;
}

}
