#include "messages/operator_json.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

wire::StatusReply
Reply(const std::string& aHost, raft_role aRole, std::uint64_t aTerm)
{
  wire::StatusReply reply;
  reply.set_host(aHost);
  reply.set_role(std::string(NameOf(aRole)));
  reply.set_term(aTerm);
  return reply;
}

void
SetStrength(wire::StatusReply& aReply,
            std::uint64_t aVoters,
            std::uint64_t aReachable,
            std::uint64_t aSpare,
            std::uint64_t aLearners)
{
  wire::GroupStrength& strength = *aReply.mutable_strength();
  strength.set_voters(aVoters);
  strength.set_reachable_voters(aReachable);
  strength.set_spare_voters(aSpare);
  strength.set_learners(aLearners);
}

}

TEST_GROUP(operator_json){};

TEST(operator_json, TheStatusHasTheStrengthThatTheLatestLeaderSees)
{
  wire::StatusReply former = Reply("c1", raft_role::Leader, 4);
  SetStrength(former, 5, 5, 2, 0);
  wire::StatusReply leader = Reply("c2", raft_role::Leader, 5);
  SetStrength(leader, 5, 4, 1, 2);
  wire::StatusReply follower = Reply("c3", raft_role::Follower, 5);
  auto status = EncodeStatus({ former, leader, follower });
  STRCMP_EQUAL("c2", status.at("leader").as_string().c_str());
  const auto& strength = status.at("strength").as_object();
  LONGS_EQUAL(4, strength.size());
  LONGS_EQUAL(5, strength.at("voters").to_number<int>());
  LONGS_EQUAL(4, strength.at("reachable_voters").to_number<int>());
  LONGS_EQUAL(1, strength.at("spare_voters").to_number<int>());
  LONGS_EQUAL(2, strength.at("learners").to_number<int>());
}

TEST(operator_json, TheStatusHasNoStrengthWhereItIsNotKnown)
{
  CHECK(EncodeStatus({}).at("strength").is_null());
  wire::StatusReply follower = Reply("c3", raft_role::Follower, 5);
  CHECK(EncodeStatus({ follower }).at("strength").is_null());
  // A leader of an earlier build does not send it.
  wire::StatusReply leader = Reply("c1", raft_role::Leader, 5);
  CHECK(EncodeStatus({ follower, leader }).at("strength").is_null());
}
