#pragma once

#include "tests/integration/call.h"

#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <sys/resource.h>
#include <sys/types.h>

namespace test {

using hibiscusspool::milliseconds;

/** Layout and settings of the system for one test. */
struct system_options
{
  int mControlHosts = 3;
  int mEntryHosts = 3;
  /** `NAME:SERVICES:REPLICAS:SLOTS:CONNECTIONS:COLD:SERVICE_MS:CONNECT_MS` */
  std::vector<std::string> mGroups{ "rack:4:3:4:60:1:3:0",
                                    "log:1:3:4:60:1:3:0" };
  std::string mInitialServerState = "ready";
  /** Routes all traffic to control hosts through links of a proxy. */
  bool mUsesControlProxy = false;
  /** Maximum open files of each control host; 0 for the limit of the tests. */
  rlim_t mControlDescriptors = 0;
  /** Maximum size of the files that a control host writes, in bytes; 0 for the
   * limit of the tests. */
  rlim_t mControlFileBytes = 0;
  /** Maximum open files of each entry host; 0 for the limit of the tests. */
  rlim_t mEntryDescriptors = 0;
  /** Lines appended to the section [entry] or [control]. */
  std::string mExtraEntrySettings;
  std::string mExtraControlSettings;
};

/**
 * Real processes with a loopback address and a folder of their own, killed
 * when the test ends. Control hosts are named c1, c2, …, entry hosts e1, e2, …
 * and proxy links FROM-TO.
 */
class test_system
{
  system_options mOptions;
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
  /** The control hosts with the addresses, direct or of proxy links, at which
   * one host reaches them. */
  [[nodiscard]] std::string ControlMembers(const std::string& aFrom) const;
  void StartProxy();
  void Spawn(const std::string& aName, std::vector<std::string> aArguments);
  /** Sets the limits of a host's process; called in the new process. */
  void ApplyLimits(const std::string& aName) const;

public:
  explicit test_system(system_options aOptions);
  test_system(const test_system&) = delete;
  test_system& operator=(const test_system&) = delete;
  ~test_system();

  void Start(const std::string& aHost);
  /** Starts the stand-in backend servers. */
  void StartStandin();
  /** Starts everything, creates one team and waits until it is served. */
  void StartAll();
  void Signal(const std::string& aName, int aSignal);
  /**
   * Sends a signal and waits until the process ends. Returns its exit code, or
   * the negated number of the signal that ended it.
   */
  int StopProcess(const std::string& aName, int aSignal);
  /** Sends a signal; false, and a kill, if the process does not end in time. */
  bool EndsAfter(const std::string& aName, int aSignal, milliseconds aTimeout);
  /** The signals that a process ignores, as a mask. */
  [[nodiscard]] std::uint64_t IgnoredSignals(const std::string& aName) const;
  /** Deletes the data folder of a control host. */
  void DeleteDataFolder(const std::string& aHost) const;
  [[nodiscard]] pid_t Pid(const std::string& aName) const
  {
    return mProcesses.at(aName);
  }
  [[nodiscard]] bool IsRunning(const std::string& aName) const
  {
    return mProcesses.contains(aName);
  }

  /** Where control hosts and entry hosts connect to a control host. */
  [[nodiscard]] std::string ControlAddress(const std::string& aHost) const;
  [[nodiscard]] std::string OperatorsAddress(const std::string& aHost) const;
  [[nodiscard]] std::string CallersAddress(const std::string& aHost) const;
  [[nodiscard]] std::string AnnounceAddress(const std::string& aHost) const;
  [[nodiscard]] std::vector<std::string> EntryHosts() const;
  [[nodiscard]] std::vector<std::string> ControlHosts() const;
  [[nodiscard]] std::filesystem::path Folder() const { return mFolder; }

  /** Sets options of the stand-in servers that match a name or `PREFIX*`. */
  void SetBehaviour(const std::string& aServers,
                    const std::string& aBehaviour) const;
  /** Sets options of the proxy links that match a name or `PREFIX*`. */
  void SetLinkBehaviour(const std::string& aLink,
                        const std::string& aBehaviour) const;
  [[nodiscard]] boost::json::array Servers() const;
  /** Executions of each idempotency key, summed over all servers. */
  [[nodiscard]] std::map<std::string, int> RunCounts() const;
  /** Sums a counter over the servers whose name has this prefix. */
  [[nodiscard]] double SumCounter(const std::string& aPrefix,
                                  const std::string& aCounter) const;

  /** The name of the leading control host, or "". */
  [[nodiscard]] std::string Leader() const;
  /** Puts a record through the first control host that accepts it. */
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

/** Waits until a condition holds; returns false on a time-out. */
bool
WaitFor(const std::function<bool()>& aCondition,
        milliseconds aTimeout = std::chrono::seconds(30));

}
