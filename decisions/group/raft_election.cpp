#include "decisions/group/raft_node.h"

#include <algorithm>

namespace hibiscusspool {

bool
raft_node::IsUpToDate(const raft_message& aVote) const
{
  raft_term lastTerm = TermAt(LastIndex()).value_or(0);
  if (aVote.mLogTerm != lastTerm) {
    return aVote.mLogTerm > lastTerm;
  }
  return aVote.mIndex >= LastIndex();
}

bool
raft_node::HasActiveLeader(steady_time aNow) const
{
  if (mRole == raft_role::Leader) {
    return true;
  }
  return !mLeader.mHost.IsEmpty() &&
         aNow - mLeaderContactAt < mConfig.mElectionTimeout;
}

bool
raft_node::IsCutOff(steady_time aNow) const
{
  // The latest time at which a follower stands for election.
  milliseconds longest = 2 * mConfig.mElectionTimeout;
  return mRole != raft_role::Leader &&
         aNow - std::max(mLeaderContactAt, mStartedAt) >= longest;
}

void
raft_node::SetElectionDue(milliseconds aMin, steady_time aNow)
{
  // Randomized, so that members don't start elections at the same time.
  std::uniform_int_distribution<std::int64_t> spread(0, aMin.count());
  mElectionDue = aNow + aMin + milliseconds(spread(mRandom));
}

void
raft_node::SetRetryDue(steady_time aNow)
{
  // A pre-vote does not disrupt a leader, so it may be retried soon.
  SetElectionDue(mConfig.mElectionTimeout / 4, aNow);
}

void
raft_node::BecomeFollower(raft_term aTerm,
                          const raft_peer_id& aLeader,
                          steady_time aNow)
{
  SetTerm(aTerm);
  if (mRole == raft_role::Leader) {
    mLeaderContactAt = aNow;
  }
  mRole = raft_role::Follower;
  mLeader = aLeader;
  mGrantedVotes.clear();
  mPendingReads.clear();
  mJoining.clear();
  SetElectionDue(mConfig.mElectionTimeout, aNow);
}

void
raft_node::StartPreVote(steady_time aNow)
{
  mRole = raft_role::PreCandidate;
  mLeader = {};
  mGrantedVotes = { mConfig.mSelf };
  SetRetryDue(aNow);
  if (mGrantedVotes.size() >= Quorum()) {
    StartElection(false, aNow);
    return;
  }
  RequestVotes(raft_message_kind::PreVote, false);
}

void
raft_node::StartElection(bool aIsTransfer, steady_time aNow)
{
  SetTerm(mHardState.mTerm + 1);
  mHardState.mVote = mConfig.mSelf;
  mActions.mHardState = mHardState;
  mRole = raft_role::Candidate;
  mLeader = {};
  mGrantedVotes = { mConfig.mSelf };
  SetRetryDue(aNow);
  if (mGrantedVotes.size() >= Quorum()) {
    BecomeLeader(aNow);
    return;
  }
  RequestVotes(raft_message_kind::Vote, aIsTransfer);
}

void
raft_node::RequestVotes(raft_message_kind aKind, bool aIsTransfer)
{
  bool isPreVote = aKind == raft_message_kind::PreVote;
  for (const raft_peer& peer : mPeers) {
    if (!peer.mIsVoter || peer.mId == mConfig.mSelf) {
      continue;
    }
    raft_message vote;
    vote.mKind = aKind;
    vote.mTo = peer.mId;
    vote.mTerm = isPreVote ? mHardState.mTerm + 1 : mHardState.mTerm;
    vote.mIndex = LastIndex();
    vote.mLogTerm = TermAt(LastIndex()).value_or(0);
    vote.mIsLeaderTransfer = aIsTransfer;
    Send(std::move(vote));
  }
}

void
raft_node::BecomeLeader(steady_time aNow)
{
  mRole = raft_role::Leader;
  mLeader = mConfig.mSelf;
  mLeaderSince = aNow;
  mProgress.clear();
  mPendingReads.clear();
  for (const raft_peer& peer : mPeers) {
    mProgress[peer.mId] = MakeProgress(aNow);
  }
  // The previous leader has been silent since before this election.
  auto previous = mProgress.find(mLastLeader);
  if (previous != mProgress.end() && !mGrantedVotes.contains(mLastLeader)) {
    previous->second.mLastContact = mLeaderContactAt;
  }
  // Committing an empty entry of the new term commits those of earlier terms.
  AppendToLog({});
  Broadcast(aNow);
  AdvanceCommit();
}

void
raft_node::TransferLeadership(const std::set<host_id>& aAvoid, steady_time aNow)
{
  if (mRole != raft_role::Leader) {
    return;
  }
  const raft_peer* best = nullptr;
  auto rank = [&](const raft_peer& aPeer) {
    return std::pair(!aAvoid.contains(aPeer.mId.mHost),
                     mProgress[aPeer.mId].mMatch);
  };
  for (const raft_peer& peer : mPeers) {
    bool isCandidate =
      peer.mIsVoter && peer.mId != mConfig.mSelf && IsReachable(peer.mId, aNow);
    if (!isCandidate) {
      continue;
    }
    if (best == nullptr || rank(peer) > rank(*best)) {
      best = &peer;
    }
  }
  if (best == nullptr) {
    return;
  }
  raft_peer_id target = best->mId;
  SendAppend(target, aNow);
  raft_message timeoutNow;
  timeoutNow.mKind = raft_message_kind::TimeoutNow;
  timeoutNow.mTo = target;
  timeoutNow.mTerm = mHardState.mTerm;
  Send(std::move(timeoutNow));
}

void
raft_node::OnPreVote(const raft_message& aMessage, steady_time aNow)
{
  raft_message reply;
  reply.mKind = raft_message_kind::PreVoteReply;
  reply.mIsRefused = HasActiveLeader(aNow) || !IsUpToDate(aMessage);
  reply.mTo = aMessage.mFrom;
  // A granted pre-vote carries the requested term but changes no member's term.
  reply.mTerm = reply.mIsRefused ? mHardState.mTerm : aMessage.mTerm;
  Send(std::move(reply));
}

void
raft_node::OnVote(const raft_message& aMessage, steady_time aNow)
{
  bool canVote =
    mHardState.mVote.mHost.IsEmpty() || mHardState.mVote == aMessage.mFrom;
  bool isGranted = canVote && mLeader.mHost.IsEmpty() && IsUpToDate(aMessage);
  if (isGranted) {
    mHardState.mVote = aMessage.mFrom;
    mActions.mHardState = mHardState;
    SetElectionDue(mConfig.mElectionTimeout, aNow);
  }
  raft_message reply;
  reply.mKind = raft_message_kind::VoteReply;
  reply.mIsRefused = !isGranted;
  Reply(aMessage, std::move(reply));
}

void
raft_node::OnVoteReply(const raft_message& aMessage, steady_time aNow)
{
  bool isPreVote = aMessage.mKind == raft_message_kind::PreVoteReply;
  raft_role requiredRole =
    isPreVote ? raft_role::PreCandidate : raft_role::Candidate;
  raft_term requestedTerm = isPreVote ? mHardState.mTerm + 1 : mHardState.mTerm;
  bool counts = mRole == requiredRole && !aMessage.mIsRefused &&
                aMessage.mTerm == requestedTerm && IsVoter(aMessage.mFrom);
  if (!counts) {
    return;
  }
  mGrantedVotes.insert(aMessage.mFrom);
  if (mGrantedVotes.size() < Quorum()) {
    return;
  }
  if (isPreVote) {
    StartElection(false, aNow);
  } else {
    BecomeLeader(aNow);
  }
}

}
