#include "decisions/raft_node.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

constexpr std::size_t kMostEntriesInAppend = 256;
constexpr std::size_t kMostBytesInAppend = 1U << 20U;
/** A learner this close to the end of the log has caught up. */
constexpr log_index kCaughtUpEntries = 64;
constexpr milliseconds kSnapshotResend{ 2000 };
constexpr milliseconds kJoinInterval{ 1000 };
/** Entries to a peer that lacks some are sent again after so long. */
constexpr milliseconds kFlightResend{ 1000 };
/** Voters beyond these would only make commits slower. */
constexpr std::size_t kMostVoters = 9;

}

result<raft_node, raft_error>
raft_node::Create(raft_config aConfig,
                  raft_persisted aPersisted,
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
                     raft_persisted aPersisted,
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
  , mLeaderSeenAt(aNow - 2 * mConfig.mElection)
{
  FindPeers();
  // After a start nobody may lead. A pre-vote disturbs no leader, so that it
  // can be asked for soon; the spread keeps members from asking together.
  std::uniform_int_distribution<std::int64_t> spread(
    0, mConfig.mElection.count() / 4);
  mElectionDue = aNow + mConfig.mElection / 4 + milliseconds(spread(mRandom));
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
  return !mLeader.mHost.IsEmpty() && aNow - mLeaderSeenAt < mConfig.mElection;
}

std::set<host_id>
raft_node::HeardHosts(steady_time aNow) const
{
  std::set<host_id> heard{ mConfig.mSelf.mHost };
  for (const auto& [peer, state] : mProgress) {
    if (aNow - state.mLastContact < mConfig.mElection) {
      heard.insert(peer.mHost);
    }
  }
  return heard;
}

bool
raft_node::HasCommittedInTerm() const
{
  return TermAt(mCommit).value_or(0) == mHardState.mTerm;
}

bool
raft_node::CanChangePeers() const
{
  return mRole == raft_role::Leader && HasCommittedInTerm() &&
         mPeersIndex <= mCommit;
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
raft_node::SetElectionDue(steady_time aNow)
{
  std::uniform_int_distribution<std::int64_t> spread(0,
                                                     mConfig.mElection.count());
  mElectionDue = aNow + mConfig.mElection + milliseconds(spread(mRandom));
}

void
raft_node::SetRetryDue(steady_time aNow)
{
  // Nobody is known to lead, so that asking early disturbs no leader. The
  // spread is wide against a round of votes, which keeps tries apart.
  std::uniform_int_distribution<std::int64_t> spread(
    0, mConfig.mElection.count() / 2);
  mElectionDue = aNow + mConfig.mElection / 3 + milliseconds(spread(mRandom));
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
raft_node::BecomeFollower(raft_term aTerm,
                          const raft_peer_id& aLeader,
                          steady_time aNow)
{
  SetTerm(aTerm);
  mRole = raft_role::Follower;
  mLeader = aLeader;
  mGrants.clear();
  mPendingReads.clear();
  SetElectionDue(aNow);
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
    vote.mIsTransfer = aIsTransfer;
    Send(std::move(vote));
  }
}

void
raft_node::BecomeLeader(steady_time aNow)
{
  mRole = raft_role::Leader;
  mLeader = mConfig.mSelf;
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
raft_node::FindPeers()
{
  for (auto entry = mLog.rbegin(); entry != mLog.rend(); ++entry) {
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
  AppendOwn(std::move(first));
  StartPreVote(aNow);
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
    Broadcast(mHeartbeatDue - mConfig.mHeartbeat);
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
  mHeartbeatDue = aNow + mConfig.mHeartbeat;
  std::size_t heard = 0;
  for (const raft_peer& peer : mPeers) {
    bool isSelf = peer.mId == mConfig.mSelf;
    bool isFresh =
      isSelf || aNow - mProgress[peer.mId].mLastContact < mConfig.mElection;
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
    SetElectionDue(aNow);
    return;
  }
  StartPreVote(aNow);
}

void
raft_node::AskToJoin(steady_time aNow)
{
  mJoinDue = aNow + kJoinInterval;
  for (const host_id& host : mConfig.mKnownHosts) {
    if (host == mConfig.mSelf.mHost) {
      continue;
    }
    raft_message join;
    join.mKind = raft_message_kind::Join;
    join.mTo = { host, {} };
    Send(std::move(join));
  }
}

void
raft_node::OnJoin(const raft_message& aMessage, steady_time aNow)
{
  bool isKnown =
    mConfig.mIsOpen || mConfig.mKnownHosts.contains(aMessage.mFrom.mHost);
  if (isKnown && mRole != raft_role::Leader) {
    PassJoinOn(aMessage);
    return;
  }
  if (!CanChangePeers() || !isKnown) {
    return;
  }
  std::vector<raft_peer> peers = mPeers;
  for (const raft_peer& peer : peers) {
    if (peer.mId == aMessage.mFrom) {
      return;
    }
  }
  // A learner that came back with yet another disk never held a vote.
  std::erase_if(peers, [&](const raft_peer& aPeer) {
    return !aPeer.mIsVoter && aPeer.mId.mHost == aMessage.mFrom.mHost;
  });
  peers.push_back({ aMessage.mFrom, false });
  ChangePeers(std::move(peers), aNow);
}

void
raft_node::PassJoinOn(const raft_message& aMessage)
{
  // A newcomer may know none of the hosts that can lead. One step is enough,
  // and two members that take each other for the leader don't go on forever.
  bool wasPassedOn = aMessage.mNumber != 0;
  if (wasPassedOn || mLeader.mHost.IsEmpty()) {
    return;
  }
  raft_message passed = aMessage;
  passed.mTo = mLeader;
  passed.mNumber = 1;
  mActions.mMessages.push_back(std::move(passed));
}

void
raft_node::ChangePeers(std::vector<raft_peer> aPeers, steady_time aNow)
{
  raft_entry entry;
  entry.mPeers = std::move(aPeers);
  AppendOwn(std::move(entry));
  for (const raft_peer& peer : mPeers) {
    if (!mProgress.contains(peer.mId)) {
      mProgress[peer.mId] = MakeProgress(aNow);
    }
  }
  Broadcast(aNow);
  AdvanceCommit();
}

void
raft_node::TendPeers(steady_time aNow)
{
  if (!CanChangePeers()) {
    return;
  }
  if (!PromoteLearner(aNow) && !RemoveReplaced(aNow)) {
    RemoveSilent(aNow);
  }
}

bool
raft_node::PromoteLearner(steady_time aNow)
{
  std::vector<raft_peer> peers = mPeers;
  for (raft_peer& peer : peers) {
    const progress& state = mProgress[peer.mId];
    bool caughtUp = state.mMatch > 0 &&
                    state.mMatch + kCaughtUpEntries >= LastIndex() &&
                    aNow - state.mLastContact < mConfig.mElection;
    if (peer.mIsVoter || !caughtUp) {
      continue;
    }
    raft_peer promoted = peer;
    promoted.mIsVoter = true;
    // The disk that this host had before takes part in nothing any more: it
    // goes with the same entry, so that its loss is never counted twice. Safe
    // since the learner's own entry was committed without that disk.
    auto replaced =
      std::find_if(peers.begin(), peers.end(), [&](const raft_peer& aPeer) {
        return aPeer.mIsVoter && aPeer.mId.mHost == promoted.mId.mHost &&
               aPeer.mId != mConfig.mSelf;
      });
    if (replaced == peers.end() && VoterCount() >= kMostVoters) {
      continue;
    }
    peer = promoted;
    if (replaced != peers.end()) {
      peers.erase(replaced);
    }
    ChangePeers(std::move(peers), aNow);
    return true;
  }
  return false;
}

bool
raft_node::RemoveReplaced(steady_time aNow)
{
  // The later of two voters on one host holds the disk that is in use, since
  // it stands after the one that it replaces.
  std::vector<raft_peer> peers = mPeers;
  for (std::size_t place = 0; place < peers.size(); ++place) {
    auto later = std::find_if(
      peers.begin() + static_cast<std::ptrdiff_t>(place) + 1,
      peers.end(),
      [&](const raft_peer& aPeer) {
        return aPeer.mIsVoter && aPeer.mId.mHost == peers[place].mId.mHost;
      });
    bool isSelf = peers[place].mId == mConfig.mSelf;
    if (later != peers.end() && !isSelf) {
      peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(place));
      ChangePeers(std::move(peers), aNow);
      return true;
    }
  }
  return false;
}

bool
raft_node::RemoveSilent(steady_time aNow)
{
  std::vector<raft_peer> peers = mPeers;
  std::size_t voters = VoterCount();
  // An even number of voters bears no more losses than one fewer does, so
  // that a silent one costs nothing to leave out.
  if (!mConfig.mIsOpen || voters % 2 != 0 || voters < 4) {
    return false;
  }
  auto silent =
    std::find_if(peers.begin(), peers.end(), [&](const raft_peer& aPeer) {
      return aPeer.mIsVoter && aPeer.mId != mConfig.mSelf &&
             aNow - mProgress[aPeer.mId].mLastContact > mConfig.mGiveWay;
    });
  if (silent == peers.end()) {
    return false;
  }
  peers.erase(silent);
  ChangePeers(std::move(peers), aNow);
  return true;
}

std::vector<raft_peer>
raft_node::CommittedPeers() const
{
  if (mPeersIndex <= mCommit) {
    return mPeers;
  }
  for (auto entry = mLog.rbegin(); entry != mLog.rend(); ++entry) {
    if (entry->mPeers && entry->mIndex <= mCommit) {
      return *entry->mPeers;
    }
  }
  return mSnapshot.mPeers;
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
    bool isFresh = aNow - mProgress[peer.mId].mLastContact < mConfig.mElection;
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
  if (isVote && !aMessage.mIsTransfer && HearsLeader(aNow)) {
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
    SetElectionDue(aNow);
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

void
raft_node::OnAppend(const raft_message& aMessage, steady_time aNow)
{
  if (mRole != raft_role::Follower || mLeader != aMessage.mFrom) {
    BecomeFollower(aMessage.mTerm, aMessage.mFrom, aNow);
  }
  mLeaderSeenAt = aNow;
  SetElectionDue(aNow);
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
  if (mRole != raft_role::Follower || mLeader != aMessage.mFrom) {
    BecomeFollower(aMessage.mTerm, aMessage.mFrom, aNow);
  }
  mLeaderSeenAt = aNow;
  SetElectionDue(aNow);
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
    mActions.mInstall = offered;
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
