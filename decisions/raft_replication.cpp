#include "decisions/raft_node.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

constexpr std::size_t kMostEntriesInAppend = 256;
constexpr std::size_t kMostBytesInAppend = 1U << 20U;
constexpr milliseconds kSnapshotResend{ 2000 };
/** Entries to a peer that lacks some are sent again after so long. */
constexpr milliseconds kFlightResend{ 1000 };

}

raft_node::progress
raft_node::MakeProgress(steady_time aNow) const
{
  progress fresh;
  fresh.mNext = LastIndex() + 1;
  fresh.mLastContact = aNow;
  return fresh;
}

bool
raft_node::IsInFlight(const progress& aState, steady_time aNow)
{
  return aState.mIsProbing && aState.mFlightEnd != 0 &&
         aNow - aState.mFlightSentAt < kFlightResend;
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
  bool waits = IsInFlight(state, aNow) && state.mMatch >= mSnapshot.mIndex;
  // While entries are on their way, heartbeats name only what surely matches.
  append.mIndex = waits ? state.mMatch : state.mNext - 1;
  append.mLogTerm = TermAt(append.mIndex).value_or(0);
  append.mCommit = mCommit;
  append.mNumber = mRound;
  std::size_t bytes = 0;
  while (!waits && state.mNext <= LastIndex() &&
         append.mEntries.size() < kMostEntriesInAppend &&
         bytes < kMostBytesInAppend) {
    append.mEntries.push_back(EntryAt(state.mNext));
    bytes += append.mEntries.back().mPayload.size();
    // The entries are taken as received; a refusal turns this back.
    ++state.mNext;
  }
  if (state.mIsProbing && !append.mEntries.empty()) {
    state.mFlightBefore = append.mIndex;
    state.mFlightEnd = append.mEntries.back().mIndex;
    state.mFlightSentAt = aNow;
  }
  Send(std::move(append));
}

void
raft_node::OnAppendRefused(const raft_message& aMessage,
                           progress& aState,
                           steady_time aNow)
{
  // A refusal of an earlier message says nothing new: without this check each
  // of them would send the same entries again.
  bool isOld =
    IsInFlight(aState, aNow) && aMessage.mIndex >= aState.mFlightBefore;
  if (isOld) {
    return;
  }
  aState.mIsProbing = true;
  aState.mFlightEnd = 0;
  aState.mNext = std::max(aState.mMatch, aMessage.mIndex) + 1;
  SendAppend(aMessage.mFrom, aNow);
}

void
raft_node::SendSnapshot(const raft_peer_id& aPeer, steady_time aNow)
{
  progress& state = mProgress[aPeer];
  bool sentLately = state.mSnapshotSentAt != steady_time{} &&
                    aNow - state.mSnapshotSentAt < kSnapshotResend;
  if (sentLately) {
    return;
  }
  state.mSnapshotSentAt = aNow;
  raft_message install;
  install.mKind = raft_message_kind::Snapshot;
  install.mTo = aPeer;
  install.mTerm = mHardState.mTerm;
  install.mSnapshot = mSnapshot;
  install.mCommit = mCommit;
  install.mNumber = mRound;
  Send(std::move(install));
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
  log_index agreed = matches[Quorum() - 1];
  // Only an entry of the leader's own term is committed by counting.
  if (agreed > mCommit && TermAt(agreed) == mHardState.mTerm) {
    mCommit = agreed;
    mTellsCommit = true;
    ConfirmReads();
  }
}

void
raft_node::HearLeader(const raft_message& aMessage, steady_time aNow)
{
  if (mRole != raft_role::Follower || mLeader != aMessage.mFrom) {
    BecomeFollower(aMessage.mTerm, aMessage.mFrom, aNow);
  }
  mLeaderSeenAt = aNow;
  SetElectionDue(mConfig.mElectionTimeout, aNow);
}

void
raft_node::OnAppend(const raft_message& aMessage, steady_time aNow)
{
  HearLeader(aMessage, aNow);
  raft_message answer;
  answer.mKind = raft_message_kind::AppendReply;
  answer.mNumber = aMessage.mNumber;
  bool isBeforeSnapshot = aMessage.mIndex < mSnapshot.mIndex;
  bool fits = isBeforeSnapshot || TermAt(aMessage.mIndex) == aMessage.mLogTerm;
  if (!fits) {
    answer.mIsRefused = true;
    answer.mIndex = std::min(aMessage.mIndex - 1, LastIndex());
    Reply(aMessage, std::move(answer));
    return;
  }
  StoreEntries(aMessage);
  log_index lastNew =
    std::max(aMessage.mIndex + aMessage.mEntries.size(), mSnapshot.mIndex);
  mCommit = std::max(mCommit, std::min(aMessage.mCommit, lastNew));
  answer.mIndex = lastNew;
  Reply(aMessage, std::move(answer));
}

void
raft_node::StoreEntries(const raft_message& aMessage)
{
  bool peersChange = false;
  for (const raft_entry& entry : aMessage.mEntries) {
    if (entry.mIndex <= mSnapshot.mIndex ||
        TermAt(entry.mIndex) == entry.mTerm) {
      continue;
    }
    while (LastIndex() >= entry.mIndex) {
      peersChange = peersChange || mLog.back().mPeers.has_value();
      mLog.pop_back();
    }
    mLog.push_back(entry);
    peersChange = peersChange || entry.mPeers.has_value();
    bool isFirst = mPersistFrom == 0 || entry.mIndex < mPersistFrom;
    mPersistFrom = isFirst ? entry.mIndex : mPersistFrom;
  }
  if (peersChange) {
    FindPeers();
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
  state.mLastContact = aNow;
  state.mRound = std::max(state.mRound, aMessage.mNumber);
  ConfirmReads();
  if (aMessage.mIsRefused) {
    OnAppendRefused(aMessage, state, aNow);
    return;
  }
  state.mMatch = std::max(state.mMatch, aMessage.mIndex);
  state.mNext = std::max(state.mNext, state.mMatch + 1);
  if (state.mIsProbing && state.mMatch >= state.mFlightEnd) {
    state.mIsProbing = false;
    state.mFlightEnd = 0;
  }
  AdvanceCommit();
  if (state.mNext <= LastIndex() && !IsInFlight(state, aNow)) {
    SendAppend(aMessage.mFrom, aNow);
  }
}

void
raft_node::OnSnapshot(const raft_message& aMessage, steady_time aNow)
{
  HearLeader(aMessage, aNow);
  const raft_snapshot& offered = *aMessage.mSnapshot;
  if (offered.mIndex > mCommit) {
    bool keepsTail = TermAt(offered.mIndex) == offered.mTerm;
    if (keepsTail) {
      while (!mLog.empty() && mLog.front().mIndex <= offered.mIndex) {
        mLog.pop_front();
      }
    } else {
      mLog.clear();
    }
    mSnapshot = offered;
    mCommit = offered.mIndex;
    mHandedOver = offered.mIndex;
    mActions.mCommitted.clear();
    mActions.mInstallSnapshot = offered;
    // The tail is written again, so that the disk holds one run of entries.
    mPersistFrom = FirstIndex();
    FindPeers();
  }
  raft_message answer;
  answer.mKind = raft_message_kind::AppendReply;
  answer.mIndex = std::max(mCommit, offered.mIndex);
  answer.mNumber = aMessage.mNumber;
  Reply(aMessage, std::move(answer));
}

}
