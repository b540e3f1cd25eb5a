#include "tests/integration/platform_server.h"
#include "tests/integration/seeded_system.h"

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

/** A route to all shards, one of which is named twice. */
const std::string kRepeatedShard =
  R"({"version":1,"routes":[{"name":"all","host":"a","path_prefix":"/all/",)"
  R"("kind":"idempotent","timeout_ms":2000,"target_latency_ms":1000,)"
  R"("priority":1,"fanout":["s1","s2","s1"],"max_attempts":2,"top_k":5,)"
  R"("min_shard_ratio":1}],"services":[{"name":"s1","health_path":"/health",)"
  R"("max_conns":64,"protocol":"h1","tls":false,"warmup_s":0.0,)"
  R"("warmup_per_s":0.0},{"name":"s2","health_path":"/health",)"
  R"("max_conns":64,"protocol":"h1","tls":false,"warmup_s":0.0,)"
  R"("warmup_per_s":0.0}],"limits":{"max_header_bytes":16384,)"
  R"("max_body_bytes":262144,"header_timeout_ms":3000,)"
  R"("idle_timeout_ms":15000}})";

}

TEST_GROUP(platform_side){};

// Guards against an entry host that ends with SIGSEGV when a server of a shard
// that the configuration names twice loses its connection, and against
// responses that name a missing part where none is missing.
TEST(platform_side, AShardThatIsNamedTwiceIsServedWhileAnswersAreLost)
{
  constexpr int kSent = 60;
  constexpr int kLosesEach = 10;
  seeded_system hosts({});
  hosts.StartControlHosts(hosts.AllSeeds(), true);
  hosts.WriteEntry(hosts.AllSeeds());
  hosts.System().Start("e1");
  CHECK(WaitFor([&] {
    return Call("POST", hosts.Platform(1), "/api/Config.Put", kRepeatedShard)
             .mStatus == 200;
  }));
  std::list<platform_server> servers;
  int number = 0;
  for (const char* service : { "s1", "s1", "s2", "s2" }) {
    ++number;
    platform_server_options options;
    options.mService = service;
    options.mLosesEach = kLosesEach;
    servers.emplace_back("i-" + std::to_string(number),
                         hosts.Server(number),
                         hosts.Platform(1),
                         options);
  }
  auto get = [&](int aNumber) {
    return SendRaw(hosts.Clients(),
                   "GET /all/" + std::to_string(aNumber) +
                     " HTTP/1.1\r\nHost: a\r\nX-Request-Id: r" +
                     std::to_string(aNumber) + "\r\nConnection: close\r\n\r\n");
  };
  auto isWhole = [](const std::string& aResponse) {
    return aResponse.starts_with("HTTP/1.1 200") &&
           aResponse.find("X-Missing-Parts: 0\r\n") != std::string::npos;
  };
  CHECK(WaitFor([&] { return isWhole(get(0)); }));
  int whole = 0;
  for (int sent = 1; sent <= kSent; ++sent) {
    std::string response = get(sent);
    CHECK(!response.empty());
    whole += isWhole(response) ? 1 : 0;
  }
  // A request may lose both of its attempts at a shard.
  CHECK(whole >= kSent / 2);
  // The document is read back as it was sent.
  STRCMP_EQUAL(kRepeatedShard.c_str(),
               Call("GET", hosts.Platform(1), "/api/Config.Get").mBody.c_str());
}

// Guards against forwarded requests that crash one server after the other:
// nobody counted their crashes, and each crash lost the requests of others.
TEST(platform_side, AForwardedRequestThatCrashesServersIsRefused)
{
  constexpr int kServers = 5;
  constexpr int kSent = 16;
  // Three incidents of two servers at most, and what is sent before they are
  // known.
  constexpr int kMaxArrivals = 8;
  seeded_system hosts({});
  hosts.StartControlHosts(hosts.AllSeeds(), true);
  hosts.WriteEntry(hosts.AllSeeds());
  hosts.System().Start("e1");
  CHECK(WaitFor([&] {
    return Call("POST", hosts.Platform(1), "/api/Config.Put", kConfiguration)
             .mStatus == 200;
  }));
  std::list<platform_server> servers;
  for (int number = 1; number <= kServers; ++number) {
    servers.emplace_back(
      "i-" + std::to_string(number), hosts.Server(number), hosts.Platform(1));
  }
  auto get = [&](const std::string& aPath, int aNumber) {
    return Call("GET",
                hosts.Clients(),
                aPath,
                "",
                { { "Host", "a" },
                  { "X-Request-Id", "r" + std::to_string(aNumber) } })
      .mStatus;
  };
  CHECK(WaitFor([&] { return get("/find/one", 0) == 200; }));
  unsigned last = 0;
  for (int sent = 1; sent <= kSent; ++sent) {
    last = get("/find/harmful", sent);
    std::this_thread::sleep_for(milliseconds(700));
  }
  int arrivals = 0;
  for (const platform_server& server : servers) {
    arrivals += server.HarmfulArrivals();
  }
  CHECK(arrivals <= kMaxArrivals);
  // Nothing of it ran, and the caller is told so.
  LONGS_EQUAL(503, last);
  CHECK(WaitFor([&] { return get("/find/one", kSent + 1) == 200; }));
}

// Guards against requests that get no turn or are refused in calm, and against
// metrics that don't count them.
TEST(platform_side, AHostThatAdmitsByRankServesEverythingInCalm)
{
  constexpr int kSent = 100;
  seeded_system hosts({});
  hosts.StartControlHosts(hosts.AllSeeds(), true);
  hosts.WriteEntry(hosts.AllSeeds(), "admit_by_rank=yes\n");
  hosts.System().Start("e1");
  CHECK(WaitFor([&] {
    return Call("POST", hosts.Platform(1), "/api/Config.Put", kConfiguration)
             .mStatus == 200;
  }));
  platform_server server("i-1", hosts.Server(1), hosts.Platform(1));
  auto get = [&](int aNumber) {
    return Call("GET",
                hosts.Clients(),
                "/find/one",
                "",
                { { "Host", "a" },
                  { "X-Request-Id", "r" + std::to_string(aNumber) } })
      .mStatus;
  };
  CHECK(WaitFor([&] { return get(0) == 200; }));
  for (int sent = 1; sent <= kSent; ++sent) {
    LONGS_EQUAL(200, get(sent));
  }
  std::string page = Call("GET", hosts.Callers(), "/metrics").mBody;
  STRCMP_CONTAINS("hibiscusspool_overload_admitted_total{priority=\"1\"}",
                  page.c_str());
  STRCMP_CONTAINS(
    "hibiscusspool_overload_refused_total{priority=\"1\",cause=\"share\"} 0\n",
    page.c_str());
}
