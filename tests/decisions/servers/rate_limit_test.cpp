#include "decisions/servers/rate_limit.h"

#include <random>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };
constexpr milliseconds kHandover{ 5500 };
constexpr rate_notice kUnlimited{ rate_notice_kind::Unlimited, 0 };

rate_notice
Limit(double aPerSecond)
{
  return { rate_notice_kind::Limited, aPerSecond };
}

steady_time
At(int aMilliseconds)
{
  return kNow + milliseconds(aMilliseconds);
}

}

TEST_GROUP(rate_limit)
{
  rate_limit mRate;

  /** Gives this host the whole rate. */
  void Learn(double aPerSecond)
  {
    mRate.OnResponse(Limit(aPerSecond), At(-20), kNow, 0);
    mRate.SetAnnouncedPart({ 1, 1, 0, 1 }, At(-60'000), kHandover, kNow);
  }

  /** Requests that are sent at once at a time, up to a bound. */
  int SendAllAt(int aMilliseconds, rate_request aRequest = {})
  {
    int sent = 0;
    while (sent < 1000 && mRate.RoomAt(aRequest, true, At(aMilliseconds)) <=
                            At(aMilliseconds)) {
      mRate.Add(1, aRequest, At(aMilliseconds));
      ++sent;
    }
    return sent;
  }
};

TEST(rate_limit, QuotasAreWholeRequestsAWindow)
{
  LONGS_EQUAL(12, TotalQuota(3.2).mRequests);
  LONGS_EQUAL(1, TotalQuota(0.2).mRequests);
  CHECK(TotalQuota(0.2).mWindow == milliseconds(5000));
  CHECK(TotalQuota(0).mRequests == 1);
  CHECK(TotalQuota(0).mWindow == milliseconds(10'000));
}

TEST(rate_limit, PartsAddUpToTheQuota)
{
  for (std::uint32_t hosts : { 1U, 5U, 17U, 291U }) {
    std::vector<share_holder> holders;
    for (std::uint32_t host = 0; host < hosts; ++host) {
      holders.push_back({ host_id{ "e" + std::to_string(host) },
                          failure_domain_id{ std::to_string(host % 3) } });
    }
    for (std::uint32_t connections : { 3U, 55U, 94U }) {
      for (std::uint32_t requests : { 1U, 12U, 17U, 170U, 4001U }) {
        server_id name{ "b" };
        std::uint32_t sum = 0;
        for (const share_holder& holder : holders) {
          auto ring = share_ring::Create(holders, holder.mHost);
          rate_part part;
          part.mConnections = connections;
          part.mOwnConnections =
            ring.Allocate(service_id{ "s" }, { { name, connections } })[0];
          part.mOwnRemainder = ring.Allocate(
            service_id{ "s" }, { { name, requests % connections } })[0];
          std::uint32_t own = OwnPart(part, requests);
          // A part without a connection could not be used.
          CHECK(own == 0 || part.mOwnConnections > 0);
          sum += own;
        }
        LONGS_EQUAL(requests, sum);
      }
    }
  }
}

TEST(rate_limit, NoWindowHasMoreThanTheQuotaAndBurstsAreShort)
{
  Learn(10);
  LONGS_EQUAL(10, SendAllAt(0));
  LONGS_EQUAL(0, SendAllAt(999));
  LONGS_EQUAL(10, SendAllAt(1000));
  LONGS_EQUAL(10, SendAllAt(2000));
  LONGS_EQUAL(10, SendAllAt(3000));
  LONGS_EQUAL(0, SendAllAt(3999));
  LONGS_EQUAL(10, SendAllAt(4000));
}

TEST(rate_limit, ExtraAttemptsLeaveAQuarterAndLessUrgentOnesAnEighth)
{
  Learn(2);
  LONGS_EQUAL(2, SendAllAt(0, { 0, true }));
  LONGS_EQUAL(2, SendAllAt(1000, { 0, true }));
  LONGS_EQUAL(2, SendAllAt(2000, { 0, true }));
  LONGS_EQUAL(0, SendAllAt(3000, { 0, true }));
  // The less urgent request leaves one of eight to the urgent ones.
  CHECK(mRate.RoomAt({ 1, false }, true, At(3000)) <= At(3000));
  LONGS_EQUAL(1, SendAllAt(3000, { 1, false }));
  LONGS_EQUAL(1, SendAllAt(3000, { 0, false }));
  // A rate of one request a window has none for extra attempts.
  Learn(0.25);
  CHECK(mRate.RoomAt({ 0, true }, true, At(60'000)) == steady_time::max());
}

TEST(rate_limit, APartThatGrowsWaitsUntilTheHostThatHadItIsDone)
{
  Learn(1);
  mRate.SetPart({ 4, 1, 0, 4 }, kHandover, At(100));
  LONGS_EQUAL(1, mRate.Quota(true, At(100)).mRequests);
  mRate.SetPart({ 2, 1, 0, 2 }, kHandover, At(200));
  LONGS_EQUAL(
    1, mRate.Quota(true, At(200) + kHandover - milliseconds(1)).mRequests);
  LONGS_EQUAL(2, mRate.Quota(true, At(200) + kHandover).mRequests);
}

TEST(rate_limit, ALimitLearntDuringAChangeOfHostsStartsAfterTheHandover)
{
  mRate.OnResponse(Limit(10), At(-20), kNow, 0);
  mRate.SetAnnouncedPart({ 1, 1, 0, 1 }, At(-1500), kHandover, kNow);
  LONGS_EQUAL(0, mRate.Quota(true, At(3999)).mRequests);
  LONGS_EQUAL(40, mRate.Quota(true, At(4000)).mRequests);
}

TEST(rate_limit, ANewValueDuringAChangeOfHostsKeepsThePartInUse)
{
  Learn(10);
  rate_part part{ 1, 1, 0, 1 };
  mRate.SetPart(part, kHandover, At(1000));
  mRate.OnResponse(Limit(8), At(1100), At(1200), 0);
  mRate.SetAnnouncedPart(part, At(1000), kHandover, At(1200));
  LONGS_EQUAL(32, mRate.Quota(true, At(1200)).mRequests);
  mRate.OnResponse(Limit(20), At(1300), At(1400), 0);
  mRate.SetAnnouncedPart(part, At(1000), kHandover, At(1400));
  LONGS_EQUAL(32, mRate.Quota(true, At(1400)).mRequests);
  LONGS_EQUAL(80, mRate.Quota(true, At(1000) + kHandover).mRequests);
}

TEST(rate_limit, TheSumIsKeptWhileHostsLearnOfChangesAtDifferentTimes)
{
  constexpr std::uint32_t kConnections = 20;
  constexpr double kPerSecond = 5;
  constexpr milliseconds kLease{ 1500 };
  constexpr milliseconds kStep{ 50 };
  const service_id service{ "s" };
  const server_id server{ "b" };
  struct host_state
  {
    rate_limit mRate;
    std::size_t mView = 0;
    steady_time mConfirmedAt;
  };
  std::uint32_t allowed = TotalQuota(kPerSecond).mRequests;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<share_holder> all;
    for (int host = 0; host < 7; ++host) {
      all.push_back({ host_id{ "e" + std::to_string(host) },
                      failure_domain_id{ std::to_string(host % 2) } });
    }
    std::vector<std::vector<bool>> views{ std::vector<bool>(7, true) };
    auto partIn = [&](std::size_t aView, std::size_t aHost) {
      std::vector<share_holder> holders;
      for (std::size_t host = 0; host < all.size(); ++host) {
        if (views[aView][host]) {
          holders.push_back(all[host]);
        }
      }
      auto ring = share_ring::Create(holders, all[aHost].mHost);
      auto units = [&](std::uint32_t aUnits) {
        return ring.Allocate(service, { { server, aUnits } })[0];
      };
      return rate_part{ kConnections,
                        units(kConnections),
                        units(allowed % kConnections),
                        std::min<std::uint32_t>(
                          static_cast<std::uint32_t>(holders.size()),
                          kConnections) };
    };
    std::vector<host_state> hosts(all.size());
    steady_time now = kNow;
    for (std::size_t host = 0; host < all.size(); ++host) {
      hosts[host].mRate.OnResponse(Limit(kPerSecond), now, now, random());
      hosts[host].mRate.SetAnnouncedPart(
        partIn(0, host), At(-60'000), kHandover, now);
      hosts[host].mConfirmedAt = now;
    }
    std::vector<steady_time> sent;
    std::vector<steady_time> sentUnconfirmed;
    for (int step = 0; step < 3000; ++step) {
      now += kStep;
      if (random() % 40 == 0) {
        views.push_back(views.back());
        std::size_t host = random() % all.size();
        views.back()[host] = !views.back()[host];
      }
      for (std::size_t host = 0; host < all.size(); ++host) {
        host_state& state = hosts[host];
        // Every third host hears of changes rarely.
        if (random() % 30 < (host % 3 == 0 ? 1U : 12U)) {
          while (state.mView + 1 < views.size()) {
            ++state.mView;
            state.mRate.SetPart(partIn(state.mView, host), kHandover, now);
          }
          state.mConfirmedAt = now;
        }
        bool isConfirmed = now - state.mConfirmedAt < kLease;
        if (state.mRate.Quota(isConfirmed, now).mRequests > 0 &&
            state.mRate.RoomAt({}, isConfirmed, now) <= now) {
          state.mRate.Add(1, {}, now);
          (isConfirmed ? sent : sentUnconfirmed).push_back(now);
        }
      }
      auto countInWindow = [&](std::vector<steady_time>& aTimes) {
        std::erase_if(
          aTimes, [&](steady_time aAt) { return aAt + kRateWindow <= now; });
        return aTimes.size();
      };
      std::size_t confirmed = countInWindow(sent);
      std::size_t unconfirmed = countInWindow(sentUnconfirmed);
      if (confirmed > allowed) {
        std::printf("seed %d step %d\n", static_cast<int>(seed), step);
      }
      CHECK(confirmed <= allowed);
      CHECK(confirmed + unconfirmed <= allowed + allowed / 2);
    }
  }
}

TEST(rate_limit, AnUnconfirmedHostUsesHalfOfItsPart)
{
  Learn(10);
  LONGS_EQUAL(20, mRate.Quota(false, kNow).mRequests);
}

TEST(rate_limit, AHostWithoutAPartAsksAtLongIntervals)
{
  mRate.OnResponse(Limit(0), At(-20), kNow, 0);
  mRate.SetAnnouncedPart({ 10, 1, 0, 10 }, At(-60'000), kHandover, kNow);
  steady_time trial = mRate.RoomAt({}, true, kNow);
  CHECK(trial >= At(40'000));
  CHECK(trial < At(140'000));
  CHECK(mRate.RoomAt({ 0, true }, true, kNow) == steady_time::max());
  mRate.Add(1, {}, trial);
  CHECK(mRate.RoomAt({}, true, trial) > trial + milliseconds(40'000));
}

TEST(rate_limit, TheAllowanceDoublesAfterTheLimitHasEnded)
{
  Learn(1);
  CHECK(mRate.OnResponse(kUnlimited, At(10), At(20), 0) == rate_change::Ended);
  LONGS_EQUAL(8, mRate.Quota(true, At(20)).mRequests);
  LONGS_EQUAL(16, mRate.Quota(true, At(1020)).mRequests);
  LONGS_EQUAL(64, mRate.Quota(true, At(3020)).mRequests);
  CHECK(mRate.IsInForce(At(4019)));
  CHECK(!mRate.IsInForce(At(4020)));
  CHECK(mRate.RoomAt({}, true, At(4020)) == At(4020));
}

TEST(rate_limit, AHugeLimitIsKeptToo)
{
  Learn(1e6);
  LONGS_EQUAL(1000, SendAllAt(0));
}

TEST(rate_limit, RequestsThatFoundNoRoomReturnOneAfterTheOther)
{
  return_schedule schedule;
  constexpr microseconds kInterval{ 100'000 };
  constexpr milliseconds kMaxWait{ 350 };
  auto turn = [&](int aRoomAt, int aNow) {
    return schedule.TakeTurn(At(aRoomAt), kInterval, kMaxWait, At(aNow));
  };
  CHECK(turn(50, 0) == At(50));
  CHECK(turn(50, 0) == At(150));
  CHECK(turn(50, 10) == At(250));
  // Turns are not given out far ahead.
  CHECK(turn(50, 10) == At(350));
  CHECK(turn(50, 10) == At(360));
  CHECK(turn(900, 800) == At(900));
  // One that waits for much longer doesn't delay the others.
  CHECK(turn(60'000, 800) == At(60'000));
  CHECK(turn(950, 800) == At(1000));
}
