#include "tests/integration/caller_load.h"

#include <csignal>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace test;

namespace {

void
Sleep(int aMilliseconds)
{
  std::this_thread::sleep_for(milliseconds(aMilliseconds));
}

/** Checks what must hold for any history of queries. */
void
CheckConsistent(const history_summary& aSummary)
{
  LONGS_EQUAL(0, aSummary.mMixedSnapshots);
  LONGS_EQUAL(0, aSummary.mInconsistent);
}

/** Also checks that no query failed or was partial. */
void
CheckComplete(const history_summary& aSummary)
{
  CheckConsistent(aSummary);
  STRCMP_EQUAL("", aSummary.mReasons.c_str());
  LONGS_EQUAL(0, aSummary.mLost);
  LONGS_EQUAL(0, aSummary.mPartial);
  CHECK(aSummary.mAnswered > 100);
}

}

TEST_GROUP(request_side){};

TEST(request_side, AKilledServerCostsNoCoverage)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  Sleep(500);
  for (int round = 0; round < 3; ++round) {
    system.SetBehaviour("rack1-0", R"({"crash":true})");
    Sleep(800);
    system.SetBehaviour("rack1-0", R"({"restart":false})");
    Sleep(800);
  }
  CheckComplete(Summarise(load.Stop()));
}

TEST(request_side, MismatchedTruncatedAndWrongSnapshotResponsesAreDiscarded)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  system.SetBehaviour("rack0-0", R"({"wrong_id":true})");
  system.SetBehaviour("rack1-1", R"({"truncates":true})");
  system.SetBehaviour("rack2-2", R"({"wrong_snapshot":true})");
  Sleep(2000);
  auto summary = Summarise(load.Stop());
  CheckConsistent(summary);
  LONGS_EQUAL(0, summary.mLost);
  CHECK(summary.mAnswered > 100);
}

TEST(request_side, SilentConnectionsAreAbandoned)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  Sleep(1500);
  system.SetBehaviour("*", R"({"silence_open":true})");
  Sleep(6000);
  auto history = load.Stop();
  auto summary = Summarise(history);
  CheckConsistent(summary);
  // Once the silent connections are detected, all queries succeed again.
  std::vector<call_record> last(history.end() - 50, history.end());
  CheckComplete([&] {
    auto end = Summarise(last);
    // CheckComplete() requires more than 100 answered queries; these are 50.
    end.mAnswered += 100;
    return end;
  }());
}

TEST(request_side, EachResponseIsOfOneSnapshotDuringARollout)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  Sleep(300);
  for (int version = 2; version <= 5; ++version) {
    std::string oldAndNew = R"({"snapshots":[)" + std::to_string(version - 1) +
                            "," + std::to_string(version) + "]}";
    std::string onlyNew = R"({"snapshots":[)" + std::to_string(version) + "]}";
    for (int replica = 0; replica < 3; ++replica) {
      for (int service = 0; service < 4; ++service) {
        system.SetBehaviour("rack" + std::to_string(service) + "-" +
                              std::to_string(replica),
                            oldAndNew);
      }
      Sleep(150);
    }
    system.SetBehaviour("rack*", onlyNew);
    Sleep(500);
  }
  auto summary = Summarise(load.Stop());
  CheckConsistent(summary);
  LONGS_EQUAL(0, summary.mLost);
  CHECK(summary.mAnswered > 100);
}

TEST(request_side, AFailureDomainTakenOutAndBackFailsNoRequest)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  Sleep(500);
  LONGS_EQUAL(
    200, system.Put("/v1/failure-domains/a", R"({"state":"out"})").mStatus);
  Sleep(3000);
  double before = 0;
  for (const auto& server : system.Servers()) {
    const auto& one = server.as_object();
    if (one.at("failure_domain").as_string() == "a") {
      before += one.at("searches").to_number<double>();
    }
  }
  Sleep(2000);
  double after = 0;
  for (const auto& server : system.Servers()) {
    const auto& one = server.as_object();
    if (one.at("failure_domain").as_string() == "a") {
      after += one.at("searches").to_number<double>();
    }
  }
  // The failure domain gets no new requests after a few seconds.
  DOUBLES_EQUAL(before, after, 0);
  LONGS_EQUAL(200,
              system.Put("/v1/failure-domains/a", R"({"state":"in"})").mStatus);
  Sleep(2000);
  CheckComplete(Summarise(load.Stop()));
}

TEST(request_side, AnEntryHostThatShutsDownFailsNoRequest)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  Sleep(500);
  system.Signal("e2", SIGTERM);
  Sleep(1000);
  // A second SIGTERM must not abort requests either.
  LONGS_EQUAL(0, system.StopProcess("e2", SIGTERM));
  Sleep(500);
  CheckComplete(Summarise(load.Stop()));
}

TEST(request_side, ADrainingServerGetsNoNewWork)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  Sleep(500);
  system.SetBehaviour("rack2-1", R"({"state":"draining"})");
  Sleep(3000);
  double before = system.SumCounter("rack2-1", "searches");
  Sleep(1500);
  DOUBLES_EQUAL(before, system.SumCounter("rack2-1", "searches"), 0);
  CheckComplete(Summarise(load.Stop()));
}

TEST(request_side, AServerThatSaysInResponsesThatItLeavesGetsNoNewWork)
{
  system_options options;
  options.mExtraEntrySettings = "leaving_grace_ms=1000\n";
  test_system system(options);
  system.StartAll();
  caller_load load(system, 4);
  Sleep(500);
  // Its announcements still say that it is ready.
  system.SetBehaviour("rack2-1", R"({"leaving":true})");
  Sleep(2500);
  double before = system.SumCounter("rack2-1", "searches");
  Sleep(2000);
  DOUBLES_EQUAL(before, system.SumCounter("rack2-1", "searches"), 0);
  // A restart is a new incarnation.
  system.SetBehaviour("rack2-1", R"({"leaving":false,"crash":true})");
  system.SetBehaviour("rack2-1", R"({"restart":false})");
  CHECK(
    WaitFor([&] { return system.SumCounter("rack2-1", "searches") > before; }));
  CheckConsistent(Summarise(load.Stop()));
}

TEST(request_side, ServersThatAskForTimeGetItAndCallersAreToldAtOnce)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  Sleep(500);
  // One of three servers: the others take its load.
  system.SetBehaviour("rack2-1", R"({"pause_ms":3000})");
  Sleep(800);
  double before = system.SumCounter("rack2-1", "sheds");
  CHECK(before > 0);
  Sleep(1200);
  DOUBLES_EQUAL(before, system.SumCounter("rack2-1", "sheds"), 0);
  system.SetBehaviour("rack2-1", R"({"pause_ms":0})");
  double served = system.SumCounter("rack2-1", "searches");
  CHECK(
    WaitFor([&] { return system.SumCounter("rack2-1", "searches") > served; }));
  CheckComplete(Summarise(load.Stop()));
  // All servers of a service, for longer than a request may wait.
  system.SetBehaviour("log*", R"({"pause_ms":60000})");
  for (int number = 0; number < 3; ++number) {
    system.Run("e1", "key" + std::to_string(number));
  }
  auto start = std::chrono::steady_clock::now();
  auto refused = system.Run("e1", "last");
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
  LONGS_EQUAL(503, refused.mStatus);
  STRCMP_EQUAL("no", refused.Text("refusal.ran").c_str());
  double asked = system.SumCounter("log", "sheds");
  system.Run("e1", "later");
  DOUBLES_EQUAL(asked, system.SumCounter("log", "sheds"), 0);
}

TEST(request_side, ServersGetNoMoreThanTheRateTheyAnnounceFromAllHosts)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  Sleep(1000);
  system.SetBehaviour("rack2*", R"({"rate_per_second":10})");
  Sleep(6000);
  // Hosts come and go while the limit holds.
  system.StopProcess("e2", SIGKILL);
  Sleep(2000);
  system.Start("e2");
  Sleep(5000);
  for (const char* server : { "rack2-0", "rack2-1", "rack2-2" }) {
    CHECK(system.SumCounter(server, "max_in_rate_window") <= 40);
  }
  double served = system.SumCounter("rack2", "searches");
  Sleep(2000);
  CHECK(system.SumCounter("rack2", "searches") > served);
  system.SetBehaviour("rack2*", R"({"rate_per_second":-1})");
  Sleep(5000);
  served = system.SumCounter("rack2", "searches");
  Sleep(1000);
  // More than the limit of the three servers.
  CHECK(system.SumCounter("rack2", "searches") > served + 30);
  CheckConsistent(Summarise(load.Stop()));
}

TEST(request_side, AServerThatLeftIsNotUsedAfterARestartOfAllHosts)
{
  test_system system({});
  system.StartAll();
  system.SetBehaviour("rack2-1", R"({"state":"gone"})");
  Sleep(3000);
  double before = system.SumCounter("rack2-1", "searches");
  std::vector<std::string> hosts = system.ControlHosts();
  for (const std::string& host : system.EntryHosts()) {
    hosts.push_back(host);
  }
  for (const std::string& host : hosts) {
    system.StopProcess(host, SIGKILL);
  }
  for (const std::string& host : hosts) {
    system.Start(host);
  }
  for (const std::string& host : system.EntryHosts()) {
    CHECK(WaitFor([&] { return system.Query(host).mStatus == 200; }));
  }
  caller_load load(system, 4);
  Sleep(2000);
  CheckConsistent(Summarise(load.Stop()));
  DOUBLES_EQUAL(before, system.SumCounter("rack2-1", "searches"), 0);
}

TEST(request_side, ColdServersStayWithinTheirLimits)
{
  system_options options;
  options.mInitialServerState = "cold";
  options.mGroups = { "rack:4:3:4:60:2:3:0", "log:1:3:4:60:2:3:0" };
  test_system system(options);
  system.StartAll();
  caller_load load(system, 12);
  Sleep(3000);
  auto summary = Summarise(load.Stop());
  CheckConsistent(summary);
  CHECK(summary.mAnswered > 10);
  DOUBLES_EQUAL(0, system.SumCounter("", "over_cold"), 0);
  DOUBLES_EQUAL(0, system.SumCounter("", "over_connections"), 0);
}

TEST(request_side, ARunSentToAllEntryHostsAtOnceExecutesOnce)
{
  test_system system({});
  system.StartAll();
  constexpr int kOrders = 20;
  for (int order = 0; order < kOrders; ++order) {
    std::string key = "order-" + std::to_string(order);
    std::vector<std::thread> callers;
    std::mutex lock;
    std::vector<call_result> results;
    for (int copy = 0; copy < 6; ++copy) {
      callers.emplace_back([&, copy] {
        std::string host = "e" + std::to_string(copy % 3 + 1);
        auto result = system.Run(host, key);
        std::lock_guard guard(lock);
        results.push_back(std::move(result));
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    for (const call_result& result : results) {
      LONGS_EQUAL(200, result.mStatus);
      STRCMP_EQUAL(results.front().Text("answer").c_str(),
                   result.Text("answer").c_str());
    }
  }
  for (const auto& [key, count] : system.RunCounts()) {
    LONGS_EQUAL(1, count);
  }
  LONGS_EQUAL(kOrders, system.RunCounts().size());
  // Reuse of the key with another body must be refused.
  auto other = system.Run("e1", "order-0", "another order");
  LONGS_EQUAL(409, other.mStatus);
  STRCMP_EQUAL("key_reused", other.Text("refusal.reason").c_str());
}

TEST(request_side, ARunWhoseOwnerIsKilledIsNeverExecutedAgain)
{
  test_system system({});
  system.StartAll();
  for (int round = 0; round < 2; ++round) {
    std::string key = "lost-" + std::to_string(round);
    // The servers respond slowly, so that the entry host that owns the claim is
    // killed during the run.
    system.SetBehaviour("log0-*", R"({"service_ms":600})");
    std::thread caller([&] { system.Run("e1", key); });
    Sleep(100 + round * 300);
    system.StopProcess("e1", SIGKILL);
    caller.join();
    auto second = system.Run("e2", key);
    auto third = system.Run("e3", key);
    for (const call_result& resent : { second, third }) {
      bool isExpected =
        resent.mStatus == 200 || resent.Text("refusal.ran") == "unknown";
      CHECK(isExpected);
    }
    system.Start("e1");
    CHECK(WaitFor([&] { return system.Query("e1").mStatus == 200; }));
  }
  for (const auto& [key, count] : system.RunCounts()) {
    CHECK(count <= 1);
  }
}

TEST(request_side, RunsExecuteOnceWhenTheLeaderIsKilled)
{
  test_system system({});
  system.StartAll();
  constexpr int kCallers = 6;
  constexpr int kOrders = 40;
  std::mutex lock;
  std::map<std::string, std::set<std::string>> answers;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int order = 0; order < kOrders; ++order) {
        std::string key =
          "o" + std::to_string(caller) + "-" + std::to_string(order);
        // Each order is resent to one entry host after another until it
        // succeeds.
        for (int resend = 0; resend < 60; ++resend) {
          std::string host =
            "e" + std::to_string((caller + order + resend) % 3 + 1);
          auto result = system.Run(host, key);
          std::lock_guard guard(lock);
          if (result.mStatus == 200) {
            answers[key].insert(result.Text("answer"));
            break;
          }
        }
      }
    });
  }
  Sleep(300);
  std::string leader = system.Leader();
  system.StopProcess(leader, SIGKILL);
  Sleep(2500);
  system.Start(leader);
  for (std::thread& caller : callers) {
    caller.join();
  }
  LONGS_EQUAL(kCallers * kOrders, answers.size());
  for (const auto& [key, count] : system.RunCounts()) {
    LONGS_EQUAL(1, count);
  }
  // A resent order must return its first result.
  auto again = system.Run("e1", "o0-0");
  CHECK(answers["o0-0"].contains(again.Text("answer")));
}

TEST(request_side, AKilledEntryHostFailsOnlyItsOwnRequests)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  Sleep(500);
  system.StopProcess("e2", SIGKILL);
  Sleep(3000);
  auto history = load.Stop();
  std::vector<call_record> others;
  for (call_record& record : history) {
    if (record.mHost != system.CallersAddress("e2")) {
      others.push_back(std::move(record));
    }
  }
  CheckComplete(Summarise(others));
}

TEST(request_side, AServerAndTheLeaderKilledTogetherCostNoCoverage)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  Sleep(500);
  std::string leader = system.Leader();
  system.SetBehaviour("rack1-0", R"({"crash":true})");
  system.StopProcess(leader, SIGKILL);
  Sleep(3000);
  system.SetBehaviour("rack2-1", R"({"crash":true})");
  system.Start(leader);
  Sleep(2000);
  CheckComplete(Summarise(load.Stop()));
}

TEST(request_side, ARunThatAllServersShedIsReleasedAndMayRunLater)
{
  test_system system({});
  system.StartAll();
  system.SetBehaviour("log0-*", R"({"sheds":true})");
  auto refused = system.Run("e1", "later");
  LONGS_EQUAL(503, refused.mStatus);
  STRCMP_EQUAL("no", refused.Text("refusal.ran").c_str());
  CHECK(system.RunCounts().empty());
  system.SetBehaviour("log0-*", R"({"sheds":false})");
  CHECK(WaitFor([&] { return system.Run("e2", "later").mStatus == 200; }));
  LONGS_EQUAL(1, system.RunCounts().at("later"));
}

TEST(request_side, ARequestThatCrashesServersIsQuarantinedOnAllHosts)
{
  test_system system({});
  system.StartAll();
  for (int resend = 0; resend < 10; ++resend) {
    std::string host = "e" + std::to_string(resend % 3 + 1);
    auto result = system.Query(host, "team", "CRASH whoever runs this");
    CHECK(result.mStatus != 200);
  }
  CHECK(system.SumCounter("", "crashes") <= 2);
  auto list = Call("GET", system.OperatorsAddress("c1"), "/v1/quarantine");
  CHECK(list.mBody.find("fingerprint") != std::string::npos);
  // Other requests succeed once the servers have restarted.
  CHECK(WaitFor([&] { return system.Query("e1").mStatus == 200; }));
}

TEST(request_side, InvalidInputIsRefusedWithAReasonAndRecorded)
{
  system_options options;
  options.mExtraEntrySettings = "body_bytes=2048\nslow_sender_ms=500\n";
  test_system system(options);
  system.StartAll();
  auto reason = [](const call_result& aResult) {
    return aResult.Text("refusal.reason");
  };
  auto unknown = system.Query("e1", "nobody");
  LONGS_EQUAL(404, unknown.mStatus);
  STRCMP_EQUAL("unknown_team", reason(unknown).c_str());
  auto large = system.Query("e1", "team", std::string(5000, 'x'));
  LONGS_EQUAL(400, large.mStatus);
  STRCMP_EQUAL("body_too_large", reason(large).c_str());
  auto withoutKey =
    Call("POST", system.CallersAddress("e1"), "/v1/teams/team/run", "x");
  LONGS_EQUAL(400, withoutKey.mStatus);
  STRCMP_EQUAL("missing_key", reason(withoutKey).c_str());
  auto deadline =
    system.Query("e1", "team", "q", { { "Deadline-Ms", "soon" } });
  LONGS_EQUAL(400, deadline.mStatus);
  STRCMP_EQUAL("bad_request", reason(deadline).c_str());
  LONGS_EQUAL(404,
              Call("GET", system.CallersAddress("e1"), "/nothing").mStatus);
  std::string garbage =
    SendRaw(system.CallersAddress("e1"), "NOT HTTP AT ALL\r\n\r\n");
  CHECK(garbage.find("400") != std::string::npos);
  std::string slow =
    SendRaw(system.CallersAddress("e1"),
            "POST /v1/teams/team/query HTTP/1.1\r\nContent-Le");
  CHECK(slow.find("400") != std::string::npos);
  LONGS_EQUAL(200, system.Query("e1").mStatus);
  // Each refusal must be stored, without gaps.
  CHECK(WaitFor([&] {
    auto account = Call("GET", system.OperatorsAddress("c1"), "/v1/refusals");
    if (account.mStatus != 200) {
      return false;
    }
    std::multiset<std::string> reasons;
    const auto& object = account.mJson.as_object();
    for (const auto& one : object.at("refusals").as_array()) {
      reasons.emplace(one.as_object().at("reason").as_string());
    }
    // Garbage, a slow sender and an invalid header are three bad requests.
    return reasons.count("bad_request") == 3 &&
           reasons.count("body_too_large") == 1 &&
           reasons.count("missing_key") == 1 &&
           object.at("gaps").as_array().empty();
  }));
}

TEST(request_side, AControlHostKilledUnderLoadFailsNoRequest)
{
  test_system system({});
  system.StartAll();
  caller_load load(system, 4);
  Sleep(500);
  std::string leader = system.Leader();
  system.StopProcess(leader, SIGKILL);
  Sleep(3500);
  system.Start(leader);
  Sleep(1500);
  CheckComplete(Summarise(load.Stop()));
}
