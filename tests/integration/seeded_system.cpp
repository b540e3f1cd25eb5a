#include "tests/integration/seeded_system.h"

#include <csignal>
#include <fstream>

namespace test {

namespace {

constexpr int kControlPort = 10'900;
constexpr int kOperatorPort = 10'901;
/** The entry host's number, which makes its address. */
constexpr int kEntryHost = 30;

std::string
ControlName(int aNumber)
{
  return "c" + std::to_string(aNumber);
}

}

seeded_system::seeded_system(const system_options& aOptions)
  : mSystem(aOptions)
  , mFirstControlHosts(aOptions.mControlHosts)
  , mExtraEntrySettings(aOptions.mExtraEntrySettings)
{
  std::string address = mSystem.ControlAddress("c1");
  mNetwork = address.substr(0, address.find_last_of('.') + 1);
}

std::string
seeded_system::Ip(int aNumber) const
{
  return mNetwork + std::to_string(200 + aNumber);
}

std::string
seeded_system::Control(int aNumber) const
{
  return Ip(aNumber) + ":" + std::to_string(kControlPort);
}

std::string
seeded_system::Operators(int aNumber) const
{
  return Ip(aNumber) + ":" + std::to_string(kOperatorPort);
}

std::string
seeded_system::Platform(int aNumber) const
{
  return Ip(aNumber) + ":10905";
}

std::string
seeded_system::Clients() const
{
  return Ip(kEntryHost) + ":10904";
}

std::string
seeded_system::Server(int aNumber) const
{
  return Ip(kEntryHost + aNumber) + ":10906";
}

std::string
seeded_system::Callers() const
{
  return Ip(kEntryHost) + ":10902";
}

std::vector<int>
seeded_system::FirstControlHosts() const
{
  std::vector<int> numbers;
  for (int number = 1; number <= mFirstControlHosts; ++number) {
    numbers.push_back(number);
  }
  return numbers;
}

std::string
seeded_system::Seeds(const std::vector<int>& aNumbers) const
{
  std::string seeds;
  for (int number : aNumbers) {
    seeds += (seeds.empty() ? "" : ",") + Control(number);
  }
  return seeds;
}

std::string
seeded_system::AllSeeds() const
{
  return Seeds(FirstControlHosts());
}

void
seeded_system::WriteControl(int aNumber,
                            const std::string& aSeeds,
                            bool aIsFirstStart)
{
  std::string name = ControlName(aNumber);
  std::string path = mSystem.Folder() / (name + ".ini");
  {
    std::ofstream file(path + ".new");
    file << "[host]\nid=" << Control(aNumber)
         << "\nfailure_domain=a\n[control]\naddress=" << Control(aNumber)
         << "\noperators_address=" << Operators(aNumber)
         << "\ndata_folder=" << (mSystem.Folder() / ("data-" + name)).string()
         << "\nbootstrap=" << (aIsFirstStart ? "true" : "false")
         << "\n[platform]\ncontrol_address=" << Platform(aNumber)
         << "\ncontrol_port=" << kControlPort << "\nseeds=" << aSeeds << "\n";
  }
  std::filesystem::rename(path + ".new", path);
}

void
seeded_system::WriteEntry(const std::string& aSeeds, const std::string& aExtra)
{
  std::string ip = Ip(kEntryHost);
  std::string path = mSystem.Folder() / "e1.ini";
  {
    std::ofstream file(path + ".new");
    file << "[host]\nid=" << ip << ":10903\nfailure_domain=a\n"
         << "[entry]\ncallers_address=" << Callers()
         << "\nannounce_address=" << ip << ":10903\nthreads=2\n"
         << mExtraEntrySettings << aExtra
         << "[platform]\ncallers_address=" << Clients()
         << "\ncontrol_port=" << kControlPort << "\nseeds=" << aSeeds << "\n";
  }
  std::filesystem::rename(path + ".new", path);
}

void
seeded_system::StartControlHosts(const std::string& aSeeds, bool aIsFirstStart)
{
  for (int number : FirstControlHosts()) {
    StartControlHost(number, aSeeds, aIsFirstStart);
  }
}

void
seeded_system::StartControlHost(int aNumber,
                                const std::string& aSeeds,
                                bool aIsFirstStart)
{
  WriteControl(aNumber, aSeeds, aIsFirstStart);
  mSystem.Start(ControlName(aNumber));
}

void
seeded_system::LoseControlHost(int aNumber)
{
  mSystem.StopProcess(ControlName(aNumber), SIGKILL);
  mSystem.DeleteDataFolder(ControlName(aNumber));
}

int
seeded_system::Leader(const std::vector<int>& aNumbers) const
{
  for (int asked : aNumbers) {
    std::string leader =
      Call("GET", Operators(asked), "/v1/status").Text("leader");
    for (int number : aNumbers) {
      if (leader == Control(number)) {
        return number;
      }
    }
  }
  return 0;
}

unsigned
seeded_system::Put(int aHost, const std::string& aName) const
{
  return Call("PUT",
              Operators(aHost),
              "/v1/templates/" + aName,
              R"({"services":"a"})")
    .mStatus;
}

bool
seeded_system::EntryHostListsItself() const
{
  auto list = Call("GET", Callers(), "/v1/entry-hosts");
  return list.mBody.find(Ip(kEntryHost)) != std::string::npos;
}

}
