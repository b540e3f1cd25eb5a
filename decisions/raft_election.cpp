#include "decisions/raft_node.h"

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
raft_node::HearsLeader(steady_time aNow) const
{
  if (mRole == raft_role::Leader) {
    return true;
  }
  return !mLeader.mHost.IsEmpty() &&
         aNow - mLeaderSeenAt < mConfig.mElectionTimeout;
}

void
raft_node::SetElectionDue(milliseconds aLeast, steady_time aNow)
{
  // The spread keeps members from asking together.
  std::uniform_int_distribution<std::int64_t> spread(0, aLeast.count());
  mElectionDue = aNow + aLeast + milliseconds(spread(mRandom));
}

void
raft_node::SetRetryDue(steady_time aNow)
{
  // A pre-vote disturbs no leader, so that it can be asked for soon.
  SetElectionDue(mConfig.mElectionTimeout / 4, aNow);
}

void
raft_node::BecomeFollower(raft_term aTerm,
                          const raft_peer_id& aLeader,
                          steady_time aNow)
{
  SetTerm(aTerm);
  mRole = raft_role::Follower;
  mLeader = aLeader;
  mGrants.clear();
  mPendingReads.clear();
  SetElectionDue(mConfig.mElectionTimeout, aNow);
}

void
raft_node::StartPreVote(steady_time aNow)
{
  mRole = raft_role::PreCandidate;
  mLeader = {};
  mGrants = { mConfig.mSelf };
  SetRetryDue(aNow);
  if (mGrants.size() >= Quorum()) {
    StartElection(false, aNow);
    return;
  }
  AskForVotes(raft_message_kind::PreVote, false);
}

void
raft_node::StartElection(bool aIsTransfer, steady_time aNow)
{
  SetTerm(mHardState.mTerm + 1);
  mHardState.mVote = mConfig.mSelf;
  mActions.mHardState = mHardState;
  mRole = raft_role::Candidate;
  mLeader = {};
  mGrants = { mConfig.mSelf };
  SetRetryDue(aNow);
  if (mGrants.size() >= Quorum()) {
    BecomeLeader(aNow);
    return;
  }
  AskForVotes(raft_message_kind::Vote, aIsTransfer);
}

void
raft_node::AskForVotes(raft_message_kind aKind, bool aIsTransfer)
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
  mLeadsSince = aNow;
  mProgress.clear();
  mPendingReads.clear();
  for (const raft_peer& peer : mPeers) {
    mProgress[peer.mId] = MakeProgress(aNow);
  }
  // An empty entry of the new term commits what earlier terms left behind.
  AppendOwn({});
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
    bool isFresh =
      aNow - mProgress[peer.mId].mLastContact < mConfig.mElectionTimeout;
    if (!peer.mIsVoter || peer.mId == mConfig.mSelf || !isFresh) {
      continue;
    }
    if (best == nullptr || rank(peer) > rank(*best)) {
      best = &peer;
    }
  }
  if (best == nullptr) {
    return;
  }
  raft_peer_id chosen = best->mId;
  SendAppend(chosen, aNow);
  raft_message handOver;
  handOver.mKind = raft_message_kind::TimeoutNow;
  handOver.mTo = chosen;
  handOver.mTerm = mHardState.mTerm;
  Send(std::move(handOver));
}

void
raft_node::OnPreVote(const raft_message& aMessage, steady_time aNow)
{
  raft_message answer;
  answer.mKind = raft_message_kind::PreVoteReply;
  answer.mIsRefused = HearsLeader(aNow) || !IsUpToDate(aMessage);
  answer.mTo = aMessage.mFrom;
  // A granted pre-vote carries the term asked for; it changes no term.
  answer.mTerm = answer.mIsRefused ? mHardState.mTerm : aMessage.mTerm;
  Send(std::move(answer));
}

void
raft_node::OnVote(const raft_message& aMessage, steady_time aNow)
{
  bool isFree =
    mHardState.mVote.mHost.IsEmpty() || mHardState.mVote == aMessage.mFrom;
  bool isGranted = isFree && mLeader.mHost.IsEmpty() && IsUpToDate(aMessage);
  if (isGranted) {
    mHardState.mVote = aMessage.mFrom;
    mActions.mHardState = mHardState;
    SetElectionDue(mConfig.mElectionTimeout, aNow);
  }
  raft_message answer;
  answer.mKind = raft_message_kind::VoteReply;
  answer.mIsRefused = !isGranted;
  Reply(aMessage, std::move(answer));
}

void
raft_node::OnVoteReply(const raft_message& aMessage, steady_time aNow)
{
  bool isPreVote = aMessage.mKind == raft_message_kind::PreVoteReply;
  raft_role asking = isPreVote ? raft_role::PreCandidate : raft_role::Candidate;
  raft_term askedTerm = isPreVote ? mHardState.mTerm + 1 : mHardState.mTerm;
  bool counts = mRole == asking && !aMessage.mIsRefused &&
                aMessage.mTerm == askedTerm && IsVoter(aMessage.mFrom);
  if (!counts) {
    return;
  }
  mGrants.insert(aMessage.mFrom);
  if (mGrants.size() < Quorum()) {
    return;
  }
  if (isPreVote) {
    StartElection(false, aNow);
  } else {
    BecomeLeader(aNow);
  }
}

}
