#include "decisions/group/raft_membership.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

raft_peer
Peer(const std::string& aHost, const std::string& aDisk, bool aIsVoter)
{
  return { { { aHost }, { aDisk } }, aIsVoter };
}

}

TEST_GROUP(raft_membership){};

TEST(raft_membership, NamesEachMemberThatWasAddedPromotedOrRemoved)
{
  std::vector<raft_peer> earlier{ Peer("a", "1", true),
                                  Peer("b", "1", true),
                                  Peer("c", "1", false),
                                  Peer("d", "1", false) };
  std::vector<raft_peer> later{ Peer("b", "1", true),
                                Peer("c", "1", true),
                                Peer("a", "2", false),
                                Peer("e", "1", true) };
  std::vector<member_change> expected{
    { { { "a" }, { "1" } }, member_change_kind::VoterRemoved },
    { { { "d" }, { "1" } }, member_change_kind::LearnerRemoved },
    { { { "c" }, { "1" } }, member_change_kind::Promoted },
    { { { "a" }, { "2" } }, member_change_kind::LearnerAdded },
    { { { "e" }, { "1" } }, member_change_kind::VoterAdded },
  };
  CHECK(expected == CompareMembers(earlier, later));
  CHECK(CompareMembers(later, later).empty());
}

TEST(raft_membership, SpareVotersAreThoseAboveTheQuorum)
{
  raft_strength strength;
  strength.mVoters = 7;
  strength.mQuorum = 4;
  strength.mReachableVoters = 5;
  LONGS_EQUAL(1, strength.Spare());
  strength.mReachableVoters = 3;
  LONGS_EQUAL(0, strength.Spare());
}
