#include "controllers/backend_controller.h"
#include "controllers/lease_controller.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };
constexpr milliseconds kHandoverDelay{ 14'000 };

server_record
Server(const std::string& aName, server_state aState = server_state::Ready)
{
  server_record record;
  record.mServer.mValue = aName;
  record.mIncarnation = 1;
  record.mService.mValue = "s";
  record.mFailureDomain.mValue = aName.substr(0, 1);
  record.mAddress = "127.0.0.1:1";
  record.mSlots = 4;
  record.mConnections = 6;
  record.mColdSlots = 2;
  record.mState = aState;
  record.mSnapshots = { 1 };
  return record;
}

}

TEST_GROUP(backend_controller)
{
  std::vector<connection_id> mClosed;
  std::vector<server_id> mTurnedColdServers;
  backend_controller mBackends{
    { host_id{ "e1" }, failure_domain_id{ "a" }, kHandoverDelay },
    { [this](const std::vector<connection_id>& aConnections) {
       mClosed.insert(mClosed.end(), aConnections.begin(), aConnections.end());
     },
      [this](const server_id& aServer) {
        mTurnedColdServers.push_back(aServer);
      } }
  };
  choice_request mChoice{ service_id{ "s" }, 1, {}, {}, false, 0, {} };

  void setup() override
  {
    mBackends.SetHosts({ share_holder{ host_id{ "e1" }, {} },
                         share_holder{ host_id{ "e2" }, {} } },
                       kNow);
  }

  void Finish(const attempt_permit& aPermit,
              attempt_status aStatus,
              connection_id aConnection = 0,
              steady_time aNow = kNow)
  {
    mBackends.Finish(
      aPermit, { aStatus, microseconds(1000), aConnection }, aNow);
  }
};

TEST(backend_controller, PartlyRefusingServerGetsFewerRequests)
{
  backend_config config{ host_id{ "e1" },
                         failure_domain_id{ "x" },
                         kHandoverDelay };
  config.mFailurePenalty = milliseconds(60);
  backend_controller backends(
    config,
    { [](const std::vector<connection_id>& /*aConnections*/) {},
      [](const server_id& /*aServer*/) {} });
  backends.SetHosts({ share_holder{ host_id{ "e1" }, {} } }, kNow);
  for (const char* name : { "a", "b", "c" }) {
    backends.Put(Server(name), true, kNow);
  }
  // One attempt every 50 ms; server "a" refuses two out of five.
  constexpr int kAttempts = 600;
  int refused = 0;
  int sentToRefusing = 0;
  steady_time now = kNow;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    now += milliseconds(50);
    auto permit = backends.Choose(mChoice, now);
    bool isRefusing = permit->mServer.mValue == "a";
    sentToRefusing += isRefusing ? 1 : 0;
    bool refuses = isRefusing && sentToRefusing % 5 < 2;
    refused += refuses ? 1 : 0;
    backends.Finish(*permit,
                    { refuses ? attempt_status::Shed : attempt_status::Answered,
                      milliseconds(11),
                      1 },
                    now + milliseconds(11));
  }
  // Random choice would send it a third of the attempts, two fifths of which
  // it would refuse.
  CHECK(refused < kAttempts / 20);
  CHECK(sentToRefusing > 0);
}

TEST(backend_controller, ConnectionsStayWithinShare)
{
  mBackends.Put(Server("a"), true, kNow);
  std::vector<attempt_permit> permits;
  while (auto permit = mBackends.Choose(mChoice, kNow)) {
    permits.push_back(*permit);
  }
  LONGS_EQUAL(3, permits.size());
  connection_id number = 1;
  for (const attempt_permit& permit : permits) {
    Finish(permit, attempt_status::Answered, number++);
  }
  // A third host joins: the share drops to two, and one connection is closed.
  mBackends.SetHosts({ share_holder{ host_id{ "e1" }, {} },
                       share_holder{ host_id{ "e2" }, {} },
                       share_holder{ host_id{ "e3" }, {} } },
                     kNow);
  LONGS_EQUAL(1, mClosed.size());
  // It leaves: the share grows again only after the handover delay.
  mBackends.SetHosts({ share_holder{ host_id{ "e1" }, {} },
                       share_holder{ host_id{ "e2" }, {} } },
                     kNow);
  LONGS_EQUAL(2, mBackends.Statuses(kNow)[0].mShare);
  LONGS_EQUAL(3, mBackends.Statuses(kNow + kHandoverDelay)[0].mShare);
}

TEST(backend_controller, ServerAlreadyInUseWaitsForHandoverDelay)
{
  mBackends.Put(Server("a"), false, kNow);
  CHECK(!mBackends.Choose(mChoice, kNow));
  CHECK(!mBackends.HasAllShares(kNow));
  CHECK(mBackends.Choose(mChoice, kNow + kHandoverDelay).has_value());
  CHECK(mBackends.HasAllShares(kNow + kHandoverDelay));
}

TEST(backend_controller, ServerReturningInSameIncarnationIsNotFirstSeen)
{
  mBackends.Put(Server("a"), true, kNow);
  mBackends.Put(Server("a", server_state::Gone), true, kNow);
  CHECK(!mBackends.Choose(mChoice, kNow));
  mBackends.SetHosts({ share_holder{ host_id{ "e1" }, {} } }, kNow);
  mBackends.Put(Server("a"), true, kNow);
  LONGS_EQUAL(3, mBackends.Statuses(kNow)[0].mShare);
}

TEST(backend_controller, ColdServerGetsColdShareThenRampsUp)
{
  mBackends.Put(Server("a", server_state::Cold), true, kNow);
  auto permit = mBackends.Choose(mChoice, kNow);
  CHECK(permit.has_value());
  CHECK(!mBackends.Choose(mChoice, kNow));
  Finish(*permit, attempt_status::Answered);
  mBackends.Put(Server("a"), true, kNow);
  LONGS_EQUAL(1, mBackends.Statuses(kNow)[0].mConcurrencyLimit);
  steady_time later = kNow + milliseconds(10'000);
  for (int count = 0; count < 30; ++count) {
    auto permit = mBackends.Choose(mChoice, later);
    Finish(*permit, attempt_status::Answered, 0, later);
  }
  CHECK(mBackends.Statuses(later)[0].mConcurrencyLimit > 1);
}

TEST(backend_controller, ServerIsTreatedAsColdAfterConsecutiveSheds)
{
  mBackends.Put(Server("a"), true, kNow);
  steady_time now = kNow;
  for (int count = 0; count < 8; ++count) {
    now += milliseconds(50);
    auto permit = mBackends.Choose(mChoice, now);
    Finish(*permit, attempt_status::Shed, 0, now);
  }
  LONGS_EQUAL(1, mTurnedColdServers.size());
  LONGS_EQUAL(1, mBackends.Statuses(now)[0].mConcurrencyLimit);
}

TEST(backend_controller, AttemptsWithdrawnByThisHostDoNotCountAgainstAServer)
{
  mBackends.Put(Server("a"), true, kNow);
  steady_time now = kNow;
  for (int count = 0; count < 8; ++count) {
    now += milliseconds(50);
    auto permit = mBackends.Choose(mChoice, now);
    CHECK(permit.has_value());
    Finish(*permit, attempt_status::Withdrawn, 7, now);
  }
  CHECK(mTurnedColdServers.empty());
  backend_status status = mBackends.Statuses(now)[0];
  LONGS_EQUAL(3, status.mConcurrencyLimit);
}

TEST(backend_controller, DrainingServersAndOutDomainsAreNotChosen)
{
  mBackends.Put(Server("a"), true, kNow);
  mBackends.Put(Server("b"), true, kNow);
  mBackends.SetDomainsOut({ failure_domain_id{ "a" } });
  for (int count = 0; count < 3; ++count) {
    auto permit = mBackends.Choose(mChoice, kNow);
    STRCMP_EQUAL("b", permit->mServer.mValue.c_str());
  }
  mBackends.Put(Server("b", server_state::Draining), true, kNow);
  CHECK(!mBackends.Choose(mChoice, kNow));
  CHECK(mBackends.Snapshots({ service_id{ "s" } })[0].mSnapshots.empty());
}

TEST(backend_controller, WaiterIsWokenWhenSlotIsReleased)
{
  mBackends.Put(Server("a", server_state::Cold), true, kNow);
  auto permit = mBackends.Choose(mChoice, kNow);
  int woken = 0;
  mBackends.NotifyOnCapacity(service_id{ "s" }, [&] { ++woken; });
  Finish(*permit, attempt_status::Answered);
  LONGS_EQUAL(1, woken);
}

TEST_GROUP(lease_controller){};

TEST(lease_controller, LeaseIsValidOnlyWhileNewestMarkIsRecent)
{
  lease_controller lease(milliseconds(4000), [] { return milliseconds(0); });
  CHECK(!lease.IsValid(kNow));
  lease.Renew({ kNow, milliseconds(0) });
  // A late confirmation of an older mark has no effect.
  lease.Renew({ kNow - milliseconds(1000), milliseconds(0) });
  CHECK(lease.IsValid(kNow + milliseconds(3999)));
  CHECK(!lease.IsValid(kNow + milliseconds(4000)));
}

TEST(lease_controller, LeaseExpiresWhileTheMachineIsSuspended)
{
  milliseconds suspended(60'000);
  lease_controller lease(milliseconds(4000), [&] { return suspended; });
  lease.Renew({ kNow, suspended });
  CHECK(lease.IsValid(kNow + milliseconds(100)));
  // The steady clock stood still meanwhile.
  suspended += milliseconds(4000);
  CHECK(!lease.IsValid(kNow + milliseconds(100)));
  // A mark from before the suspension, confirmed after it, is as old.
  lease.Renew({ kNow + milliseconds(50), milliseconds(60'000) });
  CHECK(!lease.IsValid(kNow + milliseconds(100)));
  lease.Renew({ kNow + milliseconds(100), suspended });
  CHECK(lease.IsValid(kNow + milliseconds(200)));
}

TEST(backend_controller, ALeavingServerGetsOnlyWhatNoOtherCanAnswer)
{
  mBackends.Put(Server("a1"), true, kNow);
  mBackends.Put(Server("a2"), true, kNow);
  auto first = mBackends.Choose(mChoice, kNow);
  attempt_report leaving{ attempt_status::Answered, microseconds(1000), 7 };
  leaving.mNotice.mIsLeaving = true;
  mBackends.Finish(*first, leaving, kNow);
  // Its idle connection is closed.
  LONGS_EQUAL(7, mClosed.front());
  for (int attempt = 0; attempt < 20; ++attempt) {
    auto permit = mBackends.Choose(mChoice, kNow);
    CHECK(permit->mServer != first->mServer);
    Finish(*permit, attempt_status::Answered);
  }
  auto other = mBackends.Choose(mChoice, kNow);
  mChoice.mExcludedServers = { other->mServer };
  CHECK(mBackends.Choose(mChoice, kNow)->mServer == first->mServer);
  steady_time end = kNow + notice_limits{}.mLeavingGrace;
  CHECK(mBackends.IsWilling(*first, end - milliseconds(1)));
  CHECK(!mBackends.Choose(mChoice, end));
  CHECK(!mBackends.IsWilling(*first, end));
}

TEST(backend_controller, ALeavingServerStaysOutHoweverItIsRecordedAgain)
{
  mBackends.Put(Server("a1"), true, kNow);
  auto permit = mBackends.Choose(mChoice, kNow);
  attempt_report leaving{ attempt_status::Answered, microseconds(1000), 0 };
  leaving.mNotice.mIsLeaving = true;
  mBackends.Finish(*permit, leaving, kNow);
  steady_time later = kNow + std::chrono::seconds(20);
  mBackends.Put(Server("a1"), false, later);
  CHECK(!mBackends.Choose(mChoice, later));
  mBackends.Remove(server_id{ "a1" }, later);
  mBackends.Put(Server("a1"), true, later);
  CHECK(!mBackends.Choose(mChoice, later));
  CHECK(mBackends.WillingAt(mChoice, later) == steady_time::max());
  server_record restarted = Server("a1");
  restarted.mIncarnation = 2;
  mBackends.Put(restarted, true, later);
  CHECK(mBackends.Choose(mChoice, later).has_value());
}

TEST(backend_controller, APausedServerGetsNothingAndThenOneTrial)
{
  mBackends.Put(Server("a1"), true, kNow);
  auto permit = mBackends.Choose(mChoice, kNow);
  attempt_report paused{ attempt_status::Shed, microseconds(1000), 7 };
  paused.mNotice.mPause = milliseconds(2000);
  mBackends.Finish(*permit, paused, kNow);
  steady_time end = kNow + milliseconds(2000);
  CHECK(!mBackends.Choose(mChoice, kNow + milliseconds(1)));
  CHECK(!mBackends.Choose(mChoice, end - milliseconds(1)));
  CHECK(!mBackends.IsWilling(*permit, end - milliseconds(1)));
  CHECK(!mBackends.BorrowIdle(server_id{ "a1" }, end - milliseconds(1)));
  CHECK(mBackends.WillingAt(mChoice, kNow) == end);
  auto trial = mBackends.Choose(mChoice, end);
  CHECK(trial.has_value());
  CHECK(!mBackends.Choose(mChoice, end));
  Finish(*trial, attempt_status::Answered, 0, end);
  CHECK(mBackends.Choose(mChoice, end).has_value());
  CHECK(mBackends.Choose(mChoice, end).has_value());
}

TEST(backend_controller, ServersLeftByAPauseGetNoMoreThanTheirLimits)
{
  for (const char* name : { "a1", "a2", "a3" }) {
    mBackends.Put(Server(name), true, kNow);
  }
  auto inUse = [&] {
    std::uint32_t sum = 0;
    std::uint32_t limit = 0;
    for (const backend_status& server : mBackends.Statuses(kNow)) {
      sum += server.mOutstanding;
      limit += server.mConcurrencyLimit;
      CHECK(server.mOutstanding <= server.mConcurrencyLimit);
    }
    return std::pair(sum, limit);
  };
  auto first = mBackends.Choose(mChoice, kNow);
  attempt_report paused{ attempt_status::Shed, microseconds(1000), 0 };
  paused.mNotice.mPause = milliseconds(2000);
  mBackends.Finish(*first, paused, kNow);
  while (auto permit = mBackends.Choose(mChoice, kNow)) {
    CHECK(permit->mServer != first->mServer);
  }
  auto [sum, limit] = inUse();
  CHECK(sum > 0);
  CHECK(sum < limit);
}

namespace {

attempt_report
Announcing(attempt_status aStatus, double aPerSecond)
{
  attempt_report report{ aStatus, microseconds(1000), 0 };
  report.mNotice.mRate = { rate_notice_kind::Limited, aPerSecond };
  return report;
}

/** Requests that a controller sends at once, up to 50. */
int
SendAll(backend_controller& aBackends,
        const choice_request& aChoice,
        steady_time aNow)
{
  int sent = 0;
  while (sent < 50) {
    auto permit = aBackends.Choose(aChoice, aNow);
    if (!permit) {
      break;
    }
    ++sent;
    aBackends.Finish(*permit, Announcing(attempt_status::Answered, 4), aNow);
  }
  return sent;
}

}

TEST(backend_controller, AServerThatRefusesForItsRateIsNeitherFailingNorCold)
{
  mBackends.Put(Server("a1"), true, kNow);
  steady_time now = kNow + std::chrono::seconds(10);
  std::uint32_t limit = mBackends.Statuses(now)[0].mConcurrencyLimit;
  for (int attempt = 0; attempt < 30; ++attempt) {
    now += milliseconds(5000);
    auto permit = mBackends.Choose(mChoice, now);
    CHECK(permit.has_value());
    mBackends.Finish(*permit, Announcing(attempt_status::Shed, 2), now);
  }
  LONGS_EQUAL(0, mTurnedColdServers.size());
  LONGS_EQUAL(limit, mBackends.Statuses(now)[0].mConcurrencyLimit);
}

TEST(backend_controller, EveryWayToARateLimitedServerCounts)
{
  mBackends.Put(Server("a1"), true, kNow);
  steady_time now = kNow + std::chrono::seconds(10);
  // Chosen before the limit is known, and sent after it.
  auto early = mBackends.Choose(mChoice, now);
  auto late = mBackends.Choose(mChoice, now);
  mBackends.Finish(*early, Announcing(attempt_status::Answered, 0.25), now);
  // The other host has the only request of the window, or this one has.
  bool hasPart = mBackends.Statuses(now)[0].mRateQuota == 1;
  LONGS_EQUAL(hasPart, mBackends.ConfirmSend(*late, true, now));
  CHECK(!mBackends.Choose(mChoice, now));
  CHECK(!mBackends.ConfirmSend(*late, true, now));
  CHECK(*mBackends.WillingAt(mChoice, now) > now + milliseconds(3000));
}

TEST(backend_controller, TheTimeOfSendingCountsAndUnsentRequestsDont)
{
  mBackends.SetHosts({ share_holder{ host_id{ "e1" }, {} } }, kNow);
  mBackends.Put(Server("a1"), true, kNow);
  steady_time now = kNow + std::chrono::seconds(10);
  auto first = mBackends.Choose(mChoice, now);
  mBackends.Finish(*first, Announcing(attempt_status::Answered, 0.25), now);
  auto permit = mBackends.Choose(mChoice, now);
  CHECK(permit.has_value());
  CHECK(!mBackends.Choose(mChoice, now));
  // It waits for its connection for 3 s, so the window ends 3 s later.
  steady_time sentAt = now + milliseconds(3000);
  CHECK(mBackends.ConfirmSend(*permit, true, sentAt));
  CHECK(!mBackends.Choose(mChoice, now + milliseconds(4000)));
  auto next = mBackends.Choose(mChoice, sentAt + milliseconds(4000));
  CHECK(next.has_value());
  Finish(*next, attempt_status::NotSent, 0, sentAt + milliseconds(4001));
  CHECK(mBackends.Choose(mChoice, sentAt + milliseconds(4001)).has_value());
}

TEST(backend_controller, ARateHoldsHoweverItsServerIsRecordedAgain)
{
  mBackends.SetHosts({ share_holder{ host_id{ "e1" }, {} } }, kNow);
  mBackends.Put(Server("a1"), true, kNow);
  steady_time now = kNow + std::chrono::seconds(10);
  auto first = mBackends.Choose(mChoice, now);
  mBackends.Finish(*first, Announcing(attempt_status::Answered, 4), now);
  LONGS_EQUAL(4, SendAll(mBackends, mChoice, now));
  mBackends.Remove(server_id{ "a1" }, now);
  mBackends.Put(Server("a1"), true, now + milliseconds(10));
  LONGS_EQUAL(0, SendAll(mBackends, mChoice, now + milliseconds(10)));
  server_record restarted = Server("a1");
  restarted.mIncarnation = 2;
  mBackends.Put(restarted, true, now + milliseconds(20));
  CHECK(mBackends.Choose(mChoice, now + milliseconds(20)).has_value());
}

TEST(backend_controller, ARateThatARemovedServerAnnouncesHoldsWhenItReturns)
{
  mBackends.SetHosts({ share_holder{ host_id{ "e1" }, {} } }, kNow);
  mBackends.Put(Server("a1"), true, kNow);
  steady_time now = kNow + std::chrono::seconds(10);
  auto permit = mBackends.Choose(mChoice, now);
  mBackends.Remove(server_id{ "a1" }, now);
  mBackends.Finish(*permit, Announcing(attempt_status::Answered, 4), now);
  mBackends.Put(Server("a1"), true, now + milliseconds(10));
  LONGS_EQUAL(0, SendAll(mBackends, mChoice, now + milliseconds(10)));
  steady_time later = now + std::chrono::hours(2);
  mBackends.ForgetOldNotices(later);
  mBackends.Remove(server_id{ "a1" }, later);
  mBackends.Put(Server("a1"), true, later);
  CHECK(SendAll(mBackends, mChoice, later) > 0);
}
