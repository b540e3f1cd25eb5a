#include "tests/integration/platform_server.h"
#include "tests/integration/seeded_system.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace test;

namespace {

constexpr milliseconds kRevocationTime{ 4000 };
const std::string kKey = "key-that-stays";
const std::string kTakenKey = "key-that-is-taken";
const std::string kUnknownKey = "key-of-nobody";

/** A list of one team. */
std::string
TeamWith(const std::string& aKeys)
{
  return R"([{"name":"t1","api_keys":[)" + aKeys +
         R"(],"rate_per_s":0,"burst":0}])";
}

/** A configuration with a route that needs a key and one that is public. */
std::string
Configuration(int aNumber, const std::string& aTeams)
{
  const std::string route =
    R"(","kind":"idempotent","timeout_ms":2000,"target_latency_ms":400,)"
    R"("priority":1,"service":"find","max_attempts":2)";
  return R"({"version":)" + std::to_string(aNumber) +
         R"(,"routes":[{"name":"find","host":"a","path_prefix":"/find/)" +
         route + R"(},{"name":"open","host":"a","path_prefix":"/open/)" +
         route +
         R"(,"public":true}],"services":[{"name":"find","health_path":)"
         R"("/health","max_conns":64,"protocol":"h1","tls":false,)"
         R"("warmup_s":0.0,"warmup_per_s":0.0}],"limits":{)"
         R"("max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":)" +
         aTeams + '}';
}

system_options
StrictOptions()
{
  system_options options;
  options.mExtraEntrySettings =
    "lease_ms=1500\nmark_ms=300\nserve_unconfirmed=yes\nhand_shares_over=no\n"
    "strict_revoke=yes\nrevoke_ms=" +
    std::to_string(kRevocationTime.count()) + "\n";
  return options;
}

std::string
ReadAll(const std::filesystem::path& aFile)
{
  std::ifstream file(aFile);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}

/** Control hosts, an entry host with strict revocation, and one server. */
TEST_GROUP(caller_keys)
{
  std::unique_ptr<seeded_system> mHosts;
  std::unique_ptr<platform_server> mServer;
  int mSent = 0;
  /** The control host that is stopped, if only one is. */
  std::string mFrozen;

  void setup() override
  {
    mHosts = std::make_unique<seeded_system>(StrictOptions());
    mHosts->StartControlHosts(mHosts->AllSeeds(), true);
    mHosts->WriteEntry(mHosts->AllSeeds());
    mHosts->System().Start("e1");
    mServer = std::make_unique<platform_server>(
      "i-1", mHosts->Server(1), mHosts->Platform(1));
  }
  void teardown() override
  {
    SignalControlHosts(SIGCONT);
    mServer.reset();
    mHosts.reset();
  }

  void SignalControlHosts(int aSignal)
  {
    for (int number : mHosts->FirstControlHosts()) {
      mHosts->System().Signal("c" + std::to_string(number), aSignal);
    }
  }

  /** The control host from which the entry host gets its state. */
  std::string WatchedControlHost()
  {
    std::string watched;
    std::string latest;
    for (int number : mHosts->FirstControlHosts()) {
      std::string name = "c" + std::to_string(number);
      std::istringstream log(
        ReadAll(mHosts->System().Folder() / (name + ".log")));
      for (std::string line; std::getline(log, line);) {
        // Lines begin with their time.
        if (line.find("event=watch_opened") != std::string::npos &&
            line > latest) {
          latest = line;
          watched = name;
        }
      }
    }
    return watched;
  }

  /** Puts a configuration through any control host that accepts it. */
  bool Put(int aNumber, const std::string& aKeys)
  {
    return PutTeams(aNumber, TeamWith(aKeys));
  }

  bool PutTeams(int aNumber, const std::string& aTeams)
  {
    return WaitFor([&] {
      std::vector<int> hosts = mHosts->FirstControlHosts();
      return std::any_of(hosts.begin(), hosts.end(), [&](int aHost) {
        return mFrozen != "c" + std::to_string(aHost) &&
               Call("POST",
                    mHosts->Platform(aHost),
                    "/api/Config.Put",
                    Configuration(aNumber, aTeams))
                   .mStatus == 200;
      });
    });
  }

  /** Status of a request that also claims to come from another team. */
  unsigned Get(const std::string& aPath, const std::string& aKey)
  {
    headers fields{ { "Host", "a" },
                    { "X-Tenant", "forged" },
                    { "X-Request-Id", "r" + std::to_string(++mSent) } };
    if (!aKey.empty()) {
      fields["Authorization"] = "Bearer " + aKey;
    }
    return Call("GET", mHosts->Clients(), aPath, "", fields).mStatus;
  }

  /** True if the first answer other than 503, which a host gives that is slow
   * to be confirmed, is 401. */
  bool IsUnknown(const std::string& aKey)
  {
    unsigned status = 503;
    WaitFor([&] {
      status = Get("/find/one", aKey);
      return status != 503;
    });
    return status == 401;
  }

  /** No log of a process and no server has seen a key. */
  void CheckNoKeyIsShown()
  {
    for (const auto& entry :
         std::filesystem::directory_iterator(mHosts->System().Folder())) {
      if (entry.path().extension() != ".log") {
        continue;
      }
      std::string log = ReadAll(entry.path());
      for (const std::string& key : { kKey, kTakenKey, kUnknownKey }) {
        CHECK(log.find(key) == std::string::npos);
      }
    }
    for (const std::string& head : mServer->Heads()) {
      CHECK(head.find("Authorization") == std::string::npos);
      CHECK(head.find("key-") == std::string::npos);
      CHECK(head.find("forged") == std::string::npos);
      bool isOpen = head.find("/open/") != std::string::npos;
      bool isNamed = head.find("X-Tenant: t1\r\n") != std::string::npos;
      CHECK(isOpen || isNamed);
    }
  }
};

// Guards against a key that is used after it was taken away: by hosts in
// contact, by a host that no change can reach, and after a cut.
TEST(caller_keys, AKeyIsTakenAwayAndAHostThatIsCutOffUsesNone)
{
  const std::string stays = '"' + kKey + '"';
  CHECK(Put(1, stays + ",\"" + kTakenKey + '"'));
  CHECK(WaitFor([&] { return Get("/find/one", kTakenKey) == 200; }));
  LONGS_EQUAL(200, Get("/find/one", kKey));
  CHECK(IsUnknown(kUnknownKey));
  CHECK(IsUnknown(""));
  LONGS_EQUAL(200, Get("/open/one", ""));
  LONGS_EQUAL(200, Get("/open/one", kUnknownKey));

  CHECK(Put(2, stays));
  CHECK(WaitFor([&] { return Get("/find/one", kTakenKey) == 401; }));
  LONGS_EQUAL(200, Get("/find/one", kKey));

  SignalControlHosts(SIGSTOP);
  std::this_thread::sleep_for(kRevocationTime);
  LONGS_EQUAL(503, Get("/find/one", kKey));
  LONGS_EQUAL(503, Get("/find/one", kTakenKey));
  LONGS_EQUAL(200, Get("/open/one", ""));

  SignalControlHosts(SIGCONT);
  CHECK(WaitFor([&] { return Get("/find/one", kKey) == 200; }));
  CHECK(IsUnknown(kTakenKey));
  CheckNoKeyIsShown();
}

// Guards against an entry host that was frozen while a key was taken away, and
// serves what came meanwhile by the state that it still has: nothing has told
// it of the change, since its control host is frozen too.
TEST(caller_keys, AHostThatWasFrozenDoesNotUseAKeyThatWasTakenAwayMeanwhile)
{
  const std::string stays = '"' + kKey + '"';
  CHECK(Put(1, stays + ",\"" + kTakenKey + '"'));
  CHECK(WaitFor([&] { return Get("/find/one", kTakenKey) == 200; }));

  mFrozen = WatchedControlHost();
  mHosts->System().Signal("e1", SIGSTOP);
  mHosts->System().Signal(mFrozen, SIGSTOP);
  CHECK(Put(2, stays));
  std::this_thread::sleep_for(kRevocationTime);
  unsigned taken = 0;
  // The kernel accepts the connection, and the host reads it when it goes on.
  std::thread caller([&] { taken = Get("/find/late", kTakenKey); });
  std::this_thread::sleep_for(milliseconds(200));
  mHosts->System().Signal("e1", SIGCONT);
  caller.join();
  CHECK(taken == 401 || taken == 503);
  for (const std::string& head : mServer->Heads()) {
    CHECK(head.find("/find/late") == std::string::npos);
  }
  // The server announces itself at this control host.
  mHosts->System().Signal(mFrozen, SIGCONT);
  CHECK(WaitFor([&] { return Get("/find/one", kKey) == 200; }));
  CHECK(IsUnknown(kTakenKey));
  CheckNoKeyIsShown();
}

// Guards against routes that are open to everyone, and servers that get the
// keys, once the last team is taken away, also by hosts that read the
// configuration from a log.
TEST(caller_keys, TheLastTeamIsTakenAwayAndNoKeyIsGood)
{
  CHECK(Put(1, '"' + kTakenKey + '"'));
  CHECK(WaitFor([&] { return Get("/find/one", kTakenKey) == 200; }));
  CHECK(IsUnknown(kUnknownKey));

  CHECK(PutTeams(2, "[]"));
  CHECK(WaitFor([&] { return Get("/find/one", kTakenKey) == 401; }));
  auto areRefused = [&] {
    for (const std::string& key : { kTakenKey, kUnknownKey, std::string() }) {
      CHECK(IsUnknown(key));
      LONGS_EQUAL(200, Get("/open/one", key));
    }
  };
  areRefused();

  std::vector<std::string> names{ "e1" };
  for (int number : mHosts->FirstControlHosts()) {
    names.push_back("c" + std::to_string(number));
  }
  for (const std::string& name : names) {
    mHosts->System().StopProcess(name, SIGKILL);
  }
  for (const std::string& name : names) {
    mHosts->System().Start(name);
  }
  CHECK(WaitFor([&] { return Get("/open/one", "") == 200; }));
  areRefused();
  STRCMP_EQUAL(
    Configuration(2, "[]").c_str(),
    Call("GET", mHosts->Platform(1), "/api/Config.Get").mBody.c_str());
  CheckNoKeyIsShown();
}
