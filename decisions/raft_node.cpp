#include "decisions/raft_node.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

}

result<raft_node, raft_error>
raft_node::Create(raft_config aConfig,
                  raft_persistent_state aPersisted,
                  steady_time aNow)
{
  if (aConfig.mSelf.mHost.IsEmpty() || aConfig.mSelf.mDisk.IsEmpty()) {
    return Fail(raft_error::BadConfig, "A member needs a host and a disk id.");
  }
  log_index expected = aPersisted.mSnapshot.mIndex + 1;
  for (const raft_entry& entry : aPersisted.mEntries) {
    if (entry.mIndex != expected) {
      return Fail(raft_error::BadLog,
                  "Entry " + std::to_string(expected) + " is missing.");
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
  , mLog(aPersisted.mEntries.begin(), aPersisted.mEntries.end())
  , mCommit(mSnapshot.mIndex)
  , mHandedOver(mSnapshot.mIndex)
  , mHeartbeatDue(aNow)
  , mJoinDue(aNow)
  , mLeaderSeenAt(aNow - 2 * mConfig.mElectionTimeout)
{
  FindPeers();
  // After a start nobody may lead.
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
raft_node::Reply(const raft_message& aTo, raft_message aMessage)
{
  aMessage.mTo = aTo.mFrom;
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
raft_node::AppendOwn(raft_entry aEntry)
{
  aEntry.mTerm = mHardState.mTerm;
  aEntry.mIndex = LastIndex() + 1;
  if (mPersistFrom == 0) {
    mPersistFrom = aEntry.mIndex;
  }
  bool changesPeers = aEntry.mPeers.has_value();
  mLog.push_back(std::move(aEntry));
  if (changesPeers) {
    FindPeers();
  }
}

void
raft_node::HandOver()
{
  while (mHandedOver < mCommit) {
    ++mHandedOver;
    mActions.mCommitted.push_back(EntryAt(mHandedOver));
  }
}

raft_actions
raft_node::TakeActions()
{
  // Followers' daemons wait for the commit, not for the next heartbeat; one
  // message tells of all that was committed since the last actions.
  if (std::exchange(mTellsCommit, false) && mRole == raft_role::Leader) {
    Broadcast(mHeartbeatAt);
  }
  HandOver();
  if (mPersistFrom != 0) {
    log_index first = std::max(mPersistFrom, FirstIndex());
    for (log_index index = first; index <= LastIndex(); ++index) {
      mActions.mAppend.push_back(EntryAt(index));
    }
    mPersistFrom = 0;
  }
  return std::exchange(mActions, {});
}

result<raft_position, raft_error>
raft_node::Propose(std::string aPayload, steady_time aNow)
{
  if (mRole != raft_role::Leader) {
    return Fail(raft_error::NotLeader, "This member does not lead.");
  }
  raft_entry entry;
  entry.mPayload = std::move(aPayload);
  AppendOwn(std::move(entry));
  Broadcast(aNow);
  AdvanceCommit();
  return raft_position{ mHardState.mTerm, LastIndex() };
}

void
raft_node::Compact(log_index aIndex, std::string aState)
{
  if (aIndex <= mSnapshot.mIndex || aIndex > mHandedOver) {
    return;
  }
  raft_snapshot snapshot;
  snapshot.mIndex = aIndex;
  snapshot.mTerm = TermAt(aIndex).value_or(0);
  snapshot.mState = std::move(aState);
  snapshot.mPeers = mSnapshot.mPeers;
  while (!mLog.empty() && mLog.front().mIndex <= aIndex) {
    if (mLog.front().mPeers) {
      snapshot.mPeers = *mLog.front().mPeers;
    }
    mLog.pop_front();
  }
  mSnapshot = std::move(snapshot);
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
  raft_message ask;
  ask.mKind = raft_message_kind::ReadIndex;
  ask.mTo = mLeader;
  ask.mTerm = mHardState.mTerm;
  ask.mNumber = aToken;
  Send(std::move(ask));
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
  // Until this term has a committed entry, earlier commits may be unknown.
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
  std::uint64_t confirmed = rounds[Quorum() - 1];
  auto isConfirmed = [&](const pending_read& aRead) {
    return aRead.mRound <= confirmed;
  };
  for (const pending_read& read : mPendingReads) {
    if (!isConfirmed(read)) {
      continue;
    }
    if (read.mFrom == mConfig.mSelf) {
      mActions.mReads.push_back({ read.mToken, mCommit });
      continue;
    }
    raft_message answer;
    answer.mKind = raft_message_kind::ReadIndexReply;
    answer.mTo = read.mFrom;
    answer.mTerm = mHardState.mTerm;
    answer.mNumber = read.mToken;
    answer.mIndex = mCommit;
    Send(std::move(answer));
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
    TickOther(aNow);
  }
}

void
raft_node::TickLeader(steady_time aNow)
{
  if (aNow < mHeartbeatDue) {
    return;
  }
  // Hosts that wait for a new leader to confirm their reads wait for a round.
  bool isNew = aNow - mLeadsSince < mConfig.mElectionTimeout;
  mHeartbeatAt = aNow;
  mHeartbeatDue = aNow + (isNew ? mConfig.mHeartbeatInterval / kNewLeaderPace
                                : mConfig.mHeartbeatInterval);
  std::size_t heard = 0;
  for (const raft_peer& peer : mPeers) {
    bool isSelf = peer.mId == mConfig.mSelf;
    bool isFresh = isSelf || aNow - mProgress[peer.mId].mLastContact <
                               mConfig.mElectionTimeout;
    heard += peer.mIsVoter && isFresh ? 1 : 0;
  }
  if (heard < Quorum()) {
    BecomeFollower(mHardState.mTerm, {}, aNow);
    return;
  }
  ++mRound;
  Broadcast(aNow);
  TendPeers(aNow);
}

void
raft_node::TickOther(steady_time aNow)
{
  bool isMember =
    std::any_of(mPeers.begin(), mPeers.end(), [&](const raft_peer& aPeer) {
      return aPeer.mId == mConfig.mSelf;
    });
  if (!isMember && aNow >= mJoinDue) {
    AskToJoin(aNow);
  }
  if (isMember) {
    mJoinDue = aNow + kJoinInterval;
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
raft_node::AnswerStale(const raft_message& aMessage)
{
  raft_message answer;
  answer.mIsRefused = true;
  if (aMessage.mKind == raft_message_kind::PreVote) {
    answer.mKind = raft_message_kind::PreVoteReply;
    Reply(aMessage, std::move(answer));
    return;
  }
  bool isLeaders = aMessage.mKind == raft_message_kind::Append ||
                   aMessage.mKind == raft_message_kind::Snapshot;
  if (isLeaders) {
    // The newer term in the answer makes the old leader step down.
    answer.mKind = raft_message_kind::AppendReply;
    Reply(aMessage, std::move(answer));
  }
}

void
raft_node::Step(const raft_message& aMessage, steady_time aNow)
{
  bool isForOther = aMessage.mTo.mHost != mConfig.mSelf.mHost ||
                    (!aMessage.mTo.mDisk.IsEmpty() &&
                     aMessage.mTo.mDisk != mConfig.mSelf.mDisk);
  if (isForOther) {
    return;
  }
  if (aMessage.mKind == raft_message_kind::Join) {
    OnJoin(aMessage, aNow);
    return;
  }
  if (aMessage.mTerm < mHardState.mTerm) {
    AnswerStale(aMessage);
    return;
  }
  bool isVote = aMessage.mKind == raft_message_kind::Vote;
  // A member that still hears its leader takes part in no election, so that
  // a host which returns from isolation disturbs nobody.
  if (isVote && !aMessage.mIsLeaderTransfer && HearsLeader(aNow)) {
    return;
  }
  bool isPreVote =
    aMessage.mKind == raft_message_kind::PreVote ||
    (aMessage.mKind == raft_message_kind::PreVoteReply && !aMessage.mIsRefused);
  if (aMessage.mTerm > mHardState.mTerm && !isPreVote) {
    bool isLeaders = aMessage.mKind == raft_message_kind::Append ||
                     aMessage.mKind == raft_message_kind::Snapshot;
    BecomeFollower(
      aMessage.mTerm, isLeaders ? aMessage.mFrom : raft_peer_id{}, aNow);
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
