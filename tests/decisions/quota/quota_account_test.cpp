#include "decisions/quota/quota_account.h"
#include "decisions/quota/quota_gate.h"

#include <set>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };
const team_id kTeam{ "t" };
/** 10 a second and 5 at once: 55 in a window of 5 s. */
const quota_terms kTerms{ 1, 10, 5 };
constexpr std::size_t kQuota = 55;
const quota_standing kOwner{ quota_role::Owner, 1, 10 };

std::vector<host_id>
Hosts(std::size_t aCount)
{
  std::vector<host_id> hosts;
  for (std::size_t number = 0; number < aCount; ++number) {
    hosts.push_back(host_id{ "e" + std::to_string(number) });
  }
  return hosts;
}

}

/** An account that one host asks and tells of its requests. */
TEST_GROUP(quota_account)
{
  quota_account mAccount;
  quota_gate mGate;
  std::uint64_t mSequence = 0;
  incarnation_number mIncarnation = 1;

  void setup() override
  {
    mGate.SetTerms(milliseconds(5000), kTerms);
  }

  quota_answer Send(std::uint64_t aAsk,
                    steady_time aNow,
                    const quota_standing& aStanding = kOwner)
  {
    quota_request request;
    request.mHost.mValue = "e1";
    request.mIncarnation = mIncarnation;
    request.mSequence = ++mSequence;
    quota_item item = mGate.MakeItem(kTeam, aAsk, aNow);
    mAccount.Record(request, item, aNow);
    quota_change change;
    return mAccount.Answer(request, item, aStanding, aNow, change);
  }

  /** Asks for requests until one is refused; returns how many were granted. */
  std::size_t AskAll(steady_time aNow, const quota_standing& aStanding = kOwner)
  {
    std::size_t granted = 0;
    while (true) {
      std::uint64_t ask = mGate.BeginAsk();
      if (!Send(ask, aNow, aStanding).mIsGranted) {
        mGate.EndAsk(ask);
        return granted;
      }
      mGate.AdmitGranted(ask, { host_id{ "e2" }, 1 }, aNow);
      ++granted;
    }
  }
};

// Guards against an owner that refuses below the quota, or grants more than the
// bound of 1.1 times the quota and 20.
TEST(quota_account, TheOwnerGrantsTheQuotaInEachWindow)
{
  std::size_t granted = AskAll(kNow);
  CHECK(granted >= kQuota);
  CHECK(static_cast<double>(granted) <= 1.1 * kQuota + 20);
  LONGS_EQUAL(0, AskAll(kNow + milliseconds(4900)));
  CHECK(AskAll(kNow + milliseconds(5100)) >= kQuota);
}

// Guards against a Retry-After at which the request is refused again.
TEST(quota_account, ARefusalNamesWhenThereIsRoom)
{
  AskAll(kNow);
  std::uint64_t ask = mGate.BeginAsk();
  quota_answer refused = Send(ask, kNow + milliseconds(1000));
  mGate.EndAsk(ask);
  CHECK(!refused.mIsGranted);
  CHECK(refused.mRetryIn >= refused.mRoomIn);
  LONGS_EQUAL(4000, refused.mRoomIn.count());
  steady_time back = kNow + milliseconds(1001) + refused.mRetryIn;
  CHECK(Send(mGate.BeginAsk(), back).mIsGranted);
}

// Guards against a lost reply or a lost request that takes its token for a
// whole window.
TEST(quota_account, ATokenThatWasNotUsedIsFreeWithTheNextMessage)
{
  std::uint64_t lost = mGate.BeginAsk();
  CHECK(Send(lost, kNow).mIsGranted);
  DOUBLES_EQUAL(1, mAccount.Used(kNow), 0);
  mGate.EndAsk(lost);
  Send(0, kNow + milliseconds(10));
  DOUBLES_EQUAL(0, mAccount.Used(kNow + milliseconds(10)), 0);

  std::uint64_t used = mGate.BeginAsk();
  CHECK(Send(used, kNow + milliseconds(20)).mIsGranted);
  mGate.AdmitGranted(used, {}, kNow + milliseconds(25));
  Send(0, kNow + milliseconds(30));
  DOUBLES_EQUAL(1, mAccount.Used(kNow + milliseconds(30)), 0);
  mGate.Return(kNow + milliseconds(25), kNow + milliseconds(40));
  Send(0, kNow + milliseconds(50));
  DOUBLES_EQUAL(0, mAccount.Used(kNow + milliseconds(50)), 0);
}

// Guards against repeated and overtaken reports that count twice, and against
// the requests of an earlier incarnation that are forgotten.
TEST(quota_account, ReportsAreCumulative)
{
  mGate.Admit(kNow);
  mGate.Admit(kNow + milliseconds(500));
  quota_request old;
  old.mHost.mValue = "e1";
  old.mIncarnation = mIncarnation;
  old.mSequence = ++mSequence;
  quota_item oldItem = mGate.MakeItem(kTeam, 0, kNow + milliseconds(500));
  mGate.Admit(kNow + milliseconds(600));
  for (int time = 0; time < 3; ++time) {
    Send(0, kNow + milliseconds(700));
    DOUBLES_EQUAL(3, mAccount.Used(kNow + milliseconds(700)), 0);
  }
  mAccount.Record(old, oldItem, kNow + milliseconds(800));
  DOUBLES_EQUAL(3, mAccount.Used(kNow + milliseconds(800)), 0);

  mGate = quota_gate();
  mGate.SetTerms(milliseconds(5000), kTerms);
  ++mIncarnation;
  mGate.Admit(kNow + milliseconds(900));
  Send(0, kNow + milliseconds(900));
  DOUBLES_EQUAL(4, mAccount.Used(kNow + milliseconds(900)), 0);
  DOUBLES_EQUAL(0, mAccount.Used(kNow + milliseconds(5901)), 0);
}

// Guards against an owner that keeps to a limit that was lowered or raised.
TEST(quota_account, TheLatestConfigurationSetsTheLimit)
{
  quota_terms lower{ 2, 1, 0 };
  AskAll(kNow);
  mGate.SetTerms(milliseconds(5000), lower);
  steady_time later = kNow + milliseconds(5100);
  std::size_t granted = AskAll(later);
  CHECK(granted >= 5);
  CHECK(static_cast<double>(granted) <= 1.1 * 5 + 20);
  // A host that is behind doesn't bring the former limit back.
  mGate = quota_gate();
  mGate.SetTerms(milliseconds(5000), kTerms);
  ++mIncarnation;
  LONGS_EQUAL(0, AskAll(later + milliseconds(10)));
}

// Guards against a deputy that grants the quota once more while the owner,
// which one host didn't reach, grants it too.
TEST(quota_account, TheDeputyGrantsOnlyItsPartOfTheMargin)
{
  quota_standing deputy{ quota_role::Deputy, 1, 10 };
  std::size_t byOwner = AskAll(kNow);
  mAccount = {};
  mGate = quota_gate();
  mGate.SetTerms(milliseconds(5000), kTerms);
  std::size_t byDeputy = AskAll(kNow, deputy);
  CHECK(byDeputy > 0);
  CHECK(static_cast<double>(byOwner + byDeputy) <= 1.1 * kQuota + 20);
}

// Guards against hosts that learn too late that a team is near its limit: the
// notice must leave time to spread.
TEST(quota_account, AFastRiseIsAnnouncedBeforeTheLimitIsReached)
{
  constexpr milliseconds kGap{ 14 };
  bool isAnnounced = false;
  std::size_t before = 0;
  for (steady_time now = kNow; !isAnnounced; now += kGap) {
    mGate.Admit(now);
    Send(0, now);
    isAnnounced = mAccount.TakeNotice(now).has_value();
    ++before;
  }
  // 0.6 s at this rate are 42 requests.
  CHECK(before + 42 <= 1.1 * kQuota + 20);
  CHECK(!mAccount.TakeNotice(kNow + before * kGap).has_value());
}

// Guards against teams at their usual rate that must ask for each request.
TEST(quota_account, ATeamAtItsUsualRateStaysOpen)
{
  constexpr milliseconds kGap{ 160 };
  for (steady_time now = kNow; now < kNow + std::chrono::seconds(20);
       now += kGap) {
    mGate.Admit(now);
    LONGS_EQUAL(0, Send(0, now).mMeteredFor->count());
  }
}

// Guards against two hosts that both take themselves for the owner, and against
// an owner that changes with hosts that have nothing to do with it.
TEST(quota_account, AllHostsRankOwnersAlike)
{
  std::vector<host_id> hosts = Hosts(104);
  std::set<std::size_t> owners;
  for (int number = 0; number < 77; ++number) {
    team_id team{ "team" + std::to_string(number) };
    std::vector<std::size_t> ranked = RankOwners(team, hosts);
    LONGS_EQUAL(2, ranked.size());
    owners.insert(ranked[0]);
    std::vector<host_id> left = hosts;
    left.erase(left.begin() + static_cast<std::ptrdiff_t>(ranked[0]));
    CHECK(left[RankOwners(team, left)[0]] == hosts[ranked[1]]);
  }
  CHECK(owners.size() > 40);
  LONGS_EQUAL(1, RankOwners(kTeam, Hosts(1)).size());
  LONGS_EQUAL(0, RankOwners(kTeam, {}).size());
}

// Guards against hosts without contact that together admit more than their
// parts.
TEST(quota_account, TheDealtSharesAddUpToTheWhole)
{
  std::vector<host_id> hosts = Hosts(104);
  for (double whole : { 0.0, 0.9, 7.0, 104.0, 250.5 }) {
    std::size_t sum = 0;
    for (const host_id& host : hosts) {
      sum += DealtShare(whole, kTeam, host, hosts);
    }
    LONGS_EQUAL(static_cast<std::size_t>(whole), sum);
  }
}
