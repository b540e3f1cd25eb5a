#pragma once

#include "tests/integration/call.h"

#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace test {

using hibiscusspool::milliseconds;

/** How a system for one test is laid out. */
struct system_shape
{
  int mControls = 3;
  int mEntries = 3;
  /** `NAME:SERVICES:REPLICAS:SLOTS:CONNECTIONS:COLD:SERVICE_MS:CONNECT_MS` */
  std::vector<std::string> mGroups{ "rack:4:3:4:60:1:3:0",
                                    "log:1:3:4:60:1:3:0" };
  std::string mFirstState = "ready";
  /** Control hosts reach each other, and entry hosts them, by proxy links. */
  bool mProxiesControl = false;
  /** Further lines for the sections of the settings. */
  std::string mEntryLines;
  std::string mControlLines;
};

/**
 * Real processes on an address and in a folder of their own, which are ended
 * with the test. Hosts are named c1… and e1…; links are FROM-TO.
 */
class test_system
{
  system_shape mShape;
  std::string mIp;
  int mNextPort;
  std::filesystem::path mFolder;
  std::map<std::string, pid_t> mProcesses;
  std::map<std::string, int> mControlPorts;
  std::map<std::string, int> mOperatorPorts;
  std::map<std::string, int> mCallerPorts;
  std::map<std::string, int> mAnnouncePorts;
  std::map<std::string, int> mLinkPorts;
  int mStandinPort = 0;
  int mProxyPort = 0;

  [[nodiscard]] std::string Address(int aPort) const;
  void WriteSettings();
  [[nodiscard]] std::string ControlList(const std::string& aFrom) const;
  void StartProxy();
  void Spawn(const std::string& aName, std::vector<std::string> aArguments);

public:
  explicit test_system(system_shape aShape);
  test_system(const test_system&) = delete;
  test_system& operator=(const test_system&) = delete;
  ~test_system();

  /** Starts the process of a host. */
  void Start(const std::string& aHost);
  /** Starts the stand-in servers. */
  void StartStandin();
  /** Starts all, with a team of each shape, and waits until it serves. */
  void StartAll();
  /** Sends a signal. */
  void Signal(const std::string& aName, int aSignal);
  /** Sends a signal and waits for the end; the exit code, or minus signal. */
  int End(const std::string& aName, int aSignal);
  /** Takes a control host's data folder away. */
  void LoseDisk(const std::string& aHost) const;
  [[nodiscard]] bool IsRunning(const std::string& aName) const
  {
    return mProcesses.contains(aName);
  }

  [[nodiscard]] std::string Operators(const std::string& aHost) const;
  [[nodiscard]] std::string Callers(const std::string& aHost) const;
  [[nodiscard]] std::string Announce(const std::string& aHost) const;
  [[nodiscard]] std::vector<std::string> EntryHosts() const;
  [[nodiscard]] std::vector<std::string> ControlHosts() const;
  [[nodiscard]] std::filesystem::path Folder() const { return mFolder; }

  /** Tells stand-in servers whose name matches what to do. */
  void Tell(const std::string& aServers, const std::string& aWishes) const;
  /** Tells a proxy link what to do. */
  void TellLink(const std::string& aLink, const std::string& aWishes) const;
  [[nodiscard]] boost::json::array Servers() const;
  /** How often each key was run, over all servers. */
  [[nodiscard]] std::map<std::string, int> Runs() const;
  /** The sum of one count over the servers whose name starts so. */
  [[nodiscard]] double Sum(const std::string& aPrefix,
                           const std::string& aCount) const;

  /** The control host that leads, or an empty name. */
  [[nodiscard]] std::string Leader() const;
  /** Puts a record at whichever control host takes it. */
  call_result Put(const std::string& aPath,
                  const std::string& aBody,
                  const headers& aHeaders = {}) const;
  [[nodiscard]] call_result Query(const std::string& aHost,
                                  const std::string& aTeam = "team",
                                  const std::string& aBody = "q",
                                  const headers& aHeaders = {}) const;
  call_result Run(const std::string& aHost,
                  const std::string& aKey,
                  const std::string& aBody = "order") const;
};

/** Waits until a condition holds; false when the time is over. */
bool
WaitFor(const std::function<bool()>& aCondition,
        milliseconds aTimeout = std::chrono::seconds(30));

}
