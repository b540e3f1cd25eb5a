#pragma once

#include "tests/integration/test_system.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace test {

/** One call and what came of it. */
struct call_record
{
  std::string mHost;
  call_result mResult;
};

/**
 * Callers that query again and again, each through the entry hosts that the
 * system names, and keep the history of all calls. A call without an answer
 * counts as lost.
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

  void Work(std::size_t aCaller);
  std::vector<std::string> AskForHosts(std::size_t aCaller) const;

public:
  caller_load(const test_system& aSystem,
              std::size_t aCallers,
              std::string aTeam = "team");
  caller_load(const caller_load&) = delete;
  caller_load& operator=(const caller_load&) = delete;
  ~caller_load();

  /** Ends the calls and hands the history over. */
  std::vector<call_record> Stop();
  std::size_t Count();
};

/** What a history of queries tells. */
struct history_summary
{
  std::size_t mAnswered = 0;
  std::size_t mPartial = 0;
  std::size_t mRefused = 0;
  std::size_t mLost = 0;
  /** Answers whose parts are of more than one index version. */
  std::size_t mMixed = 0;
  /** Answers whose coverage is not what their parts say. */
  std::size_t mUntrue = 0;
  /** The reasons of refusals, joined. */
  std::string mReasons;
};

history_summary
Summarise(const std::vector<call_record>& aHistory);

}
