#include "tests/integration/platform_server.h"
#include "tests/integration/seeded_system.h"

#include <list>
#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace test;

namespace {

const std::string kConfiguration =
  R"({"version":1,"routes":[{"name":"find","host":"a","path_prefix":"/find/",)"
  R"("kind":"idempotent","timeout_ms":2000,"target_latency_ms":400,)"
  R"("priority":1,"service":"find","max_attempts":2}],"services":[{)"
  R"("name":"find","health_path":"/health","max_conns":64,"protocol":"h1",)"
  R"("tls":false,"warmup_s":0.0,"warmup_per_s":0.0}],"limits":{)"
  R"("max_header_bytes":16384,"max_body_bytes":262144,)"
  R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

const std::string kOrder =
  R"({"service":"find","target_version":"v2","duration_s":8})";

}

TEST_GROUP(rollouts)
{
  seeded_system mHosts{ {} };
  std::list<platform_server> mOld;
  std::list<platform_server> mNew;
  int mSent = 0;

  void setup() override
  {
    mHosts.StartControlHosts(mHosts.AllSeeds(), true);
    mHosts.WriteEntry(mHosts.AllSeeds());
    mHosts.System().Start("e1");
    CHECK(WaitFor([&] {
      return Call("POST", mHosts.Platform(1), "/api/Config.Put", kConfiguration)
               .mStatus == 200;
    }));
    for (int number = 1; number <= 2; ++number) {
      mOld.emplace_back("i-" + std::to_string(number),
                        mHosts.Server(number),
                        mHosts.Platform(1));
    }
    CHECK(WaitFor([&] { return Send() == 200; }));
  }

  void teardown() override
  {
    mNew.clear();
    mOld.clear();
  }

  unsigned Send()
  {
    return Call("GET",
                mHosts.Clients(),
                "/find/one",
                "",
                { { "Host", "a" },
                  { "X-Request-Id", "r" + std::to_string(++mSent) } })
      .mStatus;
  }

  void StartNewServers(int aFailsEach)
  {
    for (int number = 3; number <= 4; ++number) {
      mNew.emplace_back("i-" + std::to_string(number),
                        mHosts.Server(number),
                        mHosts.Platform(1),
                        platform_server_options{ "v2", aFailsEach });
    }
  }

  std::string State(int aControlHost)
  {
    return Call("GET", mHosts.Platform(aControlHost), "/api/Rollouts.Get/find")
      .mBody;
  }

  /** Sends requests until the state is no longer `running`; returns the number
   * of requests that failed. */
  int SendUntilEnded()
  {
    int failed = 0;
    CHECK(WaitFor(
      [&] {
        for (int sent = 0; sent < 10; ++sent) {
          failed += Send() == 200 ? 0 : 1;
        }
        return State(1).find("\"running\"") == std::string::npos;
      },
      milliseconds(10'000)));
    return failed;
  }

  static int Arrivals(const std::list<platform_server>& aServers)
  {
    int arrivals = 0;
    for (const platform_server& server : aServers) {
      arrivals += server.Arrivals();
    }
    return arrivals;
  }
};

// Guards against a rollout of a good version that doesn't complete, and against
// old servers that get requests after it.
TEST(rollouts, AGoodVersionGetsAllRequestsInTheEnd)
{
  LONGS_EQUAL(
    404, Call("GET", mHosts.Platform(1), "/api/Rollouts.Get/find").mStatus);
  LONGS_EQUAL(
    200,
    Call("POST", mHosts.Platform(1), "/api/Rollouts.Start", kOrder).mStatus);
  LONGS_EQUAL(
    200,
    Call("POST", mHosts.Platform(1), "/api/Rollouts.Start", kOrder).mStatus);
  StartNewServers(0);
  LONGS_EQUAL(0, SendUntilEnded());
  STRCMP_EQUAL(R"({"state":"completed","target_version":"v2"})",
               State(1).c_str());
  // The operator stops the old servers at once.
  int oldArrivals = Arrivals(mOld);
  for (int sent = 0; sent < 50; ++sent) {
    LONGS_EQUAL(200, Send());
  }
  LONGS_EQUAL(oldArrivals, Arrivals(mOld));
  CHECK(Arrivals(mNew) >= 50);
}

// Guards against a bad version that gets more than its share, isn't rolled back
// or is used afterwards.
TEST(rollouts, ABadVersionIsRolledBack)
{
  LONGS_EQUAL(
    200,
    Call("POST", mHosts.Platform(1), "/api/Rollouts.Start", kOrder).mStatus);
  StartNewServers(2);
  LONGS_EQUAL(0, SendUntilEnded());
  STRCMP_EQUAL(R"({"state":"rolled_back","target_version":"v2"})",
               State(1).c_str());
  CHECK(Arrivals(mNew) <= 50 + (Arrivals(mOld) + Arrivals(mNew)) / 10);
  int newArrivals = Arrivals(mNew);
  for (int sent = 0; sent < 50; ++sent) {
    LONGS_EQUAL(200, Send());
  }
  LONGS_EQUAL(newArrivals, Arrivals(mNew));
}
