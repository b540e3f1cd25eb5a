#include "tests/decisions/group/simulated_group.h"

#include <algorithm>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;
using namespace test;

constexpr milliseconds kElection{ 900 };
/** Time from a return or a start until the group must bear the next loss. */
constexpr milliseconds kCatchUp{ 4000 };
constexpr std::uint64_t kMaxOutageMs = 15'000;
constexpr std::uint64_t kSeries = 100;
constexpr int kEventsForEachSeries = 8;

/** Five voters, two of them in domain a, and a spare host there. */
class dealt_group
{
  simulated_group mGroup;
  std::string mDomains = "aabcda";
  int mNextHost = 0;

  void ShareDomains()
  {
    for (std::size_t position = 0; position < mGroup.Count(); ++position) {
      mGroup.mDomains[mGroup.Member(position).mId.mHost] = { mDomains.substr(
        position, 1) };
    }
    mGroup.mSeeds.clear();
    for (std::size_t position = 0; position < mGroup.Count(); ++position) {
      if (mGroup.IsRunning(position)) {
        mGroup.Member(position).mNode->SetFailureDomains(mGroup.mDomains);
        mGroup.mSeeds.insert(mGroup.Member(position).mId.mHost);
      }
    }
  }

public:
  explicit dealt_group(std::uint64_t aSeed)
    : mGroup(aSeed, 5, kElection, false)
  {
    mGroup.mLosesMessages = false;
    std::size_t spare = mGroup.AddHost("spare");
    ShareDomains();
    mGroup.Start(spare);
    mGroup.RunFor(kCatchUp);
  }

  simulated_group& Group() { return mGroup; }

  std::size_t PickRunning()
  {
    std::size_t position = mGroup.Pick(mGroup.Count());
    while (!mGroup.IsRunning(position)) {
      position = mGroup.Pick(mGroup.Count());
    }
    return position;
  }

  void Replace(std::size_t aPosition)
  {
    mGroup.Crash(aPosition);
    mGroup.RunFor(milliseconds(1000));
    mDomains += mDomains[aPosition];
    std::size_t successor = mGroup.AddHost("n" + std::to_string(mNextHost++));
    ShareDomains();
    mGroup.Start(successor);
  }

  /** Draws one loss of a single host and lets the group catch up after it. */
  void Disrupt()
  {
    std::size_t host = PickRunning();
    auto outage = milliseconds(1 + mGroup.Pick(kMaxOutageMs));
    switch (mGroup.Pick(3)) {
      case 0:
        mGroup.Freeze(host);
        mGroup.RunFor(outage);
        mGroup.Thaw(host);
        break;
      case 1:
        mGroup.Crash(host);
        mGroup.RunFor(outage);
        mGroup.Start(host);
        break;
      default:
        Replace(host);
        break;
    }
    mGroup.RunFor(kCatchUp);
  }

  void LoseDomain(char aDomain)
  {
    for (std::size_t position = 0; position < mGroup.Count(); ++position) {
      if (mDomains[position] == aDomain && mGroup.IsRunning(position)) {
        mGroup.Crash(position);
      }
    }
  }

  /** The failure domain without which the running voters are no majority. */
  std::string DomainThatTheGroupNeeds()
  {
    std::size_t leader = mGroup.LeaderPosition();
    if (leader == mGroup.Count()) {
      return "no leader";
    }
    const auto& peers = mGroup.Member(leader).mNode->Peers();
    std::size_t voters = 0;
    std::size_t running = 0;
    std::map<char, std::size_t> inDomain;
    for (std::size_t position = 0; position < mGroup.Count(); ++position) {
      for (const raft_peer& peer : peers) {
        bool isVoter = peer.mIsVoter && peer.mId == mGroup.Member(position).mId;
        voters += isVoter ? 1 : 0;
        if (isVoter && mGroup.IsRunning(position)) {
          ++running;
          ++inDomain[mDomains[position]];
        }
      }
    }
    for (const auto& [domain, count] : inDomain) {
      if (running - count < voters / 2 + 1) {
        return std::string("domain ") + domain;
      }
    }
    return "";
  }
};

}

TEST_GROUP(raft_failure_domains){};

TEST(raft_failure_domains, TheGroupBearsTheLossOfADomainAfterAnyFreeze)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (std::size_t frozen : { 2, 3, 4 }) {
      dealt_group dealt(seed);
      simulated_group& group = dealt.Group();
      group.Freeze(frozen);
      group.RunFor(milliseconds(4000));
      group.Thaw(frozen);
      group.RunFor(kCatchUp);
      dealt.LoseDomain('a');
      group.RunFor(kCatchUp);
      CHECK_TRUE_TEXT(group.LeaderPosition() < group.Count(),
                      ("seed " + std::to_string(seed)).c_str());
      std::size_t before = group.CommittedCount();
      CommitSome(group, 3);
      CHECK(group.CommittedCount() > before);
      STRCMP_EQUAL("", group.Violation().c_str());
    }
  }
}

TEST(raft_failure_domains, NoSeriesOfLostHostsLeavesAMajorityToOneDomain)
{
  for (std::uint64_t seed = 1; seed <= kSeries; ++seed) {
    dealt_group dealt(seed);
    for (int event = 0; event < kEventsForEachSeries; ++event) {
      dealt.Disrupt();
      std::string needed = dealt.DomainThatTheGroupNeeds();
      std::string text = "seed " + std::to_string(seed) + ", event " +
                         std::to_string(event) + ": needs " + needed;
      CHECK_TRUE_TEXT(needed.empty(), text.c_str());
    }
    STRCMP_EQUAL("", dealt.Group().Violation().c_str());
  }
}
