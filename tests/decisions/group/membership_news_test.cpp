#include "decisions/group/membership_news.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

record_change
EntryHost(const std::string& aHost,
          entry_host_state aState,
          incarnation_number aIncarnation = 1)
{
  entry_host_record record;
  record.mHost.mValue = aHost;
  record.mIncarnation = aIncarnation;
  record.mState = aState;
  return record;
}

record_change
GoneServer(const std::string& aServer)
{
  server_record record;
  record.mServer.mValue = aServer;
  record.mState = server_state::Gone;
  return record;
}

change_outcome
Outcome(change_verdict aVerdict)
{
  change_outcome outcome;
  outcome.mVerdict = aVerdict;
  return outcome;
}

const record_change kSilent = EntryHost("a", entry_host_state::Silent);

}

TEST_GROUP(membership_news){};

TEST(membership_news, AChangeIsToldOnceWhileItIsProposedAgain)
{
  membership_news news;
  std::vector<record_change> changes{ kSilent, GoneServer("s") };
  LONGS_EQUAL(2, news.OnProposed(changes).size());
  news.OnFailed("no leader");
  for (int round = 0; round < 300; ++round) {
    LONGS_EQUAL(0, news.OnProposed(changes).size());
    news.OnFailed("no leader");
  }
  changes.push_back(EntryHost("b", entry_host_state::Silent));
  auto told = news.OnProposed(changes);
  LONGS_EQUAL(1, told.size());
  CHECK(told.front() == changes.back());
}

TEST(membership_news, AnotherStateOrIncarnationIsNew)
{
  membership_news news;
  LONGS_EQUAL(1, news.OnProposed({ kSilent }).size());
  LONGS_EQUAL(
    1, news.OnProposed({ EntryHost("a", entry_host_state::Joining) }).size());
  LONGS_EQUAL(
    1,
    news.OnProposed({ EntryHost("a", entry_host_state::Joining, 2) }).size());
  LONGS_EQUAL(1, news.OnProposed({ kSilent }).size());
}

TEST(membership_news, ALaterVersionOfTheSameStateIsNotNew)
{
  membership_news news;
  news.OnProposed({ kSilent });
  auto later = std::get<entry_host_record>(kSilent);
  later.mVersion = 9;
  LONGS_EQUAL(0, news.OnProposed({ later }).size());
}

TEST(membership_news, AChangeThatIsProposedTwiceAtATimeIsToldOnce)
{
  membership_news news;
  LONGS_EQUAL(1, news.OnProposed({ kSilent, kSilent }).size());
}

TEST(membership_news, AChangeThatWasNoLongerProposedIsNewAgain)
{
  membership_news news;
  news.OnProposed({ kSilent });
  news.OnProposed({});
  LONGS_EQUAL(1, news.OnProposed({ kSilent }).size());
}

TEST(membership_news, ARecordedChangeIsNewAgainAndARefusedOneIsNot)
{
  membership_news news;
  std::vector<record_change> changes{ kSilent, GoneServer("s") };
  news.OnProposed(changes);
  news.OnEvaluated(
    { Outcome(change_verdict::Accepted), Outcome(change_verdict::Stale) });
  auto told = news.OnProposed(changes);
  LONGS_EQUAL(1, told.size());
  CHECK(told.front() == kSilent);
}

TEST(membership_news, AFailureIsToldOnceForEachCause)
{
  membership_news news;
  news.OnProposed({ kSilent });
  CHECK(news.OnFailed("no leader"));
  CHECK(!news.OnFailed("no leader"));
  CHECK(news.OnFailed("cut off"));
  CHECK(!news.OnFailed("cut off"));
  CHECK(news.OnFailed("no leader"));
}

TEST(membership_news, ASuccessIsToldOnceAfterAFailure)
{
  membership_news news;
  news.OnProposed({ kSilent });
  CHECK(!news.OnEvaluated({ Outcome(change_verdict::Accepted) }));
  news.OnProposed({ kSilent });
  CHECK(news.OnFailed("no leader"));
  CHECK(news.OnEvaluated({ Outcome(change_verdict::Accepted) }));
  CHECK(!news.OnEvaluated({ Outcome(change_verdict::Accepted) }));
  CHECK(news.OnFailed("no leader"));
}

TEST(membership_news, AFailureEndsWhenNothingIsProposedAnyMore)
{
  membership_news news;
  news.OnProposed({ kSilent });
  CHECK(news.OnFailed("no leader"));
  news.OnProposed({});
  news.OnProposed({ kSilent });
  CHECK(news.OnFailed("no leader"));
}
