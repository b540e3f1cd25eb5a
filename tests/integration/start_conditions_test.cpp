#include "tests/integration/test_system.h"

#include <csignal>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace test;

namespace {

constexpr int kControlPort = 10'900;
constexpr int kOperatorPort = 10'901;

/**
 * Hosts that find each other by seeds. Each has an address of its own, since
 * all control hosts listen on the same port.
 */
class seeded_system
{
  test_system mSystem;
  std::string mNetwork;

  [[nodiscard]] std::string Ip(int aNumber) const
  {
    return mNetwork + std::to_string(200 + aNumber);
  }

public:
  explicit seeded_system(const system_options& aOptions)
    : mSystem(aOptions)
  {
    std::string address = mSystem.ControlAddress("c1");
    mNetwork = address.substr(0, address.find_last_of('.') + 1);
  }

  test_system& System() { return mSystem; }

  [[nodiscard]] std::string Operators(int aNumber) const
  {
    return Ip(aNumber) + ":" + std::to_string(kOperatorPort);
  }

  [[nodiscard]] std::string Callers() const { return Ip(9) + ":10902"; }

  [[nodiscard]] std::string AllSeeds() const
  {
    return Ip(1) + ":1," + Ip(2) + ":1," + Ip(3) + ":1";
  }

  void WriteControl(int aNumber, const std::string& aSeeds, bool aIsFirstStart)
  {
    std::string name = "c" + std::to_string(aNumber);
    std::string address = Ip(aNumber) + ":" + std::to_string(kControlPort);
    std::ofstream file(mSystem.Folder() / (name + ".ini"));
    file << "[host]\nid=" << address
         << "\nfailure_domain=a\n[control]\naddress=" << address
         << "\noperators_address=" << Operators(aNumber)
         << "\ndata_folder=" << (mSystem.Folder() / ("data-" + name)).string()
         << "\nbootstrap=" << (aIsFirstStart ? "true" : "false")
         << "\n[platform]\ncontrol_port=" << kControlPort
         << "\nseeds=" << aSeeds << "\n";
  }

  void WriteEntry(const std::string& aSeeds)
  {
    std::string path = mSystem.Folder() / "e1.ini";
    {
      std::ofstream file(path + ".new");
      file << "[host]\nid=" << Ip(9) << ":10903\nfailure_domain=a\n"
           << "[entry]\ncallers_address=" << Callers()
           << "\nannounce_address=" << Ip(9) << ":10903\nthreads=2\n"
           << "[platform]\ncallers_address=" << Ip(9) << ":10904"
           << "\ncontrol_port=" << kControlPort << "\nseeds=" << aSeeds << "\n";
    }
    std::filesystem::rename(path + ".new", path);
  }

  void StartControlHosts(const std::string& aSeeds, bool aIsFirstStart)
  {
    for (int number = 1; number <= 3; ++number) {
      WriteControl(number, aSeeds, aIsFirstStart);
      mSystem.Start("c" + std::to_string(number));
    }
  }

  [[nodiscard]] unsigned Put(int aHost, const std::string& aName) const
  {
    return Call("PUT",
                Operators(aHost),
                "/v1/templates/" + aName,
                R"({"services":"a"})")
      .mStatus;
  }

  [[nodiscard]] bool EntryHostListsItself() const
  {
    auto list = Call("GET", Callers(), "/v1/entry-hosts");
    return list.mBody.find(Ip(9)) != std::string::npos;
  }
};

}

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
