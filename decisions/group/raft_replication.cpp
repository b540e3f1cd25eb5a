#include "decisions/group/raft_node.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

constexpr std::size_t kMaxEntriesPerAppend = 256;
constexpr std::size_t kMaxBytesPerAppend = 1U << 20U;
constexpr milliseconds kSnapshotResendInterval{ 2000 };
/** Time after which entries to a probed peer are sent again. */
constexpr milliseconds kEntriesResendInterval{ 1000 };

}

raft_node::progress
raft_node::MakeProgress(steady_time aNow) const
{
  progress initial;
  initial.mNext = LastIndex() + 1;
  initial.mLastContact = aNow;
  return initial;
}

bool
raft_node::IsInFlight(const progress& aState, steady_time aNow)
{
  return aState.mIsProbing && aState.mInFlightLast != 0 &&
         aNow - aState.mInFlightSentAt < kEntriesResendInterval;
}

void
raft_node::SendAppend(const raft_peer_id& aPeer, steady_time aNow)
{
  progress& state = mProgress[aPeer];
  if (state.mNext <= mSnapshot.mIndex) {
    SendSnapshot(aPeer, aNow);
    return;
  }
  raft_message append;
  append.mKind = raft_message_kind::Append;
  append.mTo = aPeer;
  append.mTerm = mHardState.mTerm;
  bool isWaiting = IsInFlight(state, aNow) && state.mMatch >= mSnapshot.mIndex;
  // While entries are in flight, heartbeats refer to the known match only.
  append.mIndex = isWaiting ? state.mMatch : state.mNext - 1;
  append.mLogTerm = TermAt(append.mIndex).value_or(0);
  append.mCommit = mCommit;
  append.mNumber = mRound;
  std::size_t bytes = 0;
  while (!isWaiting && state.mNext <= LastIndex() &&
         append.mEntries.size() < kMaxEntriesPerAppend &&
         bytes < kMaxBytesPerAppend) {
    append.mEntries.push_back(EntryAt(state.mNext));
    bytes += append.mEntries.back().mPayload.size();
    // Assumes that the entries arrive; a refusal resets the next index.
    ++state.mNext;
  }
  if (state.mIsProbing && !append.mEntries.empty()) {
    state.mInFlightPrevious = append.mIndex;
    state.mInFlightLast = append.mEntries.back().mIndex;
    state.mInFlightSentAt = aNow;
  }
  Send(std::move(append));
}

void
raft_node::OnAppendRefused(const raft_message& aMessage,
                           progress& aState,
                           steady_time aNow)
{
  // Refusals of messages sent before the probe add no information; without this
  // check, the same entries would be sent again for each of them.
  bool isOutdated =
    IsInFlight(aState, aNow) && aMessage.mIndex >= aState.mInFlightPrevious;
  if (isOutdated) {
    return;
  }
  aState.mIsProbing = true;
  aState.mInFlightLast = 0;
  aState.mNext = std::max(aState.mMatch, aMessage.mIndex) + 1;
  SendAppend(aMessage.mFrom, aNow);
}

void
raft_node::SendSnapshot(const raft_peer_id& aPeer, steady_time aNow)
{
  progress& state = mProgress[aPeer];
  bool wasSentRecently = state.mSnapshotSentAt != steady_time{} &&
                         aNow - state.mSnapshotSentAt < kSnapshotResendInterval;
  if (wasSentRecently) {
    return;
  }
  state.mSnapshotSentAt = aNow;
  raft_message snapshot;
  snapshot.mKind = raft_message_kind::Snapshot;
  snapshot.mTo = aPeer;
  snapshot.mTerm = mHardState.mTerm;
  snapshot.mSnapshot = mSnapshot;
  snapshot.mCommit = mCommit;
  snapshot.mNumber = mRound;
  Send(std::move(snapshot));
}

void
raft_node::Broadcast(steady_time aNow)
{
  for (const raft_peer& peer : mPeers) {
    if (peer.mId != mConfig.mSelf) {
      SendAppend(peer.mId, aNow);
    }
  }
}

void
raft_node::AdvanceCommit()
{
  std::vector<log_index> matches;
  for (const raft_peer& peer : mPeers) {
    if (!peer.mIsVoter) {
      continue;
    }
    bool isSelf = peer.mId == mConfig.mSelf;
    matches.push_back(isSelf ? LastIndex() : mProgress[peer.mId].mMatch);
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  log_index majorityMatch = matches[Quorum() - 1];
  // Only entries of the leader's own term are committed by counting replicas.
  if (majorityMatch > mCommit && TermAt(majorityMatch) == mHardState.mTerm) {
    mCommit = majorityMatch;
    mBroadcastsCommit = true;
    ConfirmReads();
  }
}

void
raft_node::OnLeaderMessage(const raft_message& aMessage, steady_time aNow)
{
  if (mRole != raft_role::Follower || mLeader != aMessage.mFrom) {
    BecomeFollower(aMessage.mTerm, aMessage.mFrom, aNow);
  }
  mLastLeader = aMessage.mFrom;
  mLeaderContactAt = aNow;
  mHeardRound = aMessage.mNumber;
  SetElectionDue(mConfig.mElectionTimeout, aNow);
}

void
raft_node::OnAppend(const raft_message& aMessage, steady_time aNow)
{
  OnLeaderMessage(aMessage, aNow);
  raft_message reply;
  reply.mKind = raft_message_kind::AppendReply;
  reply.mNumber = aMessage.mNumber;
  bool isBeforeSnapshot = aMessage.mIndex < mSnapshot.mIndex;
  bool isMatching =
    isBeforeSnapshot || TermAt(aMessage.mIndex) == aMessage.mLogTerm;
  if (!isMatching) {
    reply.mIsRefused = true;
    reply.mIndex = std::min(aMessage.mIndex - 1, LastIndex());
    Reply(aMessage, std::move(reply));
    return;
  }
  StoreEntries(aMessage);
  log_index lastNew =
    std::max(aMessage.mIndex + aMessage.mEntries.size(), mSnapshot.mIndex);
  mCommit = std::max(mCommit, std::min(aMessage.mCommit, lastNew));
  reply.mIndex = lastNew;
  Reply(aMessage, std::move(reply));
}

void
raft_node::StoreEntries(const raft_message& aMessage)
{
  bool hasNewPeers = false;
  for (const raft_entry& entry : aMessage.mEntries) {
    if (entry.mIndex <= mSnapshot.mIndex ||
        TermAt(entry.mIndex) == entry.mTerm) {
      continue;
    }
    while (LastIndex() >= entry.mIndex) {
      hasNewPeers = hasNewPeers || mLog.Entries().back().mPeers.has_value();
      mLog.DropLast();
    }
    mLog.Append(entry);
    hasNewPeers = hasNewPeers || entry.mPeers.has_value();
    bool isFirst = mFirstUnpersisted == 0 || entry.mIndex < mFirstUnpersisted;
    mFirstUnpersisted = isFirst ? entry.mIndex : mFirstUnpersisted;
  }
  if (hasNewPeers) {
    UpdatePeers();
  }
}

void
raft_node::OnAppendReply(const raft_message& aMessage, steady_time aNow)
{
  auto found = mProgress.find(aMessage.mFrom);
  if (mRole != raft_role::Leader || found == mProgress.end()) {
    return;
  }
  progress& state = found->second;
  // A late copy of an earlier reply doesn't show that the peer still runs.
  if (!state.mHasReplied || aMessage.mNumber > state.mRound) {
    state.mHasReplied = true;
    state.mLastContact = aNow;
    state.mRound = aMessage.mNumber;
  }
  ConfirmReads();
  if (aMessage.mIsRefused) {
    OnAppendRefused(aMessage, state, aNow);
    return;
  }
  state.mMatch = std::max(state.mMatch, aMessage.mIndex);
  state.mNext = std::max(state.mNext, state.mMatch + 1);
  if (state.mIsProbing && state.mMatch >= state.mInFlightLast) {
    state.mIsProbing = false;
    state.mInFlightLast = 0;
  }
  bool wasChanging = mPeersIndex > mCommit;
  AdvanceCommit();
  if (state.mNext <= LastIndex() && !IsInFlight(state, aNow)) {
    SendAppend(aMessage.mFrom, aNow);
  }
  if (wasChanging && mPeersIndex <= mCommit) {
    // The next change need not wait for a heartbeat.
    ManagePeers(aNow);
  }
}

void
raft_node::OnSnapshot(const raft_message& aMessage, steady_time aNow)
{
  OnLeaderMessage(aMessage, aNow);
  const raft_snapshot& received = *aMessage.mSnapshot;
  if (received.mIndex > mCommit) {
    bool keepsLaterEntries = TermAt(received.mIndex) == received.mTerm;
    if (keepsLaterEntries) {
      while (!mLog.IsEmpty() &&
             mLog.Entries().front().mIndex <= received.mIndex) {
        mLog.DropFirst();
      }
    } else {
      mLog.Clear();
    }
    mSnapshot = received;
    mCommit = received.mIndex;
    mDeliveredIndex = received.mIndex;
    mActions.mCommitted.clear();
    mActions.mInstallSnapshot = received;
    // Rewrites the remaining entries, so that the stored ones have no gaps.
    mFirstUnpersisted = FirstIndex();
    UpdatePeers();
  }
  raft_message reply;
  reply.mKind = raft_message_kind::AppendReply;
  reply.mIndex = std::max(mCommit, received.mIndex);
  reply.mNumber = aMessage.mNumber;
  Reply(aMessage, std::move(reply));
}

}
