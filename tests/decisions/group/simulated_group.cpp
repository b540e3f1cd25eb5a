#include "tests/decisions/group/simulated_group.h"

#include <algorithm>
#include <utility>

namespace test {

namespace {

std::string
PeerName(const raft_peer_id& aPeer)
{
  return aPeer.mHost.mValue + "/" + aPeer.mDisk.mValue;
}

}

simulated_group::simulated_group(std::uint64_t aSeed,
                                 int aHosts,
                                 milliseconds aElection,
                                 bool aKnowsHosts)
  : mRandom(aSeed)
  , mKnowsHosts(aKnowsHosts)
  , mHeartbeatInterval(aElection / 5)
  , mElectionTimeout(aElection)
{
  std::vector<raft_peer> voters;
  for (int number = 0; number < aHosts; ++number) {
    simulated_member member;
    member.mId = { host_id{ "h" + std::to_string(number) },
                   disk_id{ "d" + std::to_string(number) } };
    voters.push_back({ member.mId, true });
    mMembers.push_back(std::move(member));
  }
  for (std::size_t position = 0; position < mMembers.size(); ++position) {
    Start(position);
  }
  mMembers[0].mNode->Bootstrap(voters, mNow);
  ProcessActions(0);
}

std::uint64_t
simulated_group::Pick(std::uint64_t aBound)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mRandom);
}

void
simulated_group::Start(std::size_t aPosition)
{
  simulated_member& member = mMembers[aPosition];
  raft_config config;
  config.mSelf = member.mId;
  config.mSeed = mRandom();
  config.mHeartbeatInterval = mHeartbeatInterval;
  config.mElectionTimeout = mElectionTimeout;
  config.mAllowsAnyHost = !mKnowsHosts;
  if (!mKnowsHosts) {
    config.mKnownHosts = mSeeds;
  }
  for (const simulated_member& other : mMembers) {
    if (mKnowsHosts) {
      config.mKnownHosts.insert(other.mId.mHost);
    }
  }
  auto node = raft_node::Create(config,
                                { member.mStorage.mHardState,
                                  member.mStorage.mSnapshot,
                                  member.mStorage.mEntries },
                                mNow);
  member.mNode = std::make_unique<raft_node>(std::move(node.value()));
  member.mNode->SetFailureDomains(mDomains);
  member.mApplied.clear();
  member.mAppliedIndex = member.mStorage.mSnapshot.mIndex;
}

void
simulated_group::Crash(std::size_t aPosition)
{
  mMembers[aPosition].mNode.reset();
  mMembers[aPosition].mIsFrozen = false;
}

std::size_t
simulated_group::AddHost(const std::string& aName)
{
  simulated_member member;
  member.mId = { host_id{ aName },
                 disk_id{ "d" + std::to_string(mNextDisk++) } };
  mMembers.push_back(std::move(member));
  return mMembers.size() - 1;
}

void
simulated_group::LoseDisk(std::size_t aPosition)
{
  simulated_member& member = mMembers[aPosition];
  member.mNode.reset();
  member.mStorage = {};
  member.mId.mDisk = disk_id{ "d" + std::to_string(mNextDisk++) };
}

bool
simulated_group::AllDisksVote()
{
  std::size_t leader = LeaderPosition();
  if (leader == mMembers.size()) {
    return false;
  }
  const auto& peers = mMembers[leader].mNode->Peers();
  return peers.size() == mMembers.size() &&
         std::all_of(peers.begin(), peers.end(), [&](const auto& aPeer) {
           return aPeer.mIsVoter &&
                  std::any_of(mMembers.begin(),
                              mMembers.end(),
                              [&](const simulated_member& aMember) {
                                return aMember.mId == aPeer.mId;
                              });
         });
}

void
simulated_group::Isolate(std::size_t aPosition)
{
  for (const simulated_member& other : mMembers) {
    mBlockedLinks.insert(
      { mMembers[aPosition].mId.mHost.mValue, other.mId.mHost.mValue });
    mBlockedLinks.insert(
      { other.mId.mHost.mValue, mMembers[aPosition].mId.mHost.mValue });
  }
}

void
simulated_group::BlockOneWay(std::size_t aFrom, std::size_t aTo)
{
  mBlockedLinks.insert(
    { mMembers[aFrom].mId.mHost.mValue, mMembers[aTo].mId.mHost.mValue });
}

bool
simulated_group::IsCutOff(std::size_t aPosition)
{
  return mMembers[aPosition].mNode->IsCutOff(mNow);
}

std::size_t
simulated_group::LeaderPosition()
{
  std::size_t best = mMembers.size();
  for (std::size_t position = 0; position < mMembers.size(); ++position) {
    const auto& node = mMembers[position].mNode;
    if (node == nullptr || node->Role() != raft_role::Leader) {
      continue;
    }
    if (best == mMembers.size() ||
        node->Term() > mMembers[best].mNode->Term()) {
      best = position;
    }
  }
  return best;
}

bool
simulated_group::Propose(std::size_t aPosition)
{
  if (mMembers[aPosition].mNode == nullptr) {
    return false;
  }
  auto proposed = mMembers[aPosition].mNode->Propose(
    "p" + std::to_string(mNextPayload++), mNow);
  ProcessActions(aPosition);
  return proposed.has_value();
}

void
simulated_group::Read(std::size_t aPosition)
{
  if (mMembers[aPosition].mNode == nullptr) {
    return;
  }
  std::uint64_t token = mNextToken++;
  mReads[token] = mCommitted.empty() ? 0 : mCommitted.rbegin()->first;
  mMembers[aPosition].mNode->RequestRead(token);
  ProcessActions(aPosition);
}

void
simulated_group::Compact(std::size_t aPosition)
{
  simulated_member& member = mMembers[aPosition];
  if (member.mNode == nullptr || member.mAppliedIndex < 20) {
    return;
  }
  member.mNode->Compact(member.mAppliedIndex - Pick(10), "state");
  member.mStorage.mSnapshot = member.mNode->Snapshot();
  std::erase_if(member.mStorage.mEntries, [&](const raft_entry& aEntry) {
    return aEntry.mIndex <= member.mStorage.mSnapshot.mIndex;
  });
}

void
simulated_group::Transfer(std::size_t aPosition)
{
  if (mMembers[aPosition].mNode != nullptr) {
    mMembers[aPosition].mNode->TransferLeadership({}, mNow);
    ProcessActions(aPosition);
  }
}

bool
simulated_group::IsFrozen(const host_id& aHost) const
{
  return std::any_of(
    mMembers.begin(), mMembers.end(), [&](const simulated_member& aMember) {
      return aMember.mIsFrozen && aMember.mId.mHost == aHost;
    });
}

void
simulated_group::RunStep()
{
  mNow += milliseconds(10);
  for (std::size_t position = 0; position < mMembers.size(); ++position) {
    simulated_member& member = mMembers[position];
    if (member.mNode != nullptr && !member.mIsFrozen) {
      member.mNode->Tick(mNow);
      ProcessActions(position);
    }
  }
  std::vector<in_flight_message> due;
  std::vector<in_flight_message> later;
  for (in_flight_message& inFlight : mInFlight) {
    bool isDue =
      inFlight.mDue <= mNow && !IsFrozen(inFlight.mMessage.mTo.mHost);
    (isDue ? due : later).push_back(std::move(inFlight));
  }
  mInFlight = std::move(later);
  std::shuffle(due.begin(), due.end(), mRandom);
  for (const in_flight_message& inFlight : due) {
    Deliver(inFlight.mMessage);
  }
}

void
simulated_group::RunFor(milliseconds aTime)
{
  for (milliseconds passed{ 0 }; passed < aTime; passed += milliseconds(10)) {
    RunStep();
  }
}

void
simulated_group::Deliver(const raft_message& aMessage, bool aIgnoresBlocks)
{
  for (std::size_t position = 0; position < mMembers.size(); ++position) {
    bool isTarget = mMembers[position].mId.mHost == aMessage.mTo.mHost &&
                    mMembers[position].mNode != nullptr;
    bool isBlocked = mBlockedLinks.contains(
      { aMessage.mFrom.mHost.mValue, aMessage.mTo.mHost.mValue });
    if (isTarget && (aIgnoresBlocks || !isBlocked)) {
      mMembers[position].mNode->Step(aMessage, mNow);
      ProcessActions(position);
    }
  }
}

void
simulated_group::ProcessActions(std::size_t aPosition)
{
  simulated_member& member = mMembers[aPosition];
  raft_actions actions = member.mNode->TakeActions();
  member.mStorage.Write(actions);
  if (actions.mInstallSnapshot) {
    member.mAppliedIndex = actions.mInstallSnapshot->mIndex;
  }
  for (raft_message& message : actions.mMessages) {
    Send(std::move(message));
  }
  for (const raft_entry& entry : actions.mCommitted) {
    Apply(member, entry);
  }
  for (const raft_confirmed_read& read : actions.mReads) {
    ++mConfirmedReads;
    if (read.mIndex < mReads[read.mToken]) {
      mViolation = "A confirmed read does not cover a committed entry.";
    }
  }
  CheckLeader(member);
  CheckLog(member);
}

void
simulated_group::Send(raft_message aMessage)
{
  if (mLosesMessages && Pick(20) == 0) {
    return;
  }
  steady_time due = mNow + milliseconds(Pick(30));
  if (mLosesMessages && Pick(50) == 0) {
    mInFlight.push_back({ due + milliseconds(Pick(3000)), aMessage });
  }
  mInFlight.push_back({ due, std::move(aMessage) });
}

void
simulated_group::Apply(simulated_member& aMember, const raft_entry& aEntry)
{
  if (aEntry.mIndex != aMember.mAppliedIndex + 1) {
    mViolation = "A member applied entries out of order.";
  }
  aMember.mAppliedIndex = aEntry.mIndex;
  auto [found, isNew] = mCommitted.emplace(aEntry.mIndex, aEntry);
  if (!isNew && found->second != aEntry) {
    mViolation = "Two members applied different entries at index " +
                 std::to_string(aEntry.mIndex) + ".";
  }
}

void
simulated_group::CheckLeader(const simulated_member& aMember)
{
  if (aMember.mNode->Role() != raft_role::Leader) {
    return;
  }
  auto [found, isNew] =
    mLeaders.emplace(aMember.mNode->Term(), PeerName(aMember.mId));
  if (!isNew && found->second != PeerName(aMember.mId)) {
    mViolation = "Two members are leaders in one term.";
  }
  if (!isNew) {
    return;
  }
  for (const auto& [index, entry] : mCommitted) {
    bool isInLog = index > aMember.mNode->Snapshot().mIndex;
    if (!isInLog) {
      continue;
    }
    std::size_t position = index - aMember.mNode->Snapshot().mIndex - 1;
    if (position >= aMember.mNode->Log().size() ||
        aMember.mNode->Log()[position] != entry) {
      mViolation =
        "A new leader lacks committed entry " + std::to_string(index) + ".";
    }
  }
}

void
simulated_group::CheckLog(const simulated_member& aMember)
{
  // The storage must hold exactly the member's log.
  const auto& log = aMember.mNode->Log();
  const auto& stored = aMember.mStorage.mEntries;
  bool isSame = stored.size() == log.size() &&
                (log.empty() || (stored.back() == log.back() &&
                                 stored.front() == log.front()));
  if (!isSame) {
    mViolation = "The storage of " + PeerName(aMember.mId) +
                 " differs from the member's log.";
  }
}

std::size_t
CommitSome(simulated_group& aGroup, int aCount)
{
  for (int count = 0; count < aCount; ++count) {
    aGroup.Propose(aGroup.LeaderPosition());
  }
  aGroup.RunFor(milliseconds(500));
  return aGroup.CommittedCount();
}

}
