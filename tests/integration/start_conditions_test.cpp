#include "core/address.h"
#include "tests/integration/seeded_system.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <csignal>
#include <fstream>
#include <optional>
#include <thread>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace test;

TEST_GROUP(start_conditions){};

TEST(start_conditions, ControlHostsWithoutSeedsServeTheGroupOnTheirDisks)
{
  seeded_system hosts({});
  hosts.StartControlHosts(hosts.AllSeeds(), true);
  CHECK(WaitFor([&] { return hosts.Put(2, "one") == 200; }));
  for (const char* host : { "c1", "c2", "c3" }) {
    hosts.System().StopProcess(host, SIGKILL);
  }
  hosts.StartControlHosts("", false);
  CHECK(WaitFor([&] { return hosts.Put(2, "two") == 200; }));
  LONGS_EQUAL(200,
              Call("GET", hosts.Operators(2), "/v1/templates/one").mStatus);
}

TEST(start_conditions, AnEntryHostWithoutSeedsWaitsForThem)
{
  seeded_system hosts({});
  hosts.StartControlHosts(hosts.AllSeeds(), true);
  hosts.WriteEntry("");
  hosts.System().Start("e1");
  CHECK(WaitFor([&] { return hosts.Put(1, "one") == 200; }));
  std::this_thread::sleep_for(milliseconds(1000));
  hosts.WriteEntry(hosts.AllSeeds());
  CHECK(WaitFor([&] { return hosts.EntryHostListsItself(); }));
}

TEST(start_conditions, AControlHostWithoutDiskAndSeedsJoinsOnceItIsToldOfThem)
{
  seeded_system hosts({});
  hosts.StartControlHosts(hosts.AllSeeds(), true);
  CHECK(WaitFor([&] { return hosts.Put(1, "one") == 200; }));
  hosts.System().StopProcess("c3", SIGKILL);
  hosts.System().DeleteDataFolder("c3");
  hosts.WriteControl(3, "", false);
  hosts.System().Start("c3");
  std::this_thread::sleep_for(milliseconds(1000));
  hosts.WriteControl(3, hosts.AllSeeds(), false);
  hosts.System().Signal("c3", SIGHUP);
  CHECK(WaitFor([&] {
    return Call("GET", hosts.Operators(3), "/v1/templates/one").mStatus == 200;
  }));
}

TEST(start_conditions, AProcessSaysHowTheOneBeforeItEnded)
{
  system_options options;
  options.mControlHosts = 1;
  test_system system(options);
  // The first process creates the folder in which the second one leaves word.
  system.Start("c1");
  CHECK(WaitFor([&] {
    return system.Put("/v1/templates/one", R"({"services":"a"})").mStatus ==
           200;
  }));
  system.StopProcess("c1", SIGKILL);
  system.Start("c1");
  CHECK(WaitFor([&] { return system.Leader() == "c1"; }));
  LONGS_EQUAL(-SIGSEGV, system.StopProcess("c1", SIGSEGV));
  system.Start("c1");
  CHECK(WaitFor([&] { return system.Leader() == "c1"; }));
  LONGS_EQUAL(0, system.StopProcess("c1", SIGTERM));
  std::ifstream file(system.Folder() / "c1.log");
  std::string log{ std::istreambuf_iterator<char>(file), {} };
  STRCMP_CONTAINS("event=terminated cause=\"SIGSEGV\"", log.c_str());
  STRCMP_CONTAINS("event=previous_process phase=serving early_ends=0 "
                  "last_words=\"level=error event=terminated",
                  log.c_str());
}

TEST(start_conditions, AFullLogFileDoesNotEndAHost)
{
  system_options options;
  options.mControlHosts = 1;
  options.mControlFileBytes = 1 << 20;
  test_system system(options);
  std::ofstream(system.Folder() / "c1.log")
    << std::string(options.mControlFileBytes, ' ');
  system.Start("c1");
  std::this_thread::sleep_for(milliseconds(1000));
  CHECK(WaitFor([&] {
    return system.Put("/v1/templates/one", R"({"services":"a"})").mStatus ==
           200;
  }));
}

TEST(start_conditions, AHostWhoseOutputIsBlockedServesAndStops)
{
  system_options options;
  options.mControlHosts = 1;
  test_system system(options);
  std::string pipe = system.Folder() / "c1.log";
  mkfifo(pipe.c_str(), 0600);
  int unread = open(pipe.c_str(), O_RDWR | O_NONBLOCK);
  std::string filling(4096, ' ');
  while (write(unread, filling.data(), filling.size()) > 0) {
  }
  system.Start("c1");
  CHECK(WaitFor([&] {
    return system.Put("/v1/templates/one", R"({"services":"a"})").mStatus ==
           200;
  }));
  CHECK(system.EndsAfter("c1", SIGTERM, std::chrono::seconds(10)));
  close(unread);
}

TEST(start_conditions, AHostStartsWithANumberThatIsNotWhole)
{
  system_options options;
  options.mControlHosts = 1;
  options.mEntryHosts = 1;
  options.mExtraControlSettings = "snapshot_every=512.5\n";
  options.mExtraEntrySettings = "leaving_grace_ms=2500.5\n";
  test_system system(options);
  system.Start("c1");
  CHECK(WaitFor([&] {
    return system.Put("/v1/templates/one", R"({"services":"a"})").mStatus ==
           200;
  }));
  system.Start("e1");
  CHECK(WaitFor([&] {
    return Call("GET", system.CallersAddress("e1"), "/healthz").mStatus == 200;
  }));
}

// Guards against hosts that end when their settings change while they start:
// from its first code on, and not only once it serves, a host survives SIGHUP.
TEST(start_conditions, AHostThatIsLoadingIgnoresNewsOfItsSettings)
{
  system_options options;
  options.mControlHosts = 1;
  test_system system(options);
  constexpr std::uint64_t kHangup = 1U << (SIGHUP - 1U);
  bool isIgnored = false;
  for (int start = 0; start < 10 && !isIgnored; ++start) {
    system.Start("c1");
    auto end = std::chrono::steady_clock::now() + milliseconds(1000);
    while (!isIgnored && std::chrono::steady_clock::now() < end) {
      isIgnored = (system.IgnoredSignals("c1") & kHangup) != 0;
    }
    system.StopProcess("c1", SIGKILL);
  }
  CHECK(isIgnored);
}

TEST(start_conditions, AHostWaitsForAnAddressThatIsStillInUse)
{
  system_options options;
  options.mControlHosts = 1;
  test_system system(options);
  boost::asio::io_context context;
  auto address = hibiscusspool::ParseAddress(system.ControlAddress("c1"));
  std::optional<boost::asio::ip::tcp::acceptor> earlier;
  earlier.emplace(
    context,
    boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(address->mIp),
                                   address->mPort));
  system.Start("c1");
  std::this_thread::sleep_for(milliseconds(1000));
  earlier.reset();
  CHECK(WaitFor([&] {
    return system.Put("/v1/templates/one", R"({"services":"a"})").mStatus ==
           200;
  }));
}

TEST(start_conditions, AControlHostWaitsForADataFolderThatIsStillInUse)
{
  system_options options;
  options.mControlHosts = 1;
  test_system system(options);
  auto folder = system.Folder() / "data-c1" / "log";
  std::filesystem::create_directories(folder);
  int lock =
    open((folder / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  LONGS_EQUAL(0, flock(lock, LOCK_EX));
  system.Start("c1");
  std::this_thread::sleep_for(milliseconds(1000));
  close(lock);
  CHECK(WaitFor([&] {
    return system.Put("/v1/templates/one", R"({"services":"a"})").mStatus ==
           200;
  }));
}
