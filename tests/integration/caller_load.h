#pragma once

#include "tests/integration/test_system.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace test {

/** One request with the entry host it was sent to and its response. */
struct call_record
{
  std::string mHost;
  call_result mResult;
};

/**
 * Closed-loop callers that send queries to the entry hosts that the system
 * lists, and record every request. A request without a response counts as
 * lost.
 */
class caller_load
{
  const test_system& mSystem;
  std::string mTeam;
  std::atomic<bool> mIsStopping{ false };
  std::mutex mLock;
  std::vector<call_record> mHistory;
  std::vector<std::thread> mCallers;
  std::atomic<int> mNextBody{ 0 };

  void RunCaller(std::size_t aCaller);
  std::vector<std::string> FetchEntryHosts(std::size_t aCaller) const;

public:
  caller_load(const test_system& aSystem,
              std::size_t aCallers,
              std::string aTeam = "team");
  caller_load(const caller_load&) = delete;
  caller_load& operator=(const caller_load&) = delete;
  ~caller_load();

  /** Stops the callers and returns the history. */
  std::vector<call_record> Stop();
  std::size_t Count();
};

/** Counts over a history of queries. */
struct history_summary
{
  std::size_t mAnswered = 0;
  std::size_t mPartial = 0;
  std::size_t mRefused = 0;
  std::size_t mLost = 0;
  /** Responses whose parts come from more than one index version. */
  std::size_t mMixedSnapshots = 0;
  /** Violations: a wrong coverage, a wrong body or a repeated service. */
  std::size_t mInconsistent = 0;
  /** The distinct refusal reasons with their details, joined. */
  std::string mReasons;
};

history_summary
Summarise(const std::vector<call_record>& aHistory);

}
