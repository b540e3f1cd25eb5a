#include "decisions/raft_node.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

constexpr int kSeeds = 50;
constexpr int kStepsForEachSeed = 10'000;
constexpr int kHosts = 3;

std::string
PeerName(const raft_peer_id& aPeer)
{
  return aPeer.mHost.mValue + "/" + aPeer.mDisk.mValue;
}

/** A disk that keeps what was synced through crashes. */
struct test_disk
{
  raft_hard_state mHardState;
  raft_snapshot mSnapshot;
  std::vector<raft_entry> mEntries;

  void Write(const raft_actions& aActions)
  {
    if (aActions.mInstallSnapshot) {
      mSnapshot = *aActions.mInstallSnapshot;
      mEntries.clear();
    }
    if (aActions.mHardState) {
      mHardState = *aActions.mHardState;
    }
    if (aActions.mAppend.empty()) {
      return;
    }
    log_index first = aActions.mAppend.front().mIndex;
    std::erase_if(mEntries, [&](const raft_entry& aEntry) {
      return aEntry.mIndex >= first || aEntry.mIndex <= mSnapshot.mIndex;
    });
    mEntries.insert(
      mEntries.end(), aActions.mAppend.begin(), aActions.mAppend.end());
  }
};

struct test_member
{
  raft_peer_id mId;
  test_disk mDisk;
  std::unique_ptr<raft_node> mNode;
  std::vector<raft_entry> mApplied;
  log_index mAppliedIndex = 0;
};

struct flying_message
{
  steady_time mDue;
  raft_message mMessage;
};

/**
 * Members under a seeded scheduler of messages, crashes, lost disks and
 * partitions, with the invariants checked after each step.
 */
class test_group
{
  std::mt19937_64 mRandom;
  steady_time mNow{ std::chrono::hours(1) };
  std::vector<test_member> mMembers;
  std::vector<flying_message> mFlying;
  std::set<std::pair<std::string, std::string>> mCut;
  /** The entry that was committed at each index, by whoever came first. */
  std::map<log_index, raft_entry> mCommitted;
  std::map<raft_term, std::string> mLeaders;
  std::map<std::uint64_t, log_index> mReads;
  std::uint64_t mNextToken = 1;
  int mNextDisk = 100;
  int mNextPayload = 0;
  std::string mBroken;

public:
  bool mLosesMessages = true;
  int mConfirmedReads = 0;
  milliseconds mHeartbeatInterval{ 100 };
  milliseconds mElectionTimeout{ 1000 };

  explicit test_group(std::uint64_t aSeed,
                      int aHosts = kHosts,
                      milliseconds aElection = milliseconds(1000))
    : mRandom(aSeed)
    , mHeartbeatInterval(aElection / 5)
    , mElectionTimeout(aElection)
  {
    std::vector<raft_peer> voters;
    for (int number = 0; number < aHosts; ++number) {
      test_member member;
      member.mId = { host_id{ "h" + std::to_string(number) },
                     disk_id{ "d" + std::to_string(number) } };
      voters.push_back({ member.mId, true });
      mMembers.push_back(std::move(member));
    }
    for (std::size_t place = 0; place < mMembers.size(); ++place) {
      Start(place);
    }
    mMembers[0].mNode->Bootstrap(voters, mNow);
    Drain(0);
  }

  std::uint64_t Pick(std::uint64_t aMost)
  {
    return std::uniform_int_distribution<std::uint64_t>(0, aMost - 1)(mRandom);
  }

  [[nodiscard]] const std::string& Broken() const { return mBroken; }
  [[nodiscard]] std::size_t CommittedCount() const { return mCommitted.size(); }
  test_member& Member(std::size_t aPlace) { return mMembers[aPlace]; }
  [[nodiscard]] std::size_t Count() const { return mMembers.size(); }

  void Start(std::size_t aPlace)
  {
    test_member& member = mMembers[aPlace];
    raft_config config;
    config.mSelf = member.mId;
    config.mSeed = mRandom();
    config.mHeartbeatInterval = mHeartbeatInterval;
    config.mElectionTimeout = mElectionTimeout;
    for (const test_member& other : mMembers) {
      config.mKnownHosts.insert(other.mId.mHost);
    }
    auto node = raft_node::Create(config,
                                  { member.mDisk.mHardState,
                                    member.mDisk.mSnapshot,
                                    member.mDisk.mEntries },
                                  mNow);
    member.mNode = std::make_unique<raft_node>(std::move(node.value()));
    member.mApplied.clear();
    member.mAppliedIndex = member.mDisk.mSnapshot.mIndex;
  }

  void Crash(std::size_t aPlace) { mMembers[aPlace].mNode.reset(); }

  void LoseDisk(std::size_t aPlace)
  {
    test_member& member = mMembers[aPlace];
    member.mNode.reset();
    member.mDisk = {};
    member.mId.mDisk = disk_id{ "d" + std::to_string(mNextDisk++) };
  }

  /** True when each host votes with the disk that it has now. */
  bool IsWhole()
  {
    std::size_t leader = LeaderPlace();
    if (leader == mMembers.size()) {
      return false;
    }
    const auto& peers = mMembers[leader].mNode->Peers();
    return peers.size() == mMembers.size() &&
           std::all_of(peers.begin(), peers.end(), [&](const auto& aPeer) {
             return aPeer.mIsVoter &&
                    std::any_of(mMembers.begin(),
                                mMembers.end(),
                                [&](const test_member& aMember) {
                                  return aMember.mId == aPeer.mId;
                                });
           });
  }

  void Isolate(std::size_t aPlace)
  {
    for (const test_member& other : mMembers) {
      mCut.insert(
        { mMembers[aPlace].mId.mHost.mValue, other.mId.mHost.mValue });
      mCut.insert(
        { other.mId.mHost.mValue, mMembers[aPlace].mId.mHost.mValue });
    }
  }

  void CutOneWay(std::size_t aFrom, std::size_t aTo)
  {
    mCut.insert(
      { mMembers[aFrom].mId.mHost.mValue, mMembers[aTo].mId.mHost.mValue });
  }

  void Heal() { mCut.clear(); }

  std::size_t LeaderPlace()
  {
    std::size_t best = mMembers.size();
    for (std::size_t place = 0; place < mMembers.size(); ++place) {
      const auto& node = mMembers[place].mNode;
      if (node == nullptr || node->Role() != raft_role::Leader) {
        continue;
      }
      if (best == mMembers.size() ||
          node->Term() > mMembers[best].mNode->Term()) {
        best = place;
      }
    }
    return best;
  }

  bool Propose(std::size_t aPlace)
  {
    if (mMembers[aPlace].mNode == nullptr) {
      return false;
    }
    auto position = mMembers[aPlace].mNode->Propose(
      "p" + std::to_string(mNextPayload++), mNow);
    Drain(aPlace);
    return position.has_value();
  }

  void Read(std::size_t aPlace)
  {
    if (mMembers[aPlace].mNode == nullptr) {
      return;
    }
    std::uint64_t token = mNextToken++;
    mReads[token] = mCommitted.empty() ? 0 : mCommitted.rbegin()->first;
    mMembers[aPlace].mNode->RequestRead(token);
    Drain(aPlace);
  }

  void Compact(std::size_t aPlace)
  {
    test_member& member = mMembers[aPlace];
    if (member.mNode == nullptr || member.mAppliedIndex < 20) {
      return;
    }
    member.mNode->Compact(member.mAppliedIndex - Pick(10), "state");
    member.mDisk.mSnapshot = member.mNode->Snapshot();
    std::erase_if(member.mDisk.mEntries, [&](const raft_entry& aEntry) {
      return aEntry.mIndex <= member.mDisk.mSnapshot.mIndex;
    });
  }

  void Transfer(std::size_t aPlace)
  {
    if (mMembers[aPlace].mNode != nullptr) {
      mMembers[aPlace].mNode->TransferLeadership({}, mNow);
      Drain(aPlace);
    }
  }

  /** Lets time pass by 10 ms and delivers what is due. */
  void Pass()
  {
    mNow += milliseconds(10);
    for (std::size_t place = 0; place < mMembers.size(); ++place) {
      if (mMembers[place].mNode != nullptr) {
        mMembers[place].mNode->Tick(mNow);
        Drain(place);
      }
    }
    std::vector<flying_message> due;
    std::vector<flying_message> later;
    for (flying_message& flying : mFlying) {
      (flying.mDue <= mNow ? due : later).push_back(std::move(flying));
    }
    mFlying = std::move(later);
    std::shuffle(due.begin(), due.end(), mRandom);
    for (const flying_message& flying : due) {
      Deliver(flying.mMessage);
    }
  }

  void PassFor(milliseconds aTime)
  {
    for (milliseconds passed{ 0 }; passed < aTime; passed += milliseconds(10)) {
      Pass();
    }
  }

  void Deliver(const raft_message& aMessage, bool aThroughCuts = false)
  {
    for (std::size_t place = 0; place < mMembers.size(); ++place) {
      bool isTarget = mMembers[place].mId.mHost == aMessage.mTo.mHost &&
                      mMembers[place].mNode != nullptr;
      bool isCut = mCut.contains(
        { aMessage.mFrom.mHost.mValue, aMessage.mTo.mHost.mValue });
      if (isTarget && (aThroughCuts || !isCut)) {
        mMembers[place].mNode->Step(aMessage, mNow);
        Drain(place);
      }
    }
  }

private:
  void Drain(std::size_t aPlace)
  {
    test_member& member = mMembers[aPlace];
    raft_actions actions = member.mNode->TakeActions();
    member.mDisk.Write(actions);
    if (actions.mInstallSnapshot) {
      member.mAppliedIndex = actions.mInstallSnapshot->mIndex;
    }
    for (raft_message& message : actions.mMessages) {
      Fly(std::move(message));
    }
    for (const raft_entry& entry : actions.mCommitted) {
      Apply(member, entry);
    }
    for (const raft_confirmed_read& read : actions.mReads) {
      ++mConfirmedReads;
      if (read.mIndex < mReads[read.mToken]) {
        mBroken = "A confirmed read misses a committed entry.";
      }
    }
    CheckLeader(member);
    CheckLog(member);
  }

  void Fly(raft_message aMessage)
  {
    if (mLosesMessages && Pick(20) == 0) {
      return;
    }
    steady_time due = mNow + milliseconds(Pick(30));
    if (mLosesMessages && Pick(50) == 0) {
      mFlying.push_back({ due + milliseconds(Pick(3000)), aMessage });
    }
    mFlying.push_back({ due, std::move(aMessage) });
  }

  void Apply(test_member& aMember, const raft_entry& aEntry)
  {
    if (aEntry.mIndex != aMember.mAppliedIndex + 1) {
      mBroken = "A member applied entries out of order.";
    }
    aMember.mAppliedIndex = aEntry.mIndex;
    auto [found, isNew] = mCommitted.emplace(aEntry.mIndex, aEntry);
    if (!isNew && found->second != aEntry) {
      mBroken = "Two members applied different entries at index " +
                std::to_string(aEntry.mIndex) + ".";
    }
  }

  void CheckLeader(const test_member& aMember)
  {
    if (aMember.mNode->Role() != raft_role::Leader) {
      return;
    }
    auto [found, isNew] =
      mLeaders.emplace(aMember.mNode->Term(), PeerName(aMember.mId));
    if (!isNew && found->second != PeerName(aMember.mId)) {
      mBroken = "Two members lead in one term.";
    }
    if (!isNew) {
      return;
    }
    for (const auto& [index, entry] : mCommitted) {
      bool isInLog = index > aMember.mNode->Snapshot().mIndex;
      if (!isInLog) {
        continue;
      }
      std::size_t place = index - aMember.mNode->Snapshot().mIndex - 1;
      if (place >= aMember.mNode->Log().size() ||
          aMember.mNode->Log()[place] != entry) {
        mBroken =
          "A new leader lacks committed entry " + std::to_string(index) + ".";
      }
    }
  }

  void CheckLog(const test_member& aMember)
  {
    // The disk must hold just what the member believes it holds.
    const auto& log = aMember.mNode->Log();
    const auto& disk = aMember.mDisk.mEntries;
    bool isSame = disk.size() == log.size() &&
                  (log.empty() ||
                   (disk.back() == log.back() && disk.front() == log.front()));
    if (!isSame) {
      mBroken = "The disk of " + PeerName(aMember.mId) +
                " differs from the member's log.";
    }
  }
};

/** Shorter than in service, so that a run holds many elections. */
constexpr milliseconds kShortElection{ 100 };

struct disturbance
{
  std::vector<int> mDownUntil;
};

/** One random event; a crashed member comes back by itself. */
void
DisturbGroup(test_group& aGroup, disturbance& aState, int aStep)
{
  std::size_t place = aGroup.Pick(aGroup.Count());
  switch (aGroup.Pick(300)) {
    case 0:
    case 1:
    case 2:
    case 3:
      if (aState.mDownUntil[place] == 0) {
        aGroup.Crash(place);
        aState.mDownUntil[place] =
          aStep + 1 + static_cast<int>(aGroup.Pick(20));
      }
      break;
    case 4:
    case 5:
      aGroup.Isolate(place);
      break;
    case 6:
    case 7:
    case 8:
    case 9:
    case 10:
      aGroup.Heal();
      break;
    case 11:
    case 12:
      aGroup.CutOneWay(place, aGroup.Pick(aGroup.Count()));
      break;
    case 13:
    case 14:
      aGroup.Transfer(place);
      break;
    case 15:
    case 16:
      aGroup.Compact(place);
      break;
    case 17:
      if (aState.mDownUntil[place] == 0 && aGroup.IsWhole()) {
        aGroup.LoseDisk(place);
        aState.mDownUntil[place] =
          aStep + 1 + static_cast<int>(aGroup.Pick(20));
      }
      break;
    default:
      break;
  }
  if (aGroup.Pick(4) == 0) {
    aGroup.Propose(place);
  }
  if (aGroup.Pick(10) == 0) {
    aGroup.Read(place);
  }
  for (std::size_t down = 0; down < aGroup.Count(); ++down) {
    int due = aState.mDownUntil[down];
    if (due != 0 && aStep >= due) {
      aGroup.Start(down);
      aState.mDownUntil[down] = 0;
    }
  }
}

}

TEST_GROUP(raft_node){};

TEST(raft_node, KeepsItsInvariantsUnderCrashesLossReorderAndPartitions)
{
  for (int seed = 1; seed <= kSeeds; ++seed) {
    // Three and five hosts by turns.
    test_group group(
      static_cast<std::uint64_t>(seed), 3 + 2 * (seed % 2), kShortElection);
    disturbance state;
    state.mDownUntil.resize(group.Count());
    for (int step = 1; step <= kStepsForEachSeed; ++step) {
      DisturbGroup(group, state, step);
      group.Pass();
      if (!group.Broken().empty()) {
        std::printf("seed %d step %d\n", seed, step);
        FAIL(group.Broken().c_str());
      }
    }
    std::string name = "seed " + std::to_string(seed);
    CHECK_TEXT(group.CommittedCount() > 100, name.c_str());
    CHECK_TEXT(group.mConfirmedReads > 10, name.c_str());
  }
}

TEST(raft_node, SurvivesASecondLostHostRightAfterARepair)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    test_group group(seed);
    group.mLosesMessages = false;
    group.PassFor(milliseconds(3000));
    for (int count = 0; count < 100; ++count) {
      group.Propose(group.LeaderPlace());
    }
    group.PassFor(milliseconds(500));
    std::size_t lost = (group.LeaderPlace() + 1) % 3;
    group.LoseDisk(lost);
    group.Start(lost);
    group.PassFor(milliseconds(5000));
    // The repaired host votes by now and the lost disk does not.
    std::size_t leader = group.LeaderPlace();
    CHECK(leader < group.Count());
    LONGS_EQUAL(3, group.Member(leader).mNode->Peers().size());
    std::size_t committed = group.CommittedCount();
    group.Crash((lost + 1) % 3);
    group.PassFor(milliseconds(5000));
    leader = group.LeaderPlace();
    CHECK(leader < group.Count());
    CHECK(group.Propose(leader));
    group.PassFor(milliseconds(1000));
    CHECK(group.CommittedCount() > committed);
    STRCMP_EQUAL("", group.Broken().c_str());
  }
}

TEST(raft_node, ARepairNeverNeedsMoreVotersThanThereAreHosts)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    test_group group(seed);
    group.mLosesMessages = false;
    group.PassFor(milliseconds(3000));
    std::size_t lost = (group.LeaderPlace() + 1) % 3;
    group.LoseDisk(lost);
    group.Start(lost);
    // A second host may be lost at any moment of the repair.
    for (int step = 0; step < 500; ++step) {
      group.PassFor(milliseconds(10));
      for (std::size_t place = 0; place < group.Count(); ++place) {
        const auto& peers = group.Member(place).mNode->Peers();
        auto voters =
          std::count_if(peers.begin(), peers.end(), [](const auto& aPeer) {
            return aPeer.mIsVoter;
          });
        CHECK(voters <= 3);
      }
    }
    STRCMP_EQUAL("", group.Broken().c_str());
  }
}

TEST(raft_node, AnEmptyDiskTakesNoPartInElectionsUntilItCaughtUp)
{
  test_group group(7);
  group.mLosesMessages = false;
  group.PassFor(milliseconds(3000));
  std::size_t leader = group.LeaderPlace();
  std::size_t lost = (leader + 1) % 3;
  std::size_t other = (leader + 2) % 3;
  group.Propose(leader);
  group.PassFor(milliseconds(500));
  std::size_t committed = group.CommittedCount();
  // Without the leader, one host with the log and one empty one are left.
  group.Crash(leader);
  group.LoseDisk(lost);
  group.Start(lost);
  group.PassFor(milliseconds(20'000));
  LONGS_EQUAL(group.Count(), group.LeaderPlace());
  LONGS_EQUAL(committed, group.CommittedCount());
  CHECK(group.Member(other).mNode->Role() != raft_role::Leader);
  // The third disk brings the quorum, and then the empty one its vote back.
  group.Start(leader);
  group.PassFor(milliseconds(8000));
  std::size_t next = group.LeaderPlace();
  CHECK(next < group.Count());
  CHECK(group.Propose(next));
  group.PassFor(milliseconds(500));
  CHECK(group.CommittedCount() > committed);
  STRCMP_EQUAL("", group.Broken().c_str());
}

TEST(raft_node, RestartsWithAThousandChanges)
{
  test_group group(11);
  group.mLosesMessages = false;
  group.PassFor(milliseconds(3000));
  for (int count = 0; count < 1000; ++count) {
    group.Propose(group.LeaderPlace());
  }
  group.PassFor(milliseconds(2000));
  CHECK(group.CommittedCount() > 1000);
  std::size_t committed = group.CommittedCount();
  for (std::size_t place = 0; place < group.Count(); ++place) {
    group.Crash(place);
  }
  for (std::size_t place = 0; place < group.Count(); ++place) {
    group.Start(place);
  }
  group.PassFor(milliseconds(4000));
  CHECK(group.LeaderPlace() < group.Count());
  CHECK(group.CommittedCount() > committed);
  STRCMP_EQUAL("", group.Broken().c_str());
}

TEST(raft_node, AMemberBackFromLongIsolationDisturbsNobody)
{
  test_group group(13);
  group.mLosesMessages = false;
  group.PassFor(milliseconds(3000));
  std::size_t leader = group.LeaderPlace();
  raft_term term = group.Member(leader).mNode->Term();
  std::size_t away = (leader + 1) % 3;
  group.Isolate(away);
  group.PassFor(milliseconds(60'000));
  int reads = group.mConfirmedReads;
  group.Read(away);
  group.PassFor(milliseconds(1000));
  LONGS_EQUAL(reads, group.mConfirmedReads);
  group.Heal();
  group.PassFor(milliseconds(3000));
  LONGS_EQUAL(leader, group.LeaderPlace());
  LONGS_EQUAL(term, group.Member(leader).mNode->Term());
}

TEST(raft_node, AnIsolatedLeaderConfirmsNoRead)
{
  test_group group(17);
  group.mLosesMessages = false;
  group.PassFor(milliseconds(3000));
  std::size_t leader = group.LeaderPlace();
  group.Isolate(leader);
  int reads = group.mConfirmedReads;
  group.Read(leader);
  group.PassFor(milliseconds(10'000));
  LONGS_EQUAL(reads, group.mConfirmedReads);
  CHECK(group.Member(leader).mNode->Role() != raft_role::Leader);
  CHECK(group.LeaderPlace() != leader);
}

TEST(raft_node, AnAnswerFromBeforeTheReadDoesNotConfirmIt)
{
  test_group group(23);
  group.mLosesMessages = false;
  group.PassFor(milliseconds(3000));
  std::size_t leader = group.LeaderPlace();
  // Answers to the heartbeat of before are still on their way.
  group.PassFor(milliseconds(10));
  group.Isolate(leader);
  group.Read(leader);
  int reads = group.mConfirmedReads;
  for (std::size_t other = 0; other < group.Count(); ++other) {
    raft_message late;
    late.mKind = raft_message_kind::AppendReply;
    late.mFrom = group.Member(other).mId;
    late.mTo = group.Member(leader).mId;
    late.mTerm = group.Member(leader).mNode->Term();
    late.mNumber = group.Member(leader).mNode->HeartbeatRound();
    group.Deliver(late, true);
  }
  LONGS_EQUAL(reads, group.mConfirmedReads);
}

/** Three voters, of which the test plays the other two. */
struct lone_member
{
  std::vector<raft_peer> mVoters;
  steady_time mNow{ std::chrono::hours(1) };
  std::unique_ptr<raft_node> mNode;

  explicit lone_member(raft_persistent_state aDisk, std::uint64_t aSeed = 0)
  {
    for (const char* name : { "a", "b", "c" }) {
      mVoters.push_back({ { host_id{ name }, disk_id{ name } }, true });
    }
    if (aDisk.mSnapshot.mPeers.empty()) {
      aDisk.mSnapshot.mPeers = mVoters;
    }
    raft_config config;
    config.mSelf = mVoters[0].mId;
    config.mSeed = aSeed;
    config.mKnownHosts = { host_id{ "a" }, host_id{ "b" }, host_id{ "c" } };
    mNode = std::make_unique<raft_node>(
      std::move(raft_node::Create(config, std::move(aDisk), mNow).value()));
  }

  raft_actions Take(raft_message aMessage, int aFrom)
  {
    aMessage.mFrom = mVoters[static_cast<std::size_t>(aFrom)].mId;
    aMessage.mTo = mVoters[0].mId;
    mNode->Step(aMessage, mNow);
    return mNode->TakeActions();
  }

  /** Wins an election with the vote of the second voter. */
  void Lead()
  {
    mNow += std::chrono::seconds(5);
    mNode->Tick(mNow);
    mNode->TakeActions();
    raft_message grant;
    grant.mKind = raft_message_kind::PreVoteReply;
    grant.mTerm = mNode->Term() + 1;
    Take(grant, 1);
    grant.mKind = raft_message_kind::VoteReply;
    Take(grant, 1);
  }
};

TEST(raft_node, AnElectionThatWasSplitIsHeldAgainWithinOneTimeOut)
{
  raft_config defaults;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    lone_member member({}, seed);
    // Nobody answers; each try is a first one of a group that has just started.
    for (int attempt = 0; attempt < 5; ++attempt) {
      steady_time triedAt = member.mNow;
      do {
        member.mNow = member.mNode->NextDue();
        member.mNode->Tick(member.mNow);
      } while (member.mNode->TakeActions().mMessages.empty());
      CHECK(member.mNow - triedAt <= defaults.mElectionTimeout);
    }
  }
}

TEST(raft_node, ANewLeaderConfirmsReadsWithoutWaitingForAWholeHeartbeat)
{
  raft_config defaults;
  lone_member member({});
  member.Lead();
  member.mNode->Tick(member.mNow);
  member.mNode->TakeActions();
  member.mNode->RequestRead(7);
  // The round that confirms it begins with the next heartbeat.
  CHECK(member.mNode->NextDue() - member.mNow <=
        defaults.mHeartbeatInterval / 2);
  member.mNow += defaults.mElectionTimeout;
  raft_message heard;
  heard.mKind = raft_message_kind::AppendReply;
  heard.mTerm = member.mNode->Term();
  member.Take(heard, 1);
  member.mNode->Tick(member.mNow);
  CHECK(member.mNode->NextDue() - member.mNow == defaults.mHeartbeatInterval);
}

TEST(raft_node, APeerThatLagsGetsItsEntriesOnceHoweverOftenItRefuses)
{
  raft_persistent_state disk;
  disk.mHardState.mTerm = 3;
  for (log_index index = 1; index <= 40; ++index) {
    disk.mEntries.push_back({ 3, index, std::string(50'000, 'x'), {} });
  }
  lone_member member(disk);
  member.Lead();
  // The peer was away: heartbeats queue up, and it refuses each of them.
  std::size_t sent = 0;
  for (int beat = 0; beat < 10; ++beat) {
    raft_message refusal;
    refusal.mKind = raft_message_kind::AppendReply;
    refusal.mTerm = member.mNode->Term();
    refusal.mIsRefused = true;
    refusal.mIndex = 0;
    for (const raft_message& message : member.Take(refusal, 1).mMessages) {
      sent += message.mTo.mHost.mValue == "b" ? message.mEntries.size() : 0;
    }
    member.mNow += milliseconds(100);
    member.mNode->Tick(member.mNow);
    for (const raft_message& message : member.mNode->TakeActions().mMessages) {
      sent += message.mTo.mHost.mValue == "b" ? message.mEntries.size() : 0;
    }
  }
  // One message holds up to 1 MB, and none is sent twice within the time.
  CHECK(sent <= 41);
}

TEST(raft_node, WritesItsVoteDownBeforeItAnswers)
{
  lone_member member({});
  raft_message vote;
  vote.mKind = raft_message_kind::Vote;
  vote.mTerm = 5;
  raft_actions actions = member.Take(vote, 1);
  CHECK(actions.mHardState.has_value());
  LONGS_EQUAL(5, actions.mHardState->mTerm);
  STRCMP_EQUAL("b", actions.mHardState->mVote.mHost.mValue.c_str());
  raft_persistent_state disk;
  disk.mHardState = *actions.mHardState;
  lone_member restarted(disk);
  actions = restarted.Take(vote, 2);
  CHECK(actions.mMessages.front().mIsRefused);
}

TEST(raft_node, CommitsNothingOfAnEarlierTermByCounting)
{
  raft_persistent_state disk;
  disk.mHardState.mTerm = 3;
  disk.mEntries = { { 2, 1, "old", std::nullopt } };
  lone_member member(disk);
  member.Lead();
  CHECK(member.mNode->Role() == raft_role::Leader);
  raft_message match;
  match.mKind = raft_message_kind::AppendReply;
  match.mTerm = member.mNode->Term();
  match.mIndex = 1;
  CHECK(member.Take(match, 1).mCommitted.empty());
  match.mIndex = 2;
  LONGS_EQUAL(2, member.Take(match, 1).mCommitted.size());
}

TEST(raft_node, CommitsNoFurtherThanTheEntriesThatTheLeaderVouchedFor)
{
  raft_persistent_state disk;
  disk.mHardState.mTerm = 2;
  disk.mEntries = { { 1, 1, "shared", std::nullopt },
                    { 2, 2, "never committed", std::nullopt } };
  lone_member member(disk);
  raft_message append;
  append.mKind = raft_message_kind::Append;
  append.mTerm = 3;
  append.mIndex = 1;
  append.mLogTerm = 1;
  append.mCommit = 2;
  raft_actions actions = member.Take(append, 1);
  LONGS_EQUAL(1, actions.mCommitted.size());
}

TEST(raft_node, ChangesItsMembersOneAtATime)
{
  lone_member member({});
  member.Lead();
  raft_message match;
  match.mKind = raft_message_kind::AppendReply;
  match.mTerm = member.mNode->Term();
  match.mIndex = 1;
  member.Take(match, 1);
  raft_message join;
  join.mKind = raft_message_kind::Join;
  join.mFrom = { host_id{ "b" }, disk_id{ "new" } };
  join.mTo = { host_id{ "a" }, {} };
  member.mNode->Step(join, member.mNow);
  LONGS_EQUAL(4, member.mNode->Peers().size());
  join.mFrom = { host_id{ "c" }, disk_id{ "new" } };
  member.mNode->Step(join, member.mNow);
  LONGS_EQUAL(4, member.mNode->Peers().size());
  // A host that the settings don't name is never let in.
  match.mIndex = 2;
  member.Take(match, 1);
  join.mFrom = { host_id{ "stranger" }, disk_id{ "new" } };
  member.mNode->Step(join, member.mNow);
  LONGS_EQUAL(4, member.mNode->Peers().size());
}

TEST(raft_node, HandsLeadershipOverAtOnce)
{
  test_group group(19);
  group.mLosesMessages = false;
  group.PassFor(milliseconds(3000));
  std::size_t leader = group.LeaderPlace();
  group.Transfer(leader);
  group.PassFor(milliseconds(200));
  CHECK(group.LeaderPlace() < group.Count());
  CHECK(group.LeaderPlace() != leader);
}
