#include "decisions/group/raft_node.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** Bytes of committed entries that one batch of actions delivers, unless a
 * single entry is larger. */
constexpr std::uint64_t kMaxDeliveredBytes = 4U << 20U;

}

result<raft_node, raft_error>
raft_node::Create(raft_config aConfig,
                  raft_persistent_state aPersisted,
                  steady_time aNow)
{
  if (aConfig.mSelf.mHost.IsEmpty() || aConfig.mSelf.mDisk.IsEmpty()) {
    return Fail(raft_error::BadConfig,
                "A member needs both a host id and a disk id.");
  }
  log_index expected = aPersisted.mSnapshot.mIndex + 1;
  for (const raft_entry& entry : aPersisted.mEntries) {
    if (entry.mIndex != expected) {
      return Fail(raft_error::BadLog,
                  "Log entry " + std::to_string(expected) + " is missing.");
    }
    ++expected;
  }
  return raft_node(std::move(aConfig), std::move(aPersisted), aNow);
}

raft_node::raft_node(raft_config aConfig,
                     raft_persistent_state aPersisted,
                     steady_time aNow)
  : mConfig(std::move(aConfig))
  , mRandom(mConfig.mSeed)
  , mHardState(std::move(aPersisted.mHardState))
  , mSnapshot(std::move(aPersisted.mSnapshot))
  , mLog(std::move(aPersisted.mEntries))
  , mCommit(mSnapshot.mIndex)
  , mDeliveredIndex(mSnapshot.mIndex)
  , mHeartbeatDue(aNow)
  , mJoinDue(aNow)
  , mLeaderContactAt(aNow - 2 * mConfig.mElectionTimeout)
  , mStartedAt(aNow)
{
  UpdatePeers();
  // The group may have no leader, so the first pre-vote comes early.
  SetRetryDue(aNow);
}

std::optional<raft_term>
raft_node::TermAt(log_index aIndex) const
{
  if (aIndex == mSnapshot.mIndex) {
    return mSnapshot.mTerm;
  }
  if (aIndex < mSnapshot.mIndex || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return EntryAt(aIndex).mTerm;
}

bool
raft_node::HasCommittedInTerm() const
{
  return TermAt(mCommit).value_or(0) == mHardState.mTerm;
}

void
raft_node::Send(raft_message aMessage)
{
  aMessage.mFrom = mConfig.mSelf;
  mActions.mMessages.push_back(std::move(aMessage));
}

void
raft_node::Reply(const raft_message& aRequest, raft_message aMessage)
{
  aMessage.mTo = aRequest.mFrom;
  aMessage.mTerm = mHardState.mTerm;
  Send(std::move(aMessage));
}

void
raft_node::SetTerm(raft_term aTerm)
{
  if (aTerm == mHardState.mTerm) {
    return;
  }
  mHardState.mTerm = aTerm;
  mHardState.mVote = {};
  mActions.mHardState = mHardState;
}

void
raft_node::AppendToLog(raft_entry aEntry)
{
  aEntry.mTerm = mHardState.mTerm;
  aEntry.mIndex = LastIndex() + 1;
  if (mFirstUnpersisted == 0) {
    mFirstUnpersisted = aEntry.mIndex;
  }
  bool changesPeers = aEntry.mPeers.has_value();
  mLog.Append(std::move(aEntry));
  if (changesPeers) {
    UpdatePeers();
  }
}

void
raft_node::DeliverCommitted()
{
  std::uint64_t bytes = 0;
  while (mDeliveredIndex < mCommit && bytes < kMaxDeliveredBytes) {
    ++mDeliveredIndex;
    mActions.mCommitted.push_back(EntryAt(mDeliveredIndex));
    bytes += mActions.mCommitted.back().mPayload.size();
  }
}

raft_actions
raft_node::TakeActions()
{
  // Sends the commit index at once, since daemons connected to followers wait
  // for it; one message covers all commits since the last actions.
  if (std::exchange(mBroadcastsCommit, false) && mRole == raft_role::Leader) {
    Broadcast(mLastHeartbeatAt);
  }
  DeliverCommitted();
  if (mFirstUnpersisted != 0) {
    log_index first = std::max(mFirstUnpersisted, FirstIndex());
    for (log_index index = first; index <= LastIndex(); ++index) {
      mActions.mAppend.push_back(EntryAt(index));
    }
    mFirstUnpersisted = 0;
  }
  return std::exchange(mActions, {});
}

result<raft_position, raft_error>
raft_node::Propose(std::string aPayload, steady_time aNow)
{
  if (mRole != raft_role::Leader) {
    return Fail(raft_error::NotLeader, "This member is not the leader.");
  }
  raft_entry entry;
  entry.mPayload = std::move(aPayload);
  AppendToLog(std::move(entry));
  Broadcast(aNow);
  AdvanceCommit();
  return raft_position{ mHardState.mTerm, LastIndex() };
}

void
raft_node::Compact(log_index aIndex, std::string aState)
{
  if (aIndex <= mSnapshot.mIndex || aIndex > mDeliveredIndex) {
    return;
  }
  raft_snapshot snapshot;
  snapshot.mIndex = aIndex;
  snapshot.mTerm = TermAt(aIndex).value_or(0);
  snapshot.mState = std::move(aState);
  snapshot.mPeers = mSnapshot.mPeers;
  while (!mLog.IsEmpty() && mLog.Entries().front().mIndex <= aIndex) {
    const raft_entry& first = mLog.Entries().front();
    if (first.mPeers) {
      snapshot.mPeers = *first.mPeers;
    }
    mLog.DropFirst();
  }
  mSnapshot = std::move(snapshot);
}

bool
raft_node::IsReplicated(log_index aIndex, steady_time aNow) const
{
  if (mRole != raft_role::Leader) {
    return true;
  }
  return std::all_of(
    mProgress.begin(), mProgress.end(), [&](const auto& aPeer) {
      return aPeer.first == mConfig.mSelf || !IsReachable(aPeer.first, aNow) ||
             aPeer.second.mMatch >= aIndex;
    });
}

void
raft_node::RequestRead(std::uint64_t aToken)
{
  if (mRole == raft_role::Leader) {
    mPendingReads.push_back({ mConfig.mSelf, aToken, mRound + 1 });
    if (Quorum() == 1) {
      ++mRound;
      ConfirmReads();
    }
    return;
  }
  if (mLeader.mHost.IsEmpty()) {
    return;
  }
  raft_message request;
  request.mKind = raft_message_kind::ReadIndex;
  request.mTo = mLeader;
  request.mTerm = mHardState.mTerm;
  request.mNumber = aToken;
  Send(std::move(request));
}

void
raft_node::OnReadIndex(const raft_message& aMessage)
{
  if (mRole != raft_role::Leader) {
    return;
  }
  mPendingReads.push_back({ aMessage.mFrom, aMessage.mNumber, mRound + 1 });
}

void
raft_node::ConfirmReads()
{
  // Until an entry of this term is committed, the commit index may be stale.
  if (mRole != raft_role::Leader || !HasCommittedInTerm()) {
    return;
  }
  std::vector<std::uint64_t> rounds;
  for (const raft_peer& peer : mPeers) {
    if (peer.mIsVoter) {
      bool isSelf = peer.mId == mConfig.mSelf;
      rounds.push_back(isSelf ? mRound : mProgress[peer.mId].mRound);
    }
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  std::uint64_t confirmedRound = rounds[Quorum() - 1];
  auto isConfirmed = [&](const pending_read& aRead) {
    return aRead.mRound <= confirmedRound;
  };
  for (const pending_read& read : mPendingReads) {
    if (!isConfirmed(read)) {
      continue;
    }
    if (read.mFrom == mConfig.mSelf) {
      mActions.mReads.push_back({ read.mToken, mCommit });
      continue;
    }
    raft_message reply;
    reply.mKind = raft_message_kind::ReadIndexReply;
    reply.mTo = read.mFrom;
    reply.mTerm = mHardState.mTerm;
    reply.mNumber = read.mToken;
    reply.mIndex = mCommit;
    Send(std::move(reply));
  }
  std::erase_if(mPendingReads, isConfirmed);
}

steady_time
raft_node::NextDue() const
{
  return mRole == raft_role::Leader ? mHeartbeatDue
                                    : std::min(mElectionDue, mJoinDue);
}

void
raft_node::Tick(steady_time aNow)
{
  if (mRole == raft_role::Leader) {
    TickLeader(aNow);
  } else {
    TickNonLeader(aNow);
  }
}

void
raft_node::TickLeader(steady_time aNow)
{
  if (aNow < mHeartbeatDue) {
    return;
  }
  // Reads that wait for a new leader need one of its heartbeat rounds, so the
  // first ones follow each other quickly.
  bool isNew = aNow - mLeaderSince < mConfig.mElectionTimeout;
  mLastHeartbeatAt = aNow;
  mHeartbeatDue =
    aNow + (isNew ? mConfig.mHeartbeatInterval / kNewLeaderHeartbeatFactor
                  : mConfig.mHeartbeatInterval);
  if (Strength(aNow).mReachableVoters < Quorum()) {
    BecomeFollower(mHardState.mTerm, {}, aNow);
    mLeaderContactAt = aNow - mConfig.mElectionTimeout;
    return;
  }
  ++mRound;
  Broadcast(aNow);
  ManagePeers(aNow);
}

void
raft_node::TickNonLeader(steady_time aNow)
{
  // A member that no leader reaches may have been removed while it was away.
  bool isServed = IsMember(mConfig.mSelf) && !IsCutOff(aNow);
  if (isServed) {
    mJoinDue = aNow + kJoinInterval;
  } else if (aNow >= mJoinDue) {
    RequestJoin(aNow);
  }
  if (aNow < mElectionDue) {
    return;
  }
  if (!IsVoter(mConfig.mSelf)) {
    mLeader = {};
    SetElectionDue(mConfig.mElectionTimeout, aNow);
    return;
  }
  StartPreVote(aNow);
}

void
raft_node::ReplyToStale(const raft_message& aMessage)
{
  raft_message reply;
  reply.mIsRefused = true;
  if (aMessage.mKind == raft_message_kind::PreVote) {
    reply.mKind = raft_message_kind::PreVoteReply;
    Reply(aMessage, std::move(reply));
    return;
  }
  bool isFromLeader = aMessage.mKind == raft_message_kind::Append ||
                      aMessage.mKind == raft_message_kind::Snapshot;
  if (isFromLeader) {
    // The newer term in the reply makes the old leader step down.
    reply.mKind = raft_message_kind::AppendReply;
    Reply(aMessage, std::move(reply));
  }
}

void
raft_node::Step(const raft_message& aMessage, steady_time aNow)
{
  if (aMessage.mTo.mHost != mConfig.mSelf.mHost) {
    return;
  }
  bool isForEarlierDisk =
    !aMessage.mTo.mDisk.IsEmpty() && aMessage.mTo.mDisk != mConfig.mSelf.mDisk;
  if (isForEarlierDisk) {
    // The sender belongs to the group that this host's lost disk was part of,
    // which this host may have no other way to find. Where members are
    // configured, they are known, and no other host may join.
    if (mConfig.mAllowsAnyHost) {
      mConfig.mKnownHosts.insert(aMessage.mFrom.mHost);
    }
    return;
  }
  if (aMessage.mKind == raft_message_kind::Join) {
    OnJoin(aMessage, aNow);
    return;
  }
  if (aMessage.mTerm < mHardState.mTerm) {
    ReplyToStale(aMessage);
    return;
  }
  bool isVote = aMessage.mKind == raft_message_kind::Vote;
  // A member with an active leader ignores elections, so that a host that
  // returns from isolation does not disrupt the group.
  if (isVote && !aMessage.mIsLeaderTransfer && HasActiveLeader(aNow)) {
    return;
  }
  bool isPreVote =
    aMessage.mKind == raft_message_kind::PreVote ||
    (aMessage.mKind == raft_message_kind::PreVoteReply && !aMessage.mIsRefused);
  if (aMessage.mTerm > mHardState.mTerm && !isPreVote) {
    bool isFromLeader = aMessage.mKind == raft_message_kind::Append ||
                        aMessage.mKind == raft_message_kind::Snapshot;
    BecomeFollower(
      aMessage.mTerm, isFromLeader ? aMessage.mFrom : raft_peer_id{}, aNow);
  }
  switch (aMessage.mKind) {
    case raft_message_kind::PreVote:
      OnPreVote(aMessage, aNow);
      return;
    case raft_message_kind::Vote:
      OnVote(aMessage, aNow);
      return;
    case raft_message_kind::PreVoteReply:
    case raft_message_kind::VoteReply:
      OnVoteReply(aMessage, aNow);
      return;
    case raft_message_kind::Append:
      OnAppend(aMessage, aNow);
      return;
    case raft_message_kind::AppendReply:
      OnAppendReply(aMessage, aNow);
      return;
    case raft_message_kind::Snapshot:
      OnSnapshot(aMessage, aNow);
      return;
    case raft_message_kind::TimeoutNow:
      if (IsVoter(mConfig.mSelf)) {
        StartElection(true, aNow);
      }
      return;
    case raft_message_kind::ReadIndex:
      OnReadIndex(aMessage);
      return;
    case raft_message_kind::ReadIndexReply:
      mActions.mReads.push_back({ aMessage.mNumber, aMessage.mIndex });
      return;
    case raft_message_kind::Join:
      return;
  }
}

}
