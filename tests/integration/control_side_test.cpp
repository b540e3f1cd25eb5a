#include "core/address.h"
#include "tests/integration/test_system.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <mutex>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace test;

TEST_GROUP(control_side){};

TEST(control_side, ConcurrentChangesOfOneVersionAcceptExactlyOneAndResendsAgree)
{
  test_system system({});
  system.StartAll();
  std::vector<std::string> controls = system.ControlHosts();
  auto first = system.Put("/v1/templates/race", R"({"services":"rack0"})");
  double version = first.Number("version");
  constexpr int kRounds = 30;
  for (int round = 0; round < kRounds; ++round) {
    std::mutex lock;
    std::multiset<unsigned> statuses;
    double accepted = -1;
    std::vector<std::thread> operators;
    for (int number = 0; number < 2; ++number) {
      operators.emplace_back([&, number] {
        std::string change =
          "r" + std::to_string(round) + "-" + std::to_string(number);
        headers changeHeaders{ { "Change-Id", change },
                               { "If-Version",
                                 std::to_string(static_cast<long>(version)) } };
        std::string body = R"({"services":"rack0","wait_ms":)" +
                           std::to_string(100 + round * 2 + number) + "}";
        auto original = Call("PUT",
                             system.OperatorsAddress(controls[number]),
                             "/v1/templates/race",
                             body,
                             changeHeaders);
        // As if the response was lost: the same change goes to another host.
        auto resent = Call("PUT",
                           system.OperatorsAddress(controls[2 - number]),
                           "/v1/templates/race",
                           body,
                           changeHeaders);
        std::lock_guard guard(lock);
        if (original.mStatus != resent.mStatus ||
            original.Number("version") != resent.Number("version")) {
          statuses.insert(999);
        }
        statuses.insert(original.mStatus);
        if (original.mStatus == 200) {
          accepted = original.Number("version");
        }
      });
    }
    for (std::thread& thread : operators) {
      thread.join();
    }
    LONGS_EQUAL(1, statuses.count(200));
    LONGS_EQUAL(1, statuses.count(409));
    CHECK(accepted > version);
    version = accepted;
  }
}

TEST(control_side, AResentChangeReturnsItsFirstResultAfterARestartOfAllHosts)
{
  test_system system({});
  system.StartAll();
  headers changeHeaders{ { "Change-Id", "once" }, { "If-Version", "0" } };
  auto first =
    system.Put("/v1/templates/kept", R"({"services":"rack1"})", changeHeaders);
  LONGS_EQUAL(200, first.mStatus);
  for (const std::string& host : system.ControlHosts()) {
    system.StopProcess(host, SIGKILL);
  }
  for (const std::string& host : system.ControlHosts()) {
    system.Start(host);
  }
  CHECK(WaitFor([&] { return !system.Leader().empty(); }));
  auto resent =
    system.Put("/v1/templates/kept", R"({"services":"rack1"})", changeHeaders);
  LONGS_EQUAL(200, resent.mStatus);
  CHECK(first.Number("version") == resent.Number("version"));
  // Reuse of the id for a different change must be rejected.
  auto other =
    system.Put("/v1/templates/kept", R"({"services":"rack2"})", changeHeaders);
  LONGS_EQUAL(409, other.mStatus);
  STRCMP_EQUAL("key_reused", other.Text("verdict").c_str());
}

TEST(control_side, AnIsolatedLeaderServesNoConfirmedReads)
{
  system_options options;
  options.mUsesControlProxy = true;
  options.mExtraEntrySettings = "lease_ms=2000\n";
  test_system system(options);
  system.StartAll();
  std::string leader = system.Leader();
  // A silent partition: connections stay open but carry no data.
  system.SetLinkBehaviour(leader + "-*", R"({"silence_open":true,"cut":true})");
  for (const std::string& other : system.ControlHosts()) {
    system.SetLinkBehaviour(other + "-" + leader,
                            R"({"silence_open":true,"cut":true})");
  }
  CHECK(WaitFor([&] {
    for (const std::string& host : system.ControlHosts()) {
      auto status = Call("GET", system.OperatorsAddress(host), "/v1/status");
      std::string reported = status.Text("leader");
      if (host != leader && !reported.empty() && reported != leader) {
        return true;
      }
    }
    return false;
  }));
  std::string other = leader == "c1" ? "c2" : "c1";
  auto change = Call("PUT",
                     system.OperatorsAddress(other),
                     "/v1/teams/after",
                     R"({"template":"basic"})");
  LONGS_EQUAL(200, change.mStatus);
  // The old leader must not serve its records as confirmed.
  auto read = Call("GET", system.OperatorsAddress(leader), "/v1/teams/team");
  LONGS_EQUAL(503, read.mStatus);
  // Entry hosts that were connected to the old leader must have switched to
  // another control host and received the change.
  for (const std::string& host : system.EntryHosts()) {
    CHECK(WaitFor([&] { return system.Query(host, "after").mStatus == 200; }));
  }
}

TEST(control_side, AnEntryHostWithAnExpiredLeaseRefusesRequests)
{
  system_options options;
  options.mUsesControlProxy = true;
  options.mExtraEntrySettings = "lease_ms=2000\n";
  test_system system(options);
  system.StartAll();
  LONGS_EQUAL(200, system.Query("e2").mStatus);
  system.SetLinkBehaviour("e2-*", R"({"silence_open":true,"cut":true})");
  CHECK(WaitFor([&] { return system.Query("e2").mStatus == 503; }));
  auto refused = system.Query("e2");
  STRCMP_EQUAL("not_confirmed", refused.Text("refusal.reason").c_str());
  STRCMP_EQUAL("no", refused.Text("refusal.ran").c_str());
  LONGS_EQUAL(503, Call("GET", system.CallersAddress("e2"), "/readyz").mStatus);
  // The other entry hosts stop listing it and list it again once it is back.
  CHECK(WaitFor([&] {
    auto list = Call("GET", system.CallersAddress("e1"), "/v1/entry-hosts");
    return list.mBody.find("\"e2\"") == std::string::npos;
  }));
  system.SetLinkBehaviour("e2-*", R"({"cut":false})");
  CHECK(WaitFor([&] { return system.Query("e2").mStatus == 200; }));
  CHECK(WaitFor([&] {
    auto list = Call("GET", system.CallersAddress("e1"), "/v1/entry-hosts");
    return list.mBody.find("\"e2\"") != std::string::npos;
  }));
}

TEST(control_side, AReplacedDiskGetsAVoteAndASecondLossIsTolerated)
{
  test_system system({});
  system.StartAll();
  std::string leader = system.Leader();
  std::string lost = leader == "c1" ? "c2" : "c1";
  struct member
  {
    std::string mHost;
    std::string mDisk;
    bool mVotes;
  };
  auto readMembers = [&] {
    std::vector<member> members;
    auto status = Call("GET", system.OperatorsAddress(leader), "/v1/status");
    if (!status.mJson.is_object()) {
      return members;
    }
    for (const auto& entry :
         status.mJson.as_object().at("members").as_array()) {
      const auto& fields = entry.as_object();
      members.push_back({ fields.at("host").as_string().c_str(),
                          fields.at("disk").as_string().c_str(),
                          fields.at("voter").as_bool() });
    }
    return members;
  };
  std::string lostDisk;
  for (const member& entry : readMembers()) {
    if (entry.mHost == lost) {
      lostDisk = entry.mDisk;
    }
  }
  CHECK(!lostDisk.empty());
  system.StopProcess(lost, SIGKILL);
  system.DeleteDataFolder(lost);
  CHECK(WaitFor([&] {
    return system.Put("/v1/teams/t1", R"({"template":"basic"})").mStatus == 200;
  }));
  system.Start(lost);
  // Once it has caught up, the new disk replaces the old one as a voter. The
  // members are checked in a single status response: the new disk may be added
  // as a learner between two responses.
  CHECK(WaitFor([&] {
    auto members = readMembers();
    return members.size() == 3 &&
           std::all_of(members.begin(), members.end(), [&](const member& aOne) {
             return aOne.mVotes && aOne.mDisk != lostDisk;
           });
  }));
  system.StopProcess(leader, SIGKILL);
  CHECK(WaitFor([&] {
    return system.Put("/v1/teams/t2", R"({"template":"basic"})").mStatus == 200;
  }));
  CHECK(WaitFor([&] {
    return Call("GET", system.OperatorsAddress(lost), "/v1/teams/t1").mStatus ==
           200;
  }));
}

TEST(control_side, ALostControlHostLeavesNoSpareVoterUntilItIsBack)
{
  system_options options;
  options.mEntryHosts = 1;
  test_system system(options);
  system.StartAll();
  std::string leader = system.Leader();
  std::string lost = leader == "c1" ? "c2" : "c1";
  auto shows = [&](const std::string& aHost, const std::string& aMetric) {
    auto page = Call("GET", system.OperatorsAddress(aHost), "/metrics");
    return page.mStatus == 200 &&
           page.mBody.find("\nhibiscusspool_control_" + aMetric + "\n") !=
             std::string::npos;
  };
  auto strength = [&](const std::string& aField) {
    return Call("GET", system.OperatorsAddress(leader), "/v1/status")
      .Number("strength." + aField);
  };
  CHECK(WaitFor([&] { return shows(leader, "spare_voters 1"); }));
  CHECK(shows(leader, "leading 1"));
  CHECK(shows(lost, "leading 0"));
  CHECK(shows(lost, "in_touch 1"));
  CHECK_FALSE(shows(lost, "spare_voters 1"));
  system.StopProcess(lost, SIGKILL);
  CHECK(WaitFor([&] { return shows(leader, "spare_voters 0"); }));
  CHECK(shows(leader, "voters 3"));
  CHECK(shows(leader, "reachable_voters 2"));
  DOUBLES_EQUAL(3, strength("voters"), 0);
  DOUBLES_EQUAL(2, strength("reachable_voters"), 0);
  DOUBLES_EQUAL(0, strength("spare_voters"), 0);
  system.Start(lost);
  CHECK(WaitFor([&] { return shows(leader, "spare_voters 1"); }));
}

TEST(control_side, RestartsWithAThousandChangesInTheLog)
{
  system_options options;
  options.mEntryHosts = 1;
  test_system system(options);
  system.StartAll();
  for (int number = 0; number < 1000; ++number) {
    auto change = system.Put("/v1/templates/t" + std::to_string(number % 50),
                             R"({"services":"rack0","wait_ms":)" +
                               std::to_string(100 + number) + "}");
    LONGS_EQUAL(200, change.mStatus);
  }
  for (const std::string& host : system.ControlHosts()) {
    system.StopProcess(host, SIGKILL);
  }
  for (const std::string& host : system.ControlHosts()) {
    system.Start(host);
  }
  CHECK(WaitFor([&] {
    auto read = Call("GET", system.OperatorsAddress("c2"), "/v1/templates/t49");
    return read.mStatus == 200 && read.Text("wait_ms") == "1099";
  }));
  CHECK(WaitFor([&] { return system.Query("e1").mStatus == 200; }));
}

TEST(control_side, ATornLogTailIsTruncatedAndACorruptLogIsKeptAside)
{
  system_options options;
  options.mControlHosts = 1;
  options.mEntryHosts = 1;
  test_system system(options);
  system.Start("c1");
  CHECK(WaitFor([&] {
    return system.Put("/v1/templates/one", R"({"services":"a"})").mStatus ==
           200;
  }));
  for (int number = 0; number < 20; ++number) {
    system.Put("/v1/templates/more" + std::to_string(number),
               R"({"services":"a"})");
  }
  system.StopProcess("c1", SIGKILL);
  auto folder = system.Folder() / "data-c1" / "log";
  std::filesystem::path segment = folder / "log-1";
  {
    std::FILE* file = std::fopen(segment.c_str(), "ab");
    std::fputs("half a frame", file);
    std::fclose(file);
  }
  system.Start("c1");
  CHECK(WaitFor([&] {
    return Call("GET", system.OperatorsAddress("c1"), "/v1/templates/more19")
             .mStatus == 200;
  }));
  system.StopProcess("c1", SIGKILL);
  {
    std::FILE* file = std::fopen(segment.c_str(), "r+b");
    std::fseek(file, 100, SEEK_SET);
    std::fputs("XXXXXXXX", file);
    std::fclose(file);
  }
  auto size = std::filesystem::file_size(segment);
  system.Start("c1");
  auto kept = system.Folder() / "data-c1" / "log-damaged" / "log-1";
  CHECK(WaitFor([&] { return std::filesystem::exists(kept); }));
  LONGS_EQUAL(size, std::filesystem::file_size(kept));
  auto read = [&] {
    return Call("GET", system.OperatorsAddress("c1"), "/v1/templates/more19")
      .mStatus;
  };
  CHECK(WaitFor([&] { return read() == 503; }));
  // It had a group, so it neither confirms anything nor forms a new one.
  CHECK(!WaitFor(
    [&] {
      return read() != 503 ||
             system.Put("/v1/templates/other", R"({"services":"a"})").mStatus ==
               200;
    },
    std::chrono::seconds(5)));
  LONGS_EQUAL(0, system.StopProcess("c1", SIGTERM));
}

TEST(control_side, AControlHostWaitsForADiskThatRefusesItsStart)
{
  system_options options;
  options.mControlHosts = 1;
  options.mEntryHosts = 1;
  test_system system(options);
  // A file in the folder's place refuses it, as a full disk would.
  auto blocked = system.Folder() / "data-c1";
  std::ofstream(blocked) << "not a folder";
  system.Start("c1");
  std::this_thread::sleep_for(milliseconds(1500));
  std::filesystem::remove(blocked);
  CHECK(WaitFor([&] {
    return system.Put("/v1/templates/one", R"({"services":"a"})").mStatus ==
           200;
  }));
  LONGS_EQUAL(0, system.StopProcess("c1", SIGTERM));
  std::filesystem::remove_all(blocked);
  std::ofstream(blocked) << "not a folder";
  system.Start("c1");
  std::this_thread::sleep_for(milliseconds(1000));
  LONGS_EQUAL(0, system.StopProcess("c1", SIGTERM));
}

TEST(control_side, AnnouncementsOutOfRangeOrWithAUsedAddressAreRefused)
{
  system_options options;
  test_system system(options);
  system.StartAll();
  std::string address = system.AnnounceAddress("e1");
  auto announce = [&](const std::string& aName, const std::string& aRest) {
    return Call("POST",
                address,
                "/v1/announce",
                R"({"server":")" + aName +
                  R"(","incarnation":5,"service":"s","failure_domain":"a",)" +
                  aRest + "}");
  };
  std::string valid =
    R"("address":"127.0.0.1:9","slots":2,"connections":9,"cold_slots":1,)"
    R"("state":"ready","snapshots":[1])";
  LONGS_EQUAL(200, announce("x1", valid).mStatus);
  auto usedAddress = announce("x2", valid);
  LONGS_EQUAL(409, usedAddress.mStatus);
  CHECK(usedAddress.mBody.find("x1") != std::string::npos);
  auto outOfRange =
    announce("x3",
             R"("address":"127.0.0.1:8","slots":99999999,"connections":9,)"
             R"("cold_slots":1,"state":"ready","snapshots":[1])");
  LONGS_EQUAL(400, outOfRange.mStatus);
  CHECK(outOfRange.mBody.find("slots") != std::string::npos);
  LONGS_EQUAL(400, announce("x4", R"("address":"name:80")").mStatus);
  LONGS_EQUAL(400, Call("POST", address, "/v1/announce", "{not json").mStatus);
}

TEST(control_side, AnAnnouncementWithoutAMajorityIsRefusedAfterAPause)
{
  test_system system({});
  system.StartAll();
  const std::string announcement =
    R"({"server":"new","incarnation":1,"service":"rack0",)"
    R"("failure_domain":"a","address":"127.0.0.1:9","slots":1,)"
    R"("connections":4,"cold_slots":1,"state":"ready","snapshots":[1]})";
  system.StopProcess("c1", SIGKILL);
  system.StopProcess("c2", SIGKILL);
  CHECK(WaitFor([&] { return system.Query("e1").mStatus == 503; }));
  // Without the pause, all servers would ask all hosts again and again.
  auto start = std::chrono::steady_clock::now();
  auto refused =
    Call("POST", system.AnnounceAddress("e1"), "/v1/announce", announcement);
  LONGS_EQUAL(503, refused.mStatus);
  CHECK(std::chrono::steady_clock::now() - start >= milliseconds(500));
}

TEST(control_side, AFrozenLeaderDoesNotHoldChangesOnceAnotherLeads)
{
  test_system system({});
  system.StartAll();
  std::string frozen = system.Leader();
  std::string other = frozen == "c1" ? "c2" : "c1";
  // This host now knows the leader from a change of its own.
  auto put = [&](const std::string& aName) {
    return Call("PUT",
                system.OperatorsAddress(other),
                "/v1/templates/" + aName,
                R"({"services":"a"})");
  };
  LONGS_EQUAL(200, put("before").mStatus);
  system.Signal(frozen, SIGSTOP);
  CHECK(WaitFor([&] {
    std::string leader =
      Call("GET", system.OperatorsAddress(other), "/v1/status").Text("leader");
    return !leader.empty() && leader != frozen;
  }));
  LONGS_EQUAL(200, put("after").mStatus);
}

// Guards against changes that wait for a leader that is gone until their time
// is over, while the group has another one.
TEST(control_side, AChangeSentToAFrozenLeaderReachesTheNextOne)
{
  test_system system({});
  system.StartAll();
  std::string frozen = system.Leader();
  std::string other = frozen == "c1" ? "c2" : "c1";
  auto put = [&](const std::string& aName) {
    return Call("PUT",
                system.OperatorsAddress(other),
                "/v1/templates/" + aName,
                R"({"services":"a"})")
      .mStatus;
  };
  LONGS_EQUAL(200, put("before"));
  system.Signal(frozen, SIGSTOP);
  LONGS_EQUAL(200, put("meanwhile"));
}

namespace {

/** Sends an order and closes the connection after a second without having read
 * a response. */
void
SendAndGiveUp(const std::string& aAddress, const std::string& aBody)
{
  auto address = hibiscusspool::ParseAddress(aAddress);
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(
    { boost::asio::ip::make_address(address->mIp), address->mPort }, error);
  std::string bytes = "PUT /v1/failure-domains/b HTTP/1.1\r\nHost: a\r\n"
                      "Content-Length: " +
                      std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  std::this_thread::sleep_for(milliseconds(1000));
}

}

// Guards against orders that undo later ones: an order that waited unread at a
// frozen control host was carried out when the host went on, after its operator
// had sent it to another host and then given a later order.
TEST(control_side, AnOrderThatWaitedAtAFrozenHostDoesNotUndoALaterOne)
{
  const std::string out = R"({"state":"out"})";
  const std::string in = R"({"state":"in"})";
  test_system system({});
  system.StartAll();
  for (bool freezesLeader : { false, true }) {
    LONGS_EQUAL(200, system.Put("/v1/failure-domains/b", out).mStatus);
    std::string leader = system.Leader();
    std::string follower = leader == "c1" ? "c2" : "c1";
    std::string frozen = freezesLeader ? leader : follower;
    std::string other = frozen == "c3" ? "c2" : "c3";
    system.Signal(frozen, SIGSTOP);
    std::this_thread::sleep_for(milliseconds(300));
    SendAndGiveUp(system.OperatorsAddress(frozen), in);
    auto put = [&](const std::string& aBody) {
      return WaitFor([&] {
        return Call("PUT",
                    system.OperatorsAddress(other),
                    "/v1/failure-domains/b",
                    aBody)
                 .mStatus == 200;
      });
    };
    CHECK(put(in));
    CHECK(put(out));
    system.Signal(frozen, SIGCONT);
    std::this_thread::sleep_for(milliseconds(3000));
    auto read =
      Call("GET", system.OperatorsAddress(other), "/v1/failure-domains/b");
    LONGS_EQUAL(200, read.mStatus);
    STRCMP_EQUAL("out", read.Text("state").c_str());
  }
}
