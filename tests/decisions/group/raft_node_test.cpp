#include "tests/decisions/group/simulated_group.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;
using namespace test;

constexpr int kSeeds = 50;
constexpr int kStepsForEachSeed = 10'000;
/** Shorter than in production, so that a test run has many elections. */
constexpr milliseconds kShortElection{ 100 };

struct fault_state
{
  /** The step at which each crashed member restarts; 0 while it runs. */
  std::vector<int> mDownUntil;
};

/** Injects at most one random fault; crashed members restart later. */
void
InjectFault(simulated_group& aGroup, fault_state& aState, int aStep)
{
  std::size_t position = aGroup.Pick(aGroup.Count());
  switch (aGroup.Pick(300)) {
    case 0:
    case 1:
    case 2:
    case 3:
      if (aState.mDownUntil[position] == 0) {
        aGroup.Crash(position);
        aState.mDownUntil[position] =
          aStep + 1 + static_cast<int>(aGroup.Pick(20));
      }
      break;
    case 4:
    case 5:
      aGroup.Isolate(position);
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
      aGroup.BlockOneWay(position, aGroup.Pick(aGroup.Count()));
      break;
    case 13:
    case 14:
      aGroup.Transfer(position);
      break;
    case 15:
    case 16:
      aGroup.Compact(position);
      break;
    case 17:
      if (aState.mDownUntil[position] == 0 && aGroup.AllDisksVote()) {
        aGroup.LoseDisk(position);
        aState.mDownUntil[position] =
          aStep + 1 + static_cast<int>(aGroup.Pick(20));
      }
      break;
    default:
      break;
  }
  if (aGroup.Pick(4) == 0) {
    aGroup.Propose(position);
  }
  if (aGroup.Pick(10) == 0) {
    aGroup.Read(position);
  }
  for (std::size_t down = 0; down < aGroup.Count(); ++down) {
    int due = aState.mDownUntil[down];
    if (due != 0 && aStep >= due) {
      aGroup.Start(down);
      aState.mDownUntil[down] = 0;
    }
  }
}

/** All hosts lose power at once; those named lose their disks too. They come
 * back in a random order within 300 ms. */
void
LosePower(simulated_group& aGroup, const std::set<std::size_t>& aLostDisks)
{
  std::vector<std::size_t> order;
  for (std::size_t position = 0; position < aGroup.Count(); ++position) {
    aGroup.Crash(position);
    if (aLostDisks.contains(position)) {
      aGroup.LoseDisk(position);
    }
    order.insert(order.begin() +
                   static_cast<std::ptrdiff_t>(aGroup.Pick(order.size() + 1)),
                 position);
  }
  for (std::size_t position : order) {
    aGroup.RunFor(milliseconds(10 * aGroup.Pick(4)));
    aGroup.Start(position);
  }
}

/** Checks that a group has lost nothing and serves changes again. */
void
CheckRecovery(simulated_group& aGroup,
              std::size_t aCommitted,
              const std::string& aCase)
{
  aGroup.RunFor(milliseconds(5000));
  std::size_t leader = aGroup.LeaderPosition();
  CHECK_TEXT(leader < aGroup.Count(), aCase.c_str());
  CHECK_TEXT(aGroup.Propose(leader), aCase.c_str());
  aGroup.RunFor(milliseconds(500));
  CHECK_TEXT(aGroup.CommittedCount() > aCommitted, aCase.c_str());
  STRCMP_EQUAL_TEXT("", aGroup.Violation().c_str(), aCase.c_str());
}

}

TEST_GROUP(raft_node){};

TEST(raft_node, KeepsItsInvariantsUnderCrashesLossReorderAndPartitions)
{
  for (int seed = 1; seed <= kSeeds; ++seed) {
    // Alternates between three and five hosts.
    simulated_group group(
      static_cast<std::uint64_t>(seed), 3 + 2 * (seed % 2), kShortElection);
    fault_state state;
    state.mDownUntil.resize(group.Count());
    for (int step = 1; step <= kStepsForEachSeed; ++step) {
      InjectFault(group, state, step);
      group.RunStep();
      if (!group.Violation().empty()) {
        std::printf("seed %d step %d\n", seed, step);
        FAIL(group.Violation().c_str());
      }
    }
    std::string name = "seed " + std::to_string(seed);
    CHECK_TEXT(group.CommittedCount() > 100, name.c_str());
    CHECK_TEXT(group.mConfirmedReads > 10, name.c_str());
  }
}

TEST(raft_node, SurvivesTheLossOfASecondHostAfterARepair)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    simulated_group group(seed);
    group.mLosesMessages = false;
    group.RunFor(milliseconds(3000));
    for (int count = 0; count < 100; ++count) {
      group.Propose(group.LeaderPosition());
    }
    group.RunFor(milliseconds(500));
    std::size_t lost = (group.LeaderPosition() + 1) % 3;
    group.LoseDisk(lost);
    group.Start(lost);
    group.RunFor(milliseconds(5000));
    // By now the repaired host is a voter and the lost disk is not.
    std::size_t leader = group.LeaderPosition();
    CHECK(leader < group.Count());
    LONGS_EQUAL(3, group.Member(leader).mNode->Peers().size());
    std::size_t committed = group.CommittedCount();
    group.Crash((lost + 1) % 3);
    group.RunFor(milliseconds(5000));
    leader = group.LeaderPosition();
    CHECK(leader < group.Count());
    CHECK(group.Propose(leader));
    group.RunFor(milliseconds(1000));
    CHECK(group.CommittedCount() > committed);
    STRCMP_EQUAL("", group.Violation().c_str());
  }
}

TEST(raft_node, LostDisksWhileAllOthersLosePowerCostNoAcknowledgedEntry)
{
  auto check =
    [](std::uint64_t aSeed, int aHosts, const std::set<std::size_t>& aLost) {
      simulated_group group(aSeed, aHosts);
      group.mLosesMessages = false;
      group.RunFor(milliseconds(3000));
      std::size_t committed = CommitSome(group, 20);
      LosePower(group, aLost);
      CheckRecovery(group, committed, "seed " + std::to_string(aSeed));
      group.RunFor(milliseconds(10'000));
      CHECK(group.AllDisksVote());
    };
  std::uint64_t seed = 1;
  for (std::size_t one = 0; one < 5; ++one) {
    check(seed++, 5, { one });
  }
  for (std::size_t one = 0; one < 9; ++one) {
    for (std::size_t other = one + 1; other < 9; ++other) {
      check(seed++, 9, { one, other });
    }
  }
}

TEST(raft_node, ALossOfPowerAtAnyMomentOfARepairCostsNoAcknowledgedEntry)
{
  for (std::uint64_t moment = 0; moment < 40; ++moment) {
    simulated_group group(moment + 1, 5);
    group.mLosesMessages = false;
    group.RunFor(milliseconds(3000));
    std::size_t committed = CommitSome(group, 20);
    std::size_t lost = group.Pick(group.Count());
    group.LoseDisk(lost);
    group.Start(lost);
    group.RunFor(milliseconds(100 * moment));
    LosePower(group, {});
    CheckRecovery(group, committed, "moment " + std::to_string(moment));
  }
}

TEST(raft_node, AMemberThatReturnsWithoutDiskAndSeedsJoinsThroughItsOldGroup)
{
  simulated_group group(29);
  group.mLosesMessages = false;
  group.mKnowsHosts = false;
  group.RunFor(milliseconds(3000));
  CommitSome(group, 20);
  std::size_t lost = (group.LeaderPosition() + 1) % kHosts;
  group.LoseDisk(lost);
  group.Start(lost);
  group.RunFor(milliseconds(10'000));
  CHECK(group.AllDisksVote());
  STRCMP_EQUAL("", group.Violation().c_str());
}

TEST(raft_node, ARepairNeverNeedsMoreVotersThanThereAreHosts)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    simulated_group group(seed);
    group.mLosesMessages = false;
    group.RunFor(milliseconds(3000));
    std::size_t lost = (group.LeaderPosition() + 1) % 3;
    group.LoseDisk(lost);
    group.Start(lost);
    // A second host may be lost at any time during the repair.
    for (int step = 0; step < 500; ++step) {
      group.RunFor(milliseconds(10));
      for (std::size_t position = 0; position < group.Count(); ++position) {
        const auto& peers = group.Member(position).mNode->Peers();
        auto voters =
          std::count_if(peers.begin(), peers.end(), [](const auto& aPeer) {
            return aPeer.mIsVoter;
          });
        CHECK(voters <= 3);
      }
    }
    STRCMP_EQUAL("", group.Violation().c_str());
  }
}

TEST(raft_node, AnEmptyDiskTakesNoPartInElectionsUntilItCaughtUp)
{
  simulated_group group(7);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t leader = group.LeaderPosition();
  std::size_t lost = (leader + 1) % 3;
  std::size_t other = (leader + 2) % 3;
  group.Propose(leader);
  group.RunFor(milliseconds(500));
  std::size_t committed = group.CommittedCount();
  // Without the leader, only a host with the log and an empty one remain.
  group.Crash(leader);
  group.LoseDisk(lost);
  group.Start(lost);
  group.RunFor(milliseconds(20'000));
  LONGS_EQUAL(group.Count(), group.LeaderPosition());
  LONGS_EQUAL(committed, group.CommittedCount());
  CHECK(group.Member(other).mNode->Role() != raft_role::Leader);
  // The third disk restores the quorum, and then the empty one gets its vote.
  group.Start(leader);
  group.RunFor(milliseconds(8000));
  std::size_t next = group.LeaderPosition();
  CHECK(next < group.Count());
  CHECK(group.Propose(next));
  group.RunFor(milliseconds(500));
  CHECK(group.CommittedCount() > committed);
  STRCMP_EQUAL("", group.Violation().c_str());
}

TEST(raft_node, RestartsWithAThousandChanges)
{
  simulated_group group(11);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  for (int count = 0; count < 1000; ++count) {
    group.Propose(group.LeaderPosition());
  }
  group.RunFor(milliseconds(2000));
  CHECK(group.CommittedCount() > 1000);
  std::size_t committed = group.CommittedCount();
  for (std::size_t position = 0; position < group.Count(); ++position) {
    group.Crash(position);
  }
  for (std::size_t position = 0; position < group.Count(); ++position) {
    group.Start(position);
  }
  group.RunFor(milliseconds(4000));
  CHECK(group.LeaderPosition() < group.Count());
  CHECK(group.CommittedCount() > committed);
  STRCMP_EQUAL("", group.Violation().c_str());
}

TEST(raft_node, AMemberThatReturnsFromIsolationDoesNotDisruptTheGroup)
{
  simulated_group group(13);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t leader = group.LeaderPosition();
  raft_term term = group.Member(leader).mNode->Term();
  std::size_t isolated = (leader + 1) % 3;
  group.Isolate(isolated);
  group.RunFor(milliseconds(60'000));
  int reads = group.mConfirmedReads;
  group.Read(isolated);
  group.RunFor(milliseconds(1000));
  LONGS_EQUAL(reads, group.mConfirmedReads);
  group.Heal();
  group.RunFor(milliseconds(3000));
  LONGS_EQUAL(leader, group.LeaderPosition());
  LONGS_EQUAL(term, group.Member(leader).mNode->Term());
}

TEST(raft_node, AnIsolatedLeaderConfirmsNoRead)
{
  simulated_group group(17);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t leader = group.LeaderPosition();
  group.Isolate(leader);
  int reads = group.mConfirmedReads;
  group.Read(leader);
  group.RunFor(milliseconds(10'000));
  LONGS_EQUAL(reads, group.mConfirmedReads);
  CHECK(group.Member(leader).mNode->Role() != raft_role::Leader);
  CHECK(group.LeaderPosition() != leader);
}

TEST(raft_node, AMemberThatIsCutOffKnowsItAfterTwoElectionTimeouts)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    simulated_group group(seed, 5);
    group.mLosesMessages = false;
    group.RunFor(milliseconds(3000));
    std::size_t leader = group.LeaderPosition();
    std::size_t follower = (leader + 1) % group.Count();
    group.Isolate(leader);
    group.Isolate(follower);
    group.RunFor(milliseconds(1500));
    CHECK(!group.IsCutOff(leader));
    CHECK(!group.IsCutOff(follower));
    group.RunFor(milliseconds(600));
    CHECK(group.IsCutOff(leader));
    CHECK(group.IsCutOff(follower));
    // The others elect a leader, and stay in touch with it.
    group.RunFor(milliseconds(1500));
    for (int step = 0; step < 50; ++step) {
      group.RunFor(milliseconds(100));
      for (std::size_t other = 0; other < group.Count(); ++other) {
        bool isIsolated = other == leader || other == follower;
        CHECK(isIsolated == group.IsCutOff(other));
      }
    }
    group.Heal();
    group.RunFor(milliseconds(2000));
    CHECK(!group.IsCutOff(leader));
    CHECK(!group.IsCutOff(follower));
  }
}

TEST(raft_node, AReplySentBeforeTheReadDoesNotConfirmIt)
{
  simulated_group group(23);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t leader = group.LeaderPosition();
  // Replies to the previous heartbeat are still in flight.
  group.RunFor(milliseconds(10));
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

/** One of three voters; the test sends the messages of the other two. */
struct member_under_test
{
  std::vector<raft_peer> mVoters;
  steady_time mNow{ std::chrono::hours(1) };
  std::unique_ptr<raft_node> mNode;

  explicit member_under_test(raft_persistent_state aStored,
                             std::uint64_t aSeed = 0)
  {
    for (const char* name : { "a", "b", "c" }) {
      mVoters.push_back({ { host_id{ name }, disk_id{ name } }, true });
    }
    if (aStored.mSnapshot.mPeers.empty()) {
      aStored.mSnapshot.mPeers = mVoters;
    }
    raft_config config;
    config.mSelf = mVoters[0].mId;
    config.mSeed = aSeed;
    config.mKnownHosts = { host_id{ "a" }, host_id{ "b" }, host_id{ "c" } };
    mNode = std::make_unique<raft_node>(
      std::move(raft_node::Create(config, std::move(aStored), mNow).value()));
  }

  raft_actions Receive(raft_message aMessage, int aFrom)
  {
    aMessage.mFrom = mVoters[static_cast<std::size_t>(aFrom)].mId;
    aMessage.mTo = mVoters[0].mId;
    mNode->Step(aMessage, mNow);
    return mNode->TakeActions();
  }

  /** Wins an election with the vote of the second voter. */
  void WinElection()
  {
    mNow += std::chrono::seconds(5);
    mNode->Tick(mNow);
    mNode->TakeActions();
    raft_message grant;
    grant.mKind = raft_message_kind::PreVoteReply;
    grant.mTerm = mNode->Term() + 1;
    Receive(grant, 1);
    grant.mKind = raft_message_kind::VoteReply;
    Receive(grant, 1);
  }
};

TEST(raft_node, AHostThatIsNotConfiguredMayNotJoinByAddressingAnEarlierDisk)
{
  member_under_test member({});
  member.WinElection();
  raft_message reply;
  reply.mKind = raft_message_kind::AppendReply;
  reply.mTerm = member.mNode->Term();
  reply.mIndex = 1;
  member.Receive(reply, 1);
  raft_message stray;
  stray.mFrom = { host_id{ "stranger" }, disk_id{ "s" } };
  stray.mTo = { host_id{ "a" }, disk_id{ "earlier" } };
  member.mNode->Step(stray, member.mNow);
  raft_message join;
  join.mKind = raft_message_kind::Join;
  join.mFrom = stray.mFrom;
  join.mTo = { host_id{ "a" }, {} };
  member.mNode->Step(join, member.mNow);
  LONGS_EQUAL(3, member.mNode->Peers().size());
}

TEST(raft_node, ASplitElectionIsRetriedWithinOneTimeout)
{
  raft_config defaults;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    member_under_test member({}, seed);
    // No voter replies; each attempt is like the first of a new group.
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
  member_under_test member({});
  member.WinElection();
  member.mNode->Tick(member.mNow);
  member.mNode->TakeActions();
  member.mNode->RequestRead(7);
  // The round that confirms it begins with the next heartbeat.
  CHECK(member.mNode->NextDue() - member.mNow <=
        defaults.mHeartbeatInterval / 2);
  member.mNow += defaults.mElectionTimeout;
  raft_message reply;
  reply.mKind = raft_message_kind::AppendReply;
  reply.mTerm = member.mNode->Term();
  member.Receive(reply, 1);
  member.mNode->Tick(member.mNow);
  CHECK(member.mNode->NextDue() - member.mNow == defaults.mHeartbeatInterval);
}

TEST(raft_node, ALaggingPeerGetsItsEntriesOnceDespiteRepeatedRefusals)
{
  raft_persistent_state stored;
  stored.mHardState.mTerm = 3;
  for (log_index index = 1; index <= 40; ++index) {
    stored.mEntries.push_back({ 3, index, std::string(50'000, 'x'), {} });
  }
  member_under_test member(stored);
  member.WinElection();
  // The peer was unreachable: it now refuses each queued heartbeat.
  std::size_t sent = 0;
  for (int heartbeat = 0; heartbeat < 10; ++heartbeat) {
    raft_message refusal;
    refusal.mKind = raft_message_kind::AppendReply;
    refusal.mTerm = member.mNode->Term();
    refusal.mIsRefused = true;
    refusal.mIndex = 0;
    for (const raft_message& message : member.Receive(refusal, 1).mMessages) {
      sent += message.mTo.mHost.mValue == "b" ? message.mEntries.size() : 0;
    }
    member.mNow += milliseconds(100);
    member.mNode->Tick(member.mNow);
    for (const raft_message& message : member.mNode->TakeActions().mMessages) {
      sent += message.mTo.mHost.mValue == "b" ? message.mEntries.size() : 0;
    }
  }
  // A message holds up to 1 MB, and no entry is resent within the interval.
  CHECK(sent <= 41);
}

TEST(raft_node, PersistsItsVoteBeforeItReplies)
{
  member_under_test member({});
  raft_message vote;
  vote.mKind = raft_message_kind::Vote;
  vote.mTerm = 5;
  raft_actions actions = member.Receive(vote, 1);
  CHECK(actions.mHardState.has_value());
  LONGS_EQUAL(5, actions.mHardState->mTerm);
  STRCMP_EQUAL("b", actions.mHardState->mVote.mHost.mValue.c_str());
  raft_persistent_state stored;
  stored.mHardState = *actions.mHardState;
  member_under_test restarted(stored);
  actions = restarted.Receive(vote, 2);
  CHECK(actions.mMessages.front().mIsRefused);
}

TEST(raft_node, DoesNotCommitEntriesOfEarlierTermsByCounting)
{
  raft_persistent_state stored;
  stored.mHardState.mTerm = 3;
  stored.mEntries = { { 2, 1, "old", std::nullopt } };
  member_under_test member(stored);
  member.WinElection();
  CHECK(member.mNode->Role() == raft_role::Leader);
  raft_message match;
  match.mKind = raft_message_kind::AppendReply;
  match.mTerm = member.mNode->Term();
  match.mIndex = 1;
  CHECK(member.Receive(match, 1).mCommitted.empty());
  match.mIndex = 2;
  LONGS_EQUAL(2, member.Receive(match, 1).mCommitted.size());
}

TEST(raft_node, CommitsOnlyEntriesThatMatchTheLeadersLog)
{
  raft_persistent_state stored;
  stored.mHardState.mTerm = 2;
  stored.mEntries = { { 1, 1, "shared", std::nullopt },
                      { 2, 2, "never committed", std::nullopt } };
  member_under_test member(stored);
  raft_message append;
  append.mKind = raft_message_kind::Append;
  append.mTerm = 3;
  append.mIndex = 1;
  append.mLogTerm = 1;
  append.mCommit = 2;
  raft_actions actions = member.Receive(append, 1);
  LONGS_EQUAL(1, actions.mCommitted.size());
}

TEST(raft_node, ChangesItsMembersOneAtATime)
{
  member_under_test member({});
  member.WinElection();
  raft_message match;
  match.mKind = raft_message_kind::AppendReply;
  match.mTerm = member.mNode->Term();
  match.mIndex = 1;
  member.Receive(match, 1);
  raft_message join;
  join.mKind = raft_message_kind::Join;
  join.mFrom = { host_id{ "b" }, disk_id{ "new" } };
  join.mTo = { host_id{ "a" }, {} };
  member.mNode->Step(join, member.mNow);
  LONGS_EQUAL(4, member.mNode->Peers().size());
  join.mFrom = { host_id{ "c" }, disk_id{ "new" } };
  member.mNode->Step(join, member.mNow);
  LONGS_EQUAL(4, member.mNode->Peers().size());
  // The kept request is taken once the first change is committed. A host that
  // is not configured is not added.
  match.mIndex = 2;
  member.Receive(match, 1);
  LONGS_EQUAL(5, member.mNode->Peers().size());
  CHECK(member.mNode->IsMember(join.mFrom));
  match.mIndex = 3;
  member.Receive(match, 1);
  join.mFrom = { host_id{ "stranger" }, disk_id{ "new" } };
  member.mNode->Step(join, member.mNow);
  LONGS_EQUAL(5, member.mNode->Peers().size());
}

TEST(raft_node, TransfersLeadershipImmediately)
{
  simulated_group group(19);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t leader = group.LeaderPosition();
  group.Transfer(leader);
  group.RunFor(milliseconds(200));
  CHECK(group.LeaderPosition() < group.Count());
  CHECK(group.LeaderPosition() != leader);
}
