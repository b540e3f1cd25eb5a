#include "decisions/raft_node.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** A learner this close to the end of the log has caught up. */
constexpr log_index kCaughtUpEntries = 64;
/** Voters beyond these would only make commits slower. */
constexpr std::size_t kMostVoters = 9;

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
  std::set<host_id> heard{ mConfig.mSelf.mHost };
  for (const auto& [peer, state] : mProgress) {
    if (aNow - state.mLastContact < mConfig.mElectionTimeout) {
      heard.insert(peer.mHost);
    }
  }
  return heard;
}

bool
raft_node::CanChangePeers() const
{
  return mRole == raft_role::Leader && HasCommittedInTerm() &&
         mPeersIndex <= mCommit;
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
  bool isKnown = mConfig.mAllowsAnyHost ||
                 mConfig.mKnownHosts.contains(aMessage.mFrom.mHost);
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
                    aNow - state.mLastContact < mConfig.mElectionTimeout;
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
  if (!mConfig.mAllowsAnyHost || voters % 2 != 0 || voters < 4) {
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

}
