#include "tests/integration/test_system.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace test {

namespace {

const std::vector<std::string> kDomains{ "a", "b", "c" };

/** The folder of the test program, which holds the other programs too. */
std::filesystem::path
ProgramFolder()
{
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

/** A loopback address unique to this process and this test system. */
std::string
NextIp()
{
  static int sCount = 0;
  int process = getpid();
  return "127." + std::to_string(process / 256 % 200 + 10) + "." +
         std::to_string(process % 256) + "." + std::to_string(++sCount);
}

/** Below the kernel's ephemeral port range. */
constexpr int kFirstPort = 10'000;

std::vector<std::string>
Names(const std::string& aPrefix, int aCount)
{
  std::vector<std::string> names;
  for (int number = 1; number <= aCount; ++number) {
    names.push_back(aPrefix + std::to_string(number));
  }
  return names;
}

}

bool
WaitFor(const std::function<bool()>& aCondition, milliseconds aTimeout)
{
  auto end = std::chrono::steady_clock::now() + aTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return aCondition();
}

test_system::test_system(system_options aOptions)
  : mOptions(std::move(aOptions))
  , mIp(NextIp())
  , mNextPort(kFirstPort)
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "hibiscusspool-XXXXXX").string();
  mFolder = mkdtemp(pattern.data());
  for (const std::string& host : ControlHosts()) {
    mControlPorts[host] = mNextPort++;
    mOperatorPorts[host] = mNextPort++;
  }
  for (const std::string& host : EntryHosts()) {
    mCallerPorts[host] = mNextPort++;
    mAnnouncePorts[host] = mNextPort++;
  }
  if (mOptions.mUsesControlProxy) {
    StartProxy();
  }
  WriteSettings();
}

test_system::~test_system()
{
  std::map<std::string, pid_t> processes = mProcesses;
  for (const auto& [name, process] : processes) {
    StopProcess(name, SIGKILL);
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  } else {
    std::cout << "logs: " << mFolder << "\n";
  }
}

std::string
test_system::Address(int aPort) const
{
  return mIp + ":" + std::to_string(aPort);
}

std::vector<std::string>
test_system::EntryHosts() const
{
  return Names("e", mOptions.mEntryHosts);
}

std::vector<std::string>
test_system::ControlHosts() const
{
  return Names("c", mOptions.mControlHosts);
}

std::string
test_system::ControlAddress(const std::string& aHost) const
{
  return Address(mControlPorts.at(aHost));
}

std::string
test_system::OperatorsAddress(const std::string& aHost) const
{
  return Address(mOperatorPorts.at(aHost));
}

std::string
test_system::CallersAddress(const std::string& aHost) const
{
  return Address(mCallerPorts.at(aHost));
}

std::string
test_system::AnnounceAddress(const std::string& aHost) const
{
  return Address(mAnnouncePorts.at(aHost));
}

void
test_system::StartProxy()
{
  mProxyPort = mNextPort++;
  std::vector<std::string> arguments{ "proxy", "--admin", Address(mProxyPort) };
  std::vector<std::string> hosts = ControlHosts();
  for (const std::string& host : EntryHosts()) {
    hosts.push_back(host);
  }
  for (const std::string& from : hosts) {
    for (const std::string& to : ControlHosts()) {
      std::string name = from + "-" + to;
      mLinkPorts[name] = mNextPort++;
      arguments.push_back("--link");
      arguments.push_back(name + "=" + Address(mLinkPorts[name]) + "=" +
                          Address(mControlPorts[to]));
    }
  }
  Spawn("proxy", arguments);
  WaitFor([&] { return Call("GET", Address(mProxyPort), "/").mStatus == 200; });
}

std::string
test_system::ControlMembers(const std::string& aFrom) const
{
  std::string list;
  for (const std::string& to : ControlHosts()) {
    auto link = mLinkPorts.find(aFrom + "-" + to);
    bool isDirect = link == mLinkPorts.end() || to == aFrom;
    int port = isDirect ? mControlPorts.at(to) : link->second;
    list += (list.empty() ? "" : ",") + to + "=" + Address(port);
  }
  return list;
}

void
test_system::WriteSettings()
{
  int index = 0;
  for (const std::string& host : ControlHosts()) {
    std::ofstream file(mFolder / (host + ".ini"));
    file << "[host]\nid=" << host
         << "\nfailure_domain=" << kDomains[index++ % kDomains.size()]
         << "\n[control]\naddress=" << Address(mControlPorts[host])
         << "\noperators_address=" << Address(mOperatorPorts[host])
         << "\nmembers=" << ControlMembers(host)
         << "\ndata_folder=" << (mFolder / ("data-" + host)).string() << "\n"
         << mOptions.mExtraControlSettings;
  }
  index = 0;
  for (const std::string& host : EntryHosts()) {
    std::ofstream file(mFolder / (host + ".ini"));
    file << "[host]\nid=" << host
         << "\nfailure_domain=" << kDomains[index++ % kDomains.size()]
         << "\n[entry]\ncallers_address=" << Address(mCallerPorts[host])
         << "\nannounce_address=" << Address(mAnnouncePorts[host])
         << "\ncontrol_hosts=" << ControlMembers(host)
         << "\nthreads=2\nkeep_list_ms=500\n"
         << "longest_wait_ms=3000\n"
         << mOptions.mExtraEntrySettings;
  }
}

void
test_system::Spawn(const std::string& aName,
                   std::vector<std::string> aArguments)
{
  bool isProduct = aArguments.front() == "serve";
  std::string program =
    (ProgramFolder() / (isProduct ? "hibiscusspool" : "hibiscusspool-standin"))
      .string();
  std::string log = (mFolder / (aName + ".log")).string();
  std::vector<char*> argv{ program.data() };
  for (std::string& argument : aArguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  pid_t process = fork();
  if (process == 0) {
    int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    // The test's own connections must not count for the host.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    ApplyLimits(aName);
    execv(program.c_str(), argv.data());
    _exit(127);
  }
  mProcesses[aName] = process;
}

void
test_system::ApplyLimits(const std::string& aName) const
{
  auto apply = [](auto aResource, rlim_t aMax) {
    rlimit limit{ aMax, aMax };
    if (aMax > 0) {
      setrlimit(aResource, &limit);
    }
  };
  if (mCallerPorts.contains(aName)) {
    apply(RLIMIT_NOFILE, mOptions.mEntryDescriptors);
  }
  if (!mControlPorts.contains(aName)) {
    return;
  }
  apply(RLIMIT_NOFILE, mOptions.mControlDescriptors);
  apply(RLIMIT_FSIZE, mOptions.mControlFileBytes);
}

void
test_system::Start(const std::string& aHost)
{
  Spawn(aHost,
        { "serve", "--settings", (mFolder / (aHost + ".ini")).string() });
}

void
test_system::StartStandin()
{
  mStandinPort = mNextPort++;
  std::string announce;
  for (const std::string& host : EntryHosts()) {
    announce += (announce.empty() ? "" : ",") + AnnounceAddress(host);
  }
  std::vector<std::string> arguments{
    "backends", "--admin", Address(mStandinPort),       "--announce",
    announce,   "--state", mOptions.mInitialServerState
  };
  for (const std::string& group : mOptions.mGroups) {
    arguments.emplace_back("--group");
    arguments.push_back(group);
  }
  Spawn("standin", arguments);
  WaitFor(
    [&] { return Call("GET", Address(mStandinPort), "/").mStatus == 200; });
}

void
test_system::StartAll()
{
  for (const std::string& host : ControlHosts()) {
    Start(host);
  }
  for (const std::string& host : EntryHosts()) {
    Start(host);
  }
  WaitFor([&] {
    std::string list =
      Call("GET", CallersAddress(EntryHosts().front()), "/v1/entry-hosts")
        .mBody;
    std::size_t hosts = 0;
    for (const std::string& host : EntryHosts()) {
      hosts += list.find("\"" + host + "\"") != std::string::npos ? 1 : 0;
    }
    return hosts == EntryHosts().size();
  });
  StartStandin();
  std::string services;
  for (const std::string& group : mOptions.mGroups) {
    std::istringstream parts(group);
    std::string name;
    std::string count;
    std::getline(parts, name, ':');
    std::getline(parts, count, ':');
    for (int number = 0; name != "log" && number < std::stoi(count); ++number) {
      services += (services.empty() ? "" : ",") + name + std::to_string(number);
    }
  }
  WaitFor([&] {
    return Put("/v1/templates/basic",
               R"({"services":")" + services +
                 R"(","run_service":"log0","minimum_coverage":"${cover}",)"
                 R"("wait_ms":"${wait}","parameters":{"cover":1,)"
                 R"("wait":3000}})")
             .mStatus == 200;
  });
  WaitFor([&] {
    return Put("/v1/teams/team", R"({"template":"basic"})").mStatus == 200;
  });
  WaitFor([&] {
    for (const std::string& host : EntryHosts()) {
      if (Query(host).mStatus != 200) {
        return false;
      }
    }
    return true;
  });
}

void
test_system::Signal(const std::string& aName, int aSignal)
{
  kill(mProcesses.at(aName), aSignal);
}

int
test_system::StopProcess(const std::string& aName, int aSignal)
{
  pid_t process = mProcesses.at(aName);
  mProcesses.erase(aName);
  kill(process, aSignal);
  // A process stopped by SIGSTOP handles other signals only once it continues.
  kill(process, SIGCONT);
  int status = 0;
  waitpid(process, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool
test_system::EndsAfter(const std::string& aName,
                       int aSignal,
                       milliseconds aTimeout)
{
  pid_t process = mProcesses.at(aName);
  kill(process, aSignal);
  bool hasEnded = WaitFor(
    [&] {
      siginfo_t info{};
      waitid(P_PID, process, &info, WEXITED | WNOHANG | WNOWAIT);
      return info.si_pid == process;
    },
    aTimeout);
  StopProcess(aName, SIGKILL);
  return hasEnded;
}

std::uint64_t
test_system::IgnoredSignals(const std::string& aName) const
{
  std::ifstream status("/proc/" + std::to_string(mProcesses.at(aName)) +
                       "/status");
  const std::string key = "SigIgn:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(key)) {
      return std::stoull(line.substr(key.size()), nullptr, 16);
    }
  }
  return 0;
}

void
test_system::DeleteDataFolder(const std::string& aHost) const
{
  std::filesystem::remove_all(mFolder / ("data-" + aHost));
}

void
test_system::SetBehaviour(const std::string& aServers,
                          const std::string& aBehaviour) const
{
  Call("PUT", Address(mStandinPort), "/" + aServers, aBehaviour);
}

void
test_system::SetLinkBehaviour(const std::string& aLink,
                              const std::string& aBehaviour) const
{
  Call("PUT", Address(mProxyPort), "/" + aLink, aBehaviour);
}

boost::json::array
test_system::Servers() const
{
  auto all = Call("GET", Address(mStandinPort), "/");
  return all.mJson.is_array() ? all.mJson.as_array() : boost::json::array();
}

std::map<std::string, int>
test_system::RunCounts() const
{
  std::map<std::string, int> runs;
  auto all = Call("GET", Address(mStandinPort), "/runs");
  if (all.mJson.is_object()) {
    for (const auto& [key, count] : all.mJson.as_object()) {
      runs[std::string(key)] = count.to_number<int>();
    }
  }
  return runs;
}

double
test_system::SumCounter(const std::string& aPrefix,
                        const std::string& aCounter) const
{
  double sum = 0;
  for (const auto& server : Servers()) {
    const auto& object = server.as_object();
    std::string name(object.at("server").as_string());
    if (name.starts_with(aPrefix)) {
      sum += object.at(aCounter).to_number<double>();
    }
  }
  return sum;
}

std::string
test_system::Leader() const
{
  for (const std::string& host : ControlHosts()) {
    if (!IsRunning(host)) {
      continue;
    }
    std::string leader =
      Call("GET", OperatorsAddress(host), "/v1/status").Text("leader");
    if (!leader.empty()) {
      return leader;
    }
  }
  return {};
}

call_result
test_system::Put(const std::string& aPath,
                 const std::string& aBody,
                 const headers& aHeaders) const
{
  call_result response;
  for (const std::string& host : ControlHosts()) {
    if (!IsRunning(host)) {
      continue;
    }
    response = Call("PUT", OperatorsAddress(host), aPath, aBody, aHeaders);
    if (response.mStatus != 0 && response.mStatus != 503) {
      return response;
    }
  }
  return response;
}

call_result
test_system::Query(const std::string& aHost,
                   const std::string& aTeam,
                   const std::string& aBody,
                   const headers& aHeaders) const
{
  return Call("POST",
              CallersAddress(aHost),
              "/v1/teams/" + aTeam + "/query",
              aBody,
              aHeaders);
}

call_result
test_system::Run(const std::string& aHost,
                 const std::string& aKey,
                 const std::string& aBody) const
{
  return Call("POST",
              CallersAddress(aHost),
              "/v1/teams/team/run",
              aBody,
              { { "Idempotency-Key", aKey } });
}

}
