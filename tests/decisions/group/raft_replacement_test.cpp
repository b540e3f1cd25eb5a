#include "tests/decisions/group/simulated_group.h"

#include <algorithm>
#include <array>
#include <cstdlib>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;
using namespace test;

constexpr milliseconds kElection{ 900 };
/** Time from a loss to the start of the successor. */
constexpr milliseconds kSuccessorDelay{ 1000 };
/** Time from a start or a return until the group must bear the next loss. */
constexpr milliseconds kCatchUp{ 4000 };
/** The same where one message in twenty is lost, and some are sent again only
 * after a second. */
constexpr milliseconds kLossyCatchUp{ 8000 };
constexpr std::uint64_t kMaxOutageMs = 6000;
/** After this, a member that is away leaves a group of an even number. */
constexpr milliseconds kLongAbsence{ 15'000 };
constexpr std::uint64_t kSeries = 300;
constexpr int kEventsForEachSeries = 10;
constexpr std::size_t kMaxHosts = 12;

/**
 * A group whose hosts are lost, replaced, cut off, frozen and restarted, never
 * more at a time than it tolerates.
 */
class replaced_group
{
  simulated_group mGroup;
  std::size_t mInitial;
  std::size_t mTolerated;
  int mNextHost = 0;
  std::string mLast = "formation";

  [[nodiscard]] std::vector<std::size_t> Running() const
  {
    std::vector<std::size_t> running;
    for (std::size_t position = 0; position < mGroup.Count(); ++position) {
      if (mGroup.IsRunning(position)) {
        running.push_back(position);
      }
    }
    return running;
  }

  /** The hosts that the operator's list names now. */
  void UpdateSeeds()
  {
    mGroup.mSeeds.clear();
    // Some seed runs whichever hosts are lost.
    std::size_t count = std::max<std::size_t>(3, mTolerated + 1);
    for (std::size_t position : Running()) {
      if (mGroup.mSeeds.size() < count) {
        mGroup.mSeeds.insert(mGroup.Member(position).mId.mHost);
      }
    }
  }

  std::size_t StartNewHost(const std::string& aName)
  {
    std::size_t position = mGroup.AddHost(aName);
    mGroup.Start(position);
    return position;
  }

  std::string NewName() { return "n" + std::to_string(mNextHost++); }

  /** The oldest host, the leader or any. */
  std::size_t PickVictim()
  {
    std::vector<std::size_t> running = Running();
    switch (mGroup.Pick(3)) {
      case 0:
        return running.front();
      case 1:
        return mGroup.LeaderPosition() < mGroup.Count()
                 ? mGroup.LeaderPosition()
                 : running.back();
      default:
        return running[mGroup.Pick(running.size())];
    }
  }

  std::vector<std::size_t> PickVictims()
  {
    std::set<std::size_t> victims;
    std::size_t count = 1 + mGroup.Pick(mTolerated);
    while (victims.size() < count) {
      victims.insert(PickVictim());
    }
    return { victims.begin(), victims.end() };
  }

  milliseconds Outage() { return milliseconds(1 + mGroup.Pick(kMaxOutageMs)); }

  void Replace(bool aTakesOverAddress)
  {
    std::vector<std::size_t> victims = PickVictims();
    UpdateSeeds();
    for (std::size_t victim : victims) {
      mGroup.Crash(victim);
    }
    mGroup.RunFor(kSuccessorDelay);
    for (std::size_t victim : victims) {
      StartNewHost(aTakesOverAddress ? mGroup.Member(victim).mId.mHost.mValue
                                     : NewName());
    }
  }

  void LoseDisk()
  {
    std::size_t victim = PickVictim();
    UpdateSeeds();
    mGroup.LoseDisk(victim);
    mGroup.RunFor(kSuccessorDelay);
    mGroup.Start(victim);
  }

  void Restart(const std::vector<std::size_t>& aHosts, milliseconds aOutage)
  {
    for (std::size_t host : aHosts) {
      mGroup.Crash(host);
    }
    mGroup.RunFor(aOutage);
    for (std::size_t host : aHosts) {
      mGroup.Start(host);
    }
  }

  void Freeze()
  {
    std::vector<std::size_t> victims = PickVictims();
    for (std::size_t victim : victims) {
      mGroup.Freeze(victim);
    }
    mGroup.RunFor(Outage());
    for (std::size_t victim : victims) {
      mGroup.Thaw(victim);
    }
  }

  void Cut()
  {
    for (std::size_t victim : PickVictims()) {
      mGroup.Isolate(victim);
    }
    mGroup.RunFor(Outage());
    mGroup.Heal();
  }

  void Split()
  {
    std::vector<std::size_t> running = Running();
    std::set<std::size_t> half;
    while (half.size() < running.size() / 2) {
      half.insert(running[mGroup.Pick(running.size())]);
    }
    for (std::size_t one : running) {
      for (std::size_t other : running) {
        if (half.contains(one) != half.contains(other)) {
          mGroup.BlockOneWay(one, other);
        }
      }
    }
    mGroup.RunFor(Outage());
    mGroup.Heal();
  }

  static bool IsWeaker(const raft_strength& aOne, const raft_strength& aOther)
  {
    return aOne.Spare() < aOther.Spare();
  }

public:
  replaced_group(std::uint64_t aSeed, int aInitial, std::size_t aTolerated)
    : mGroup(aSeed, aInitial, kElection, false)
    , mInitial(static_cast<std::size_t>(aInitial))
    , mTolerated(aTolerated)
  {
    mGroup.mLosesMessages = aSeed % 2 == 0;
    mGroup.RunFor(kCatchUp);
  }

  void CatchUp()
  {
    mGroup.RunFor(mGroup.mLosesMessages ? kLossyCatchUp : kCatchUp);
  }

  /** Draws one disruption and runs it to its end. */
  void Disrupt()
  {
    switch (mGroup.Pick(12)) {
      case 0:
      case 1:
      case 2:
        mLast = "hosts replaced";
        Replace(false);
        return;
      case 3:
        mLast = "successor lost before it caught up";
        Replace(false);
        mGroup.RunFor(milliseconds(mGroup.Pick(2000)));
        mGroup.Crash(mGroup.Count() - 1);
        mGroup.RunFor(kSuccessorDelay);
        StartNewHost(NewName());
        return;
      case 4:
        mLast = "address taken over";
        Replace(true);
        return;
      case 5: {
        mLast = "planned replacement";
        UpdateSeeds();
        std::size_t leaving = PickVictim();
        StartNewHost(NewName());
        mGroup.RunFor(kCatchUp);
        mGroup.Transfer(leaving);
        mGroup.RunFor(milliseconds(500));
        mGroup.Crash(leaving);
        return;
      }
      case 6:
        mLast = "spare added";
        if (Running().size() < kMaxHosts) {
          UpdateSeeds();
          StartNewHost(NewName());
        }
        return;
      case 7:
        mLast = "disk lost";
        LoseDisk();
        return;
      case 8:
        mLast = "restart";
        if (mGroup.Pick(3) == 0) {
          Restart(Running(), milliseconds(mGroup.Pick(1000)));
        } else {
          Restart(PickVictims(), Outage());
        }
        return;
      case 9:
        mLast = "freeze";
        Freeze();
        return;
      case 10:
        mLast = "cut";
        Cut();
        return;
      default:
        mLast = "split";
        Split();
        return;
    }
  }

  /** Why the group does not bear as many losses as at first, or empty. */
  std::string Weakness()
  {
    if (!mGroup.Violation().empty()) {
      return mGroup.Violation();
    }
    std::size_t leader = mGroup.LeaderPosition();
    if (leader == mGroup.Count()) {
      return "After " + mLast + ": no leader.";
    }
    const raft_node& node = *mGroup.Member(leader).mNode;
    raft_strength strength = node.Strength(mGroup.Now());
    std::size_t committed = mGroup.CommittedCount();
    mGroup.Propose(leader);
    mGroup.RunFor(milliseconds(500));
    if (mGroup.CommittedCount() == committed) {
      return "After " + mLast + ": nothing is committed.";
    }
    if (mGroup.mLosesMessages && node.Role() == raft_role::Leader) {
      // All replies of a voter within one election time-out may be lost.
      strength = std::max(strength, node.Strength(mGroup.Now()), IsWeaker);
    }
    if (strength.Spare() < (mInitial - 1) / 2) {
      return "After " + mLast + ": " +
             std::to_string(strength.mReachableVoters) + " of " +
             std::to_string(strength.mVoters) + " voters run, of " +
             std::to_string(mInitial) + " at first.";
    }
    return {};
  }
};

/** Runs one drawn series; the first weakness, or empty. */
std::string
RunSeries(std::uint64_t aSeed, int aInitial, std::size_t aTolerated)
{
  replaced_group group(aSeed, aInitial, aTolerated);
  for (int event = 1; event <= kEventsForEachSeries; ++event) {
    group.Disrupt();
    group.CatchUp();
    std::string weakness = group.Weakness();
    if (!weakness.empty()) {
      return std::to_string(aInitial) + " hosts, seed " +
             std::to_string(aSeed) + ", event " + std::to_string(event) + ": " +
             weakness;
    }
  }
  return {};
}

std::uint64_t
SeriesCount(std::uint64_t aDefault)
{
  const char* count = std::getenv("RAFT_SERIES");
  return count == nullptr ? aDefault : std::strtoull(count, nullptr, 10);
}

/** Does anything to any host, with no regard to what the group tolerates. */
void
DisruptAnyHost(simulated_group& aGroup)
{
  std::size_t host = aGroup.Pick(aGroup.Count());
  switch (aGroup.Pick(13)) {
    case 0:
      aGroup.Crash(host);
      return;
    case 1:
    case 2:
      if (!aGroup.IsRunning(host)) {
        aGroup.Start(host);
      }
      return;
    case 3:
      aGroup.Freeze(host);
      return;
    case 4:
    case 5:
      aGroup.Thaw(host);
      return;
    case 6:
      aGroup.Isolate(host);
      return;
    case 7:
      aGroup.BlockOneWay(host, aGroup.Pick(aGroup.Count()));
      return;
    case 8:
    case 9:
      aGroup.Heal();
      return;
    case 10:
      aGroup.Transfer(host);
      return;
    case 11:
      aGroup.Compact(host);
      return;
    default:
      aGroup.Read(host);
      return;
  }
}

/** Loses the leader and others at once for good; a successor of each starts. */
void
ReplaceWithLeader(simulated_group& aGroup, std::size_t aCount, int aRound)
{
  std::set<std::size_t> lost{ aGroup.LeaderPosition() };
  while (lost.size() < aCount) {
    std::size_t host = aGroup.Pick(aGroup.Count());
    if (aGroup.IsRunning(host)) {
      lost.insert(host);
    }
  }
  aGroup.mSeeds.clear();
  for (std::size_t host = 0; host < aGroup.Count(); ++host) {
    if (aGroup.IsRunning(host) && !lost.contains(host)) {
      aGroup.mSeeds.insert(aGroup.Member(host).mId.mHost);
    }
  }
  for (std::size_t host : lost) {
    aGroup.Crash(host);
  }
  aGroup.RunFor(kSuccessorDelay);
  for (std::size_t host : lost) {
    aGroup.Start(aGroup.AddHost("n" + std::to_string(aRound) + "-" +
                                std::to_string(host)));
  }
}

raft_message
JoinRequest(const std::string& aHost, const host_id& aTo)
{
  raft_message join;
  join.mKind = raft_message_kind::Join;
  join.mFrom = { { aHost }, { "x" } };
  join.mTo = { aTo, {} };
  return join;
}

}

TEST_GROUP(raft_replacement){};

TEST(raft_replacement, AnySeriesOfToleratedLossesLeavesAWholeGroup)
{
  for (std::uint64_t seed = 1; seed <= SeriesCount(kSeries); ++seed) {
    bool isLarge = seed % 3 == 0;
    std::string weakness = RunSeries(seed, isLarge ? 9 : 5, isLarge ? 2 : 1);
    STRCMP_EQUAL("", weakness.c_str());
  }
}

TEST(raft_replacement, ASeriesOfLossesLeavesAWholeGroupOfAnotherSize)
{
  for (std::uint64_t seed = 1; seed <= SeriesCount(30); ++seed) {
    for (int initial : { 3, 4, 6, 9 }) {
      std::string weakness = RunSeries(seed, initial, initial == 9 ? 3 : 1);
      STRCMP_EQUAL("", weakness.c_str());
    }
  }
}

TEST(raft_replacement, AnyHistoryKeepsWhatWasDecidedAndEndsWithALeader)
{
  for (std::uint64_t seed = 1; seed <= SeriesCount(40); ++seed) {
    int initial = std::array{ 5, 9, 4, 3 }[seed % 4];
    simulated_group group(seed, initial, kElection, seed % 5 == 0);
    group.mSeeds = { { "h0" }, { "h1" }, { "h2" } };
    group.RunFor(milliseconds(3000));
    int added = 0;
    for (int event = 0; event < 200; ++event) {
      if (event % 30 == 29) {
        group.Start(group.AddHost("n" + std::to_string(added++)));
      }
      DisruptAnyHost(group);
      group.Propose(group.LeaderPosition() % group.Count());
      group.RunFor(milliseconds(50 + group.Pick(600)));
    }
    group.Heal();
    for (std::size_t host = 0; host < group.Count(); ++host) {
      group.Thaw(host);
      if (!group.IsRunning(host)) {
        group.Start(host);
      }
    }
    group.RunFor(milliseconds(15'000));
    std::string text = "Seed " + std::to_string(seed);
    STRCMP_EQUAL_TEXT("", group.Violation().c_str(), text.c_str());
    CHECK_TEXT(group.LeaderPosition() < group.Count(), text.c_str());
  }
}

TEST(raft_replacement, ThreeOfNineHostsMayBeLostAtOnceWithTheLeader)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    simulated_group group(seed, 9, kElection, false);
    group.mLosesMessages = false;
    group.RunFor(kCatchUp);
    for (int round = 0; round < 5; ++round) {
      ReplaceWithLeader(group, 3, round);
      group.RunFor(kCatchUp);
      CHECK(group.LeaderPosition() < group.Count());
      raft_strength strength =
        group.Member(group.LeaderPosition()).mNode->Strength(group.Now());
      LONGS_EQUAL(4, strength.Spare());
    }
    STRCMP_EQUAL("", group.Violation().c_str());
  }
}

TEST(raft_replacement, HostsThatAskToJoinAndAreGoneKeepNoSuccessorOut)
{
  simulated_group group(4, 5, kElection, false);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t leader = group.LeaderPosition();
  const host_id& address = group.Member(leader).mId.mHost;
  group.mSeeds = { address };
  for (int number = 0; number < 40; ++number) {
    group.Deliver(JoinRequest("g" + std::to_string(number), address));
  }
  group.Crash((leader + 1) % group.Count());
  group.RunFor(kSuccessorDelay);
  std::size_t successor = group.AddHost("n0");
  group.Start(successor);
  group.RunFor(kCatchUp);
  const raft_node& node = *group.Member(leader).mNode;
  CHECK(node.IsVoter(group.Member(successor).mId));
  LONGS_EQUAL(2, node.Strength(group.Now()).Spare());
  group.RunFor(milliseconds(30'000));
  LONGS_EQUAL(5, node.Peers().size());
}

TEST(raft_replacement, AMemberWhoseKnownMembersAreGoneJoinsThroughNewSettings)
{
  simulated_group group(6, 4, kElection, false);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t away = (group.LeaderPosition() + 1) % group.Count();
  group.Isolate(away);
  group.RunFor(kLongAbsence);
  for (std::size_t host = 0; host < 4; ++host) {
    if (host == away) {
      continue;
    }
    group.mSeeds = { group.Member(group.LeaderPosition()).mId.mHost };
    std::size_t successor = group.AddHost("n" + std::to_string(host));
    group.Start(successor);
    group.RunFor(kCatchUp);
    group.Crash(host);
    group.RunFor(kCatchUp);
  }
  group.Heal();
  group.RunFor(kCatchUp);
  const raft_peer_id& id = group.Member(away).mId;
  CHECK(!group.Member(group.LeaderPosition()).mNode->IsMember(id));
  group.Member(away).mNode->SetKnownHosts(
    { group.Member(group.LeaderPosition()).mId.mHost });
  group.RunFor(kCatchUp);
  CHECK(group.Member(group.LeaderPosition()).mNode->IsMember(id));
  CHECK(!group.IsCutOff(away));
  STRCMP_EQUAL("", group.Violation().c_str());
}

TEST(raft_replacement, OfConfiguredHostsOnlyTheListedOnesJoin)
{
  simulated_group group(8, 4, kElection);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t leader = group.LeaderPosition();
  std::size_t away = (leader + 1) % group.Count();
  const raft_node& node = *group.Member(leader).mNode;
  group.Crash(away);
  group.RunFor(kLongAbsence);
  CHECK(!node.IsMember(group.Member(away).mId));
  std::size_t unlisted = group.AddHost("n0");
  group.Start(unlisted);
  group.Start(away);
  group.RunFor(kCatchUp);
  CHECK(node.IsMember(group.Member(away).mId));
  CHECK(!node.IsMember(group.Member(unlisted).mId));
}

TEST(raft_replacement, ALateTransferToARemovedMemberLosesNothing)
{
  simulated_group group(9, 4, kElection, false);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t leader = group.LeaderPosition();
  std::size_t away = (leader + 1) % group.Count();
  group.Isolate(away);
  group.RunFor(kLongAbsence);
  CHECK(!group.Member(leader).mNode->IsMember(group.Member(away).mId));
  std::size_t committed = CommitSome(group, 3);
  raft_message late;
  late.mKind = raft_message_kind::TimeoutNow;
  late.mFrom = group.Member(leader).mId;
  late.mTo = group.Member(away).mId;
  late.mTerm = group.Member(away).mNode->Term();
  group.Deliver(late, true);
  group.Heal();
  group.RunFor(kCatchUp);
  CHECK(group.LeaderPosition() != away);
  CHECK(group.LeaderPosition() < group.Count());
  CHECK(CommitSome(group, 1) > committed);
  CHECK(group.Member(group.LeaderPosition())
          .mNode->IsMember(group.Member(away).mId));
  STRCMP_EQUAL("", group.Violation().c_str());
}

TEST(raft_replacement, HostsLostForGoodOneByOneLeaveAGroupThatDecides)
{
  for (int initial : { 5, 9 }) {
    simulated_group group(
      static_cast<std::uint64_t>(initial), initial, kElection, false);
    group.mLosesMessages = false;
    group.RunFor(milliseconds(3000));
    for (std::size_t oldest = 0; oldest < 12; ++oldest) {
      std::size_t committed = CommitSome(group, 3);
      group.mSeeds = { group.Member(oldest + 1).mId.mHost };
      group.Crash(oldest);
      group.RunFor(kSuccessorDelay);
      group.Start(group.AddHost("n" + std::to_string(oldest)));
      group.RunFor(kCatchUp);
      std::string lost =
        std::to_string(oldest + 1) + " of " + std::to_string(initial) + " lost";
      CHECK_TEXT(group.LeaderPosition() < group.Count(), lost.c_str());
      CHECK_TEXT(CommitSome(group, 1) > committed, lost.c_str());
    }
    STRCMP_EQUAL("", group.Violation().c_str());
  }
}

TEST(raft_replacement, AMemberThatWasRemovedWhileItWasAwayJoinsAgain)
{
  simulated_group group(3, 4, kElection, false);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t away = (group.LeaderPosition() + 1) % group.Count();
  group.Isolate(away);
  group.RunFor(kLongAbsence);
  const raft_peer_id& id = group.Member(away).mId;
  CHECK(!group.Member(group.LeaderPosition()).mNode->IsMember(id));
  group.Heal();
  group.RunFor(kCatchUp);
  CHECK(group.Member(group.LeaderPosition()).mNode->IsMember(id));
  CHECK(!group.IsCutOff(away));
  STRCMP_EQUAL("", group.Violation().c_str());
}

TEST(raft_replacement, AJoinRequestThatComesDuringAnotherChangeIsKept)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    simulated_group group(seed, 5, kElection, false);
    group.mLosesMessages = false;
    group.RunFor(milliseconds(3000));
    group.mSeeds = { group.Member(group.LeaderPosition()).mId.mHost };
    std::vector<std::size_t> added;
    for (const char* name : { "n0", "n1", "n2" }) {
      added.push_back(group.AddHost(name));
      group.Start(added.back());
    }
    // Before any of them asks again.
    group.RunFor(milliseconds(900));
    for (std::size_t position : added) {
      CHECK(group.Member(group.LeaderPosition())
              .mNode->IsMember(group.Member(position).mId));
    }
  }
}

TEST(raft_replacement, ALateCopyOfAReplyDoesNotShowThatAPeerRuns)
{
  simulated_group group(5, 5, kElection, false);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t leader = group.LeaderPosition();
  std::size_t lost = (leader + 1) % group.Count();
  raft_message late;
  late.mKind = raft_message_kind::AppendReply;
  late.mFrom = group.Member(lost).mId;
  late.mTo = group.Member(leader).mId;
  late.mTerm = group.Member(leader).mNode->Term();
  late.mNumber = group.Member(leader).mNode->HeartbeatRound() - 1;
  group.Crash(lost);
  group.RunFor(milliseconds(800));
  group.Deliver(late);
  group.RunFor(milliseconds(200));
  LONGS_EQUAL(
    4, group.Member(leader).mNode->Strength(group.Now()).mReachableVoters);
}

TEST(raft_replacement, ALearnerThatIsGoneIsRemoved)
{
  simulated_group group(7, 5, kElection, false);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  group.mSeeds = { group.Member(group.LeaderPosition()).mId.mHost };
  std::size_t learner = group.AddHost("n0");
  group.Start(learner);
  const raft_node& leader = *group.Member(group.LeaderPosition()).mNode;
  while (!leader.IsMember(group.Member(learner).mId)) {
    group.RunStep();
  }
  group.Crash(learner);
  group.RunFor(milliseconds(15'000));
  LONGS_EQUAL(5, group.Member(group.LeaderPosition()).mNode->Peers().size());
}

TEST(raft_replacement, TwoOfFiveHostsMayBeLostAtOnceWithTheLeader)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    simulated_group group(seed, 5, kElection, false);
    group.mLosesMessages = false;
    group.RunFor(kCatchUp);
    for (int round = 0; round < 5; ++round) {
      std::size_t leader = group.LeaderPosition();
      std::string text =
        "Seed " + std::to_string(seed) + ", round " + std::to_string(round);
      CHECK_TEXT(leader < group.Count(), text.c_str());
      raft_strength strength =
        group.Member(leader).mNode->Strength(group.Now());
      LONGS_EQUAL_TEXT(2, strength.Spare(), text.c_str());
      ReplaceWithLeader(group, 2, round);
      group.RunFor(kCatchUp);
    }
    STRCMP_EQUAL("", group.Violation().c_str());
  }
}

TEST(raft_replacement, TwoDisksMayBeLostWhileAZoneIsOffBesideASpare)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    simulated_group group(seed, 5, kElection, false);
    group.mLosesMessages = false;
    group.RunFor(milliseconds(3000));
    std::size_t leader = group.LeaderPosition();
    group.mSeeds = { group.Member(leader).mId.mHost };
    group.Start(group.AddHost("spare"));
    group.RunFor(kCatchUp);
    CommitSome(group, 3);
    std::size_t other = (leader + 1) % 5;
    std::size_t off1 = (leader + 3) % 5;
    std::size_t off2 = (leader + 4) % 5;
    group.Crash(off1);
    group.Crash(off2);
    group.RunFor(kCatchUp);
    group.LoseDisk(leader);
    group.LoseDisk(other);
    group.RunFor(kSuccessorDelay);
    for (std::size_t host : { leader, other, off1, off2 }) {
      group.Start(host);
    }
    group.RunFor(milliseconds(15'000));
    std::string text = "Seed " + std::to_string(seed);
    CHECK_TEXT(group.LeaderPosition() < group.Count(), text.c_str());
    STRCMP_EQUAL("", group.Violation().c_str());
  }
}

TEST(raft_replacement, AnEarlierDiskThatIsBackDecidesNothingBesideItsSuccessor)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    simulated_group group(seed, 5, kElection, false);
    group.mLosesMessages = false;
    group.RunFor(milliseconds(3000));
    CommitSome(group, 3);
    std::size_t leader = group.LeaderPosition();
    std::size_t swapped = (leader + 1) % 5;
    std::size_t kept = (leader + 2) % 5;
    std::size_t cut1 = (leader + 3) % 5;
    std::size_t cut2 = (leader + 4) % 5;
    simulated_member& member = group.Member(swapped);
    raft_peer_id earlier = member.mId;
    simulated_storage disk = member.mStorage;
    group.mSeeds = { group.Member(leader).mId.mHost };
    group.LoseDisk(swapped);
    group.Start(swapped);
    while (!group.Member(cut1).mNode->IsMember(member.mId)) {
      group.RunStep();
    }
    for (std::size_t cut : { cut1, cut2 }) {
      for (std::size_t with : { leader, kept, swapped }) {
        group.BlockOneWay(cut, with);
        group.BlockOneWay(with, cut);
      }
    }
    group.RunFor(milliseconds(500));
    group.Propose(leader);
    group.RunFor(milliseconds(200));
    // The folder that was not mounted is back, on the other side of the split.
    group.Crash(swapped);
    member.mId = earlier;
    member.mStorage = disk;
    group.Heal();
    for (std::size_t cut : { cut1, cut2, swapped }) {
      for (std::size_t with : { leader, kept }) {
        group.BlockOneWay(cut, with);
        group.BlockOneWay(with, cut);
      }
    }
    group.Start(swapped);
    group.RunFor(milliseconds(5000));
    std::string text = "Seed " + std::to_string(seed);
    STRCMP_EQUAL_TEXT("", group.Violation().c_str(), text.c_str());
  }
}

TEST(raft_replacement, ALateRequestOfAnEarlierDiskRemovesNoLearner)
{
  simulated_group group(11, 5, kElection, false);
  group.mLosesMessages = false;
  group.RunFor(milliseconds(3000));
  std::size_t leader = group.LeaderPosition();
  const host_id& address = group.Member(leader).mId.mHost;
  group.mSeeds = { address };
  std::size_t learner = group.AddHost("n0");
  group.Start(learner);
  group.RunFor(milliseconds(3000));
  const raft_node& node = *group.Member(leader).mNode;
  CHECK(node.IsMember(group.Member(learner).mId));
  group.Deliver(JoinRequest("n0", address));
  CHECK(node.IsMember(group.Member(learner).mId));
}
