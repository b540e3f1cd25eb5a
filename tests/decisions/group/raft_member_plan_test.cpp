#include "decisions/group/raft_member_plan.h"
#include "decisions/group/raft_membership.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

raft_peer
Peer(const std::string& aHost, const std::string& aDisk, bool aIsVoter)
{
  return { { { aHost }, { aDisk } }, aIsVoter };
}

/** Members v0, v1, … with a vote, the first one the leader, and learners l0,
 * l1, … that have caught up. */
std::vector<member_view>
Members(int aVoters, int aLearners)
{
  std::vector<member_view> members;
  for (int number = 0; number < aVoters; ++number) {
    members.push_back({ Peer("v" + std::to_string(number), "1", true),
                        milliseconds(0),
                        true,
                        true,
                        {} });
  }
  for (int number = 0; number < aLearners; ++number) {
    members.push_back({ Peer("l" + std::to_string(number), "1", false),
                        milliseconds(0),
                        true,
                        true,
                        {} });
  }
  return members;
}

/** As `Members`; each letter is the failure domain of one. */
std::vector<member_view>
InDomains(const std::string& aVoters, const std::string& aLearners)
{
  auto members = Members(static_cast<int>(aVoters.size()),
                         static_cast<int>(aLearners.size()));
  std::string domains = aVoters + aLearners;
  for (std::size_t number = 0; number < members.size(); ++number) {
    members[number].mDomain.mValue = domains.substr(number, 1);
  }
  return members;
}

/** What the next step changes, as `MEMBER CHANGE`; empty if nothing. */
std::string
NextStep(const std::vector<member_view>& aMembers,
         milliseconds aSinceChange = std::chrono::hours(1))
{
  std::vector<raft_peer> earlier;
  for (const member_view& member : aMembers) {
    earlier.push_back(member.mPeer);
  }
  auto next =
    NextMembers(aMembers, aMembers.front().mPeer.mId, {}, aSinceChange);
  std::string text;
  if (next) {
    for (const member_change& change : CompareMembers(earlier, *next)) {
      text += (text.empty() ? "" : ", ") + change.mMember.mHost.mValue + "/" +
              change.mMember.mDisk.mValue + " " +
              std::string(NameOf(change.mKind));
    }
  }
  return text;
}

constexpr milliseconds kSilent{ 2500 };
constexpr milliseconds kGone{ 15'000 };

}

TEST_GROUP(raft_member_plan){};

TEST(raft_member_plan, ALearnerOfAnotherFailureDomainWaitsForASilentVoter)
{
  auto members = InDomains("aabcd", "a");
  members[2].mSilence = kSilent;
  STRCMP_EQUAL("", NextStep(members).c_str());
  members.back().mDomain.mValue = "b";
  STRCMP_EQUAL("v2/1 voter_removed", NextStep(members).c_str());
  members.back().mDomain.mValue = "c";
  STRCMP_EQUAL("v2/1 voter_removed", NextStep(members).c_str());
}

TEST(raft_member_plan, ALearnerOfAnyFailureDomainReplacesAVoterThatIsGone)
{
  auto members = InDomains("aabcd", "a");
  members[2].mSilence = kGone;
  STRCMP_EQUAL("v2/1 voter_removed", NextStep(members).c_str());
  members.erase(members.begin() + 2);
  STRCMP_EQUAL("l0/1 promoted", NextStep(members).c_str());
}

TEST(raft_member_plan, WhereDomainsAllowNoOtherChoiceALearnerTakesOver)
{
  auto members = InDomains("aabbb", "b");
  members[3].mSilence = kSilent;
  STRCMP_EQUAL("v3/1 voter_removed", NextStep(members).c_str());
  members = InDomains("aaa", "a");
  members[1].mSilence = kSilent;
  STRCMP_EQUAL("v1/1 voter_removed", NextStep(members).c_str());
}

TEST(raft_member_plan, VotesAreDealtAnewWhenAnotherDomainIsReady)
{
  auto members = InDomains("aacda", "b");
  STRCMP_EQUAL("", NextStep(members, milliseconds(500)).c_str());
  STRCMP_EQUAL("l0/1 promoted", NextStep(members).c_str());
  members.back().mPeer.mIsVoter = true;
  STRCMP_EQUAL("v4/1 voter_removed",
               NextStep(members, milliseconds(0)).c_str());
  members.erase(members.begin() + 4);
  STRCMP_EQUAL("", NextStep(members).c_str());
}

TEST(raft_member_plan, VotesAreNotDealtAnewWhileAVoterIsSilent)
{
  auto members = InDomains("aacda", "b");
  members[3].mSilence = milliseconds(1500);
  STRCMP_EQUAL("", NextStep(members).c_str());
}

TEST(raft_member_plan, ADealThatCanNotBeBetterStays)
{
  STRCMP_EQUAL("", NextStep(InDomains("aacda", "a")).c_str());
  STRCMP_EQUAL("", NextStep(InDomains("aaabb", "b")).c_str());
  STRCMP_EQUAL("", NextStep(InDomains("aabcd", "b")).c_str());
}

TEST(raft_member_plan, NineVotersAreDealtAnewOneFewerFirst)
{
  auto members = InDomains("aaaaabbcc", "c");
  STRCMP_EQUAL("v4/1 voter_removed", NextStep(members).c_str());
  members.erase(members.begin() + 4);
  STRCMP_EQUAL("l0/1 promoted", NextStep(members).c_str());
}

TEST(raft_member_plan, VotersDoNotGrowIntoAMajorityOfOneDomain)
{
  STRCMP_EQUAL("", NextStep(InDomains("aabcd", "aa")).c_str());
  STRCMP_EQUAL("l2/1 promoted", NextStep(InDomains("aabcd", "aab")).c_str());
}

TEST(raft_member_plan, ASilentVoterGivesItsPlaceToALearnerBeforeThatIsPromoted)
{
  for (int voters : { 3, 5, 7, 9 }) {
    auto members = Members(voters, 1);
    members[2].mSilence = kSilent;
    STRCMP_EQUAL("v2/1 voter_removed", NextStep(members).c_str());
    members.erase(members.begin() + 2);
    STRCMP_EQUAL("l0/1 promoted", NextStep(members).c_str());
  }
}

TEST(raft_member_plan, OfTwoSilentVotersTheOneWithTheLongerSilenceGoesFirst)
{
  auto members = Members(7, 1);
  members[2].mSilence = kSilent;
  members[5].mSilence = kSilent + milliseconds(1);
  STRCMP_EQUAL("v5/1 voter_removed", NextStep(members).c_str());
}

TEST(raft_member_plan, AVoterThatIsSilentForAMomentStays)
{
  auto members = Members(5, 1);
  members[1].mSilence = milliseconds(1500);
  STRCMP_EQUAL("", NextStep(members).c_str());
}

TEST(raft_member_plan, ALearnerThatIsNotReadyReplacesNoVoter)
{
  auto members = Members(5, 1);
  members[1].mSilence = kSilent;
  members.back().mIsCaughtUp = false;
  STRCMP_EQUAL("", NextStep(members).c_str());
  members.back().mIsCaughtUp = true;
  members.back().mSilence = milliseconds(1500);
  STRCMP_EQUAL("", NextStep(members).c_str());
}

TEST(raft_member_plan, VotersGrowFromOneOddNumberToTheNext)
{
  STRCMP_EQUAL("", NextStep(Members(5, 1)).c_str());
  STRCMP_EQUAL("l0/1 promoted", NextStep(Members(5, 2)).c_str());
  STRCMP_EQUAL("l0/1 promoted", NextStep(Members(6, 1)).c_str());
  STRCMP_EQUAL("", NextStep(Members(9, 3)).c_str());
}

TEST(raft_member_plan, TwoVotersThatAreGoneForLongLeaveAGroupOfMoreThanFive)
{
  auto members = Members(7, 0);
  members[3].mSilence = kGone;
  STRCMP_EQUAL("", NextStep(members).c_str());
  members[4].mSilence = kGone;
  STRCMP_EQUAL("v3/1 voter_removed", NextStep(members).c_str());
  members.erase(members.begin() + 3);
  STRCMP_EQUAL("v4/1 voter_removed", NextStep(members).c_str());
  members.erase(members.begin() + 3);
  members[3].mSilence = kGone;
  members[4].mSilence = kGone;
  STRCMP_EQUAL("", NextStep(members).c_str());
}

TEST(raft_member_plan, ASilentVoterWithoutSuccessorStaysUnlessTheVotersAreEven)
{
  auto members = Members(5, 0);
  members[1].mSilence = kGone;
  STRCMP_EQUAL("", NextStep(members).c_str());
  members = Members(6, 0);
  members[1].mSilence = kSilent;
  STRCMP_EQUAL("", NextStep(members).c_str());
  members[1].mSilence = kGone;
  STRCMP_EQUAL("v1/1 voter_removed", NextStep(members).c_str());
}

TEST(raft_member_plan, ALostDiskGivesItsVoteToTheNextDiskOfItsHost)
{
  for (int voters : { 3, 5, 9 }) {
    auto members = Members(voters, 0);
    members[1].mSilence = milliseconds(500);
    members.push_back(
      { Peer("v1", "2", false), milliseconds(0), true, false, {} });
    STRCMP_EQUAL("", NextStep(members).c_str());
    members.back().mIsCaughtUp = true;
    STRCMP_EQUAL("v1/1 voter_removed", NextStep(members).c_str());
    members.erase(members.begin() + 1);
    STRCMP_EQUAL("v1/2 promoted", NextStep(members).c_str());
  }
  // Of an even number, the other way round: neither step raises the quorum.
  auto members = Members(4, 0);
  members.push_back(
    { Peer("v1", "2", false), milliseconds(0), true, true, {} });
  STRCMP_EQUAL("v1/2 promoted", NextStep(members).c_str());
  members.back().mPeer.mIsVoter = true;
  STRCMP_EQUAL("v1/1 voter_removed", NextStep(members).c_str());
}

TEST(raft_member_plan, VotersGrowOnlyWhenEachOneHasAnsweredThisLeader)
{
  auto members = Members(5, 2);
  members[3].mHasReplied = false;
  STRCMP_EQUAL("", NextStep(members).c_str());
  members[3].mHasReplied = true;
  members[3].mSilence = milliseconds(1500);
  STRCMP_EQUAL("", NextStep(members).c_str());
}

TEST(raft_member_plan, ALearnerMakesTheVotersOddBeforeASilentOneIsRemoved)
{
  auto members = Members(6, 1);
  members[1].mSilence = kGone;
  STRCMP_EQUAL("l0/1 promoted", NextStep(members).c_str());
}
