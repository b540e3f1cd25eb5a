#include "core/log_writer.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string_view>
#include <thread>

#include <poll.h>
#include <unistd.h>

namespace hibiscusspool {

namespace {

/** Maximum number of queued lines; about 1.2 MB at 300 bytes per line. */
constexpr std::size_t kMaxQueuedLines = 4096;
/** Time for which lines are collected, so that the lines of a request cost one
 * write. */
constexpr std::chrono::milliseconds kCollectTime{ 20 };
/** Time limit for writing the last lines. */
constexpr std::chrono::milliseconds kStopTimeout{ 500 };
/** Time for which a process that ends by a signal waits for the reader of its
 * lines. */
constexpr std::chrono::milliseconds kLastLinesTimeout{ 100 };

struct log_writer
{
  std::mutex mLock;
  std::condition_variable mChanged;
  std::deque<std::string> mQueue;
  /** Lines dropped since the last `log_lines_dropped` event. */
  std::size_t mDropped = 0;
  bool mIsStopping = false;
  bool mIsDone = false;
  std::thread mThread;

  void Run()
  {
    WriteUntilStopped();
    std::lock_guard guard(mLock);
    mIsDone = true;
    mChanged.notify_all();
  }

  void WriteUntilStopped()
  {
    while (true) {
      std::string block;
      {
        std::unique_lock guard(mLock);
        mChanged.wait(guard, [&] { return !mQueue.empty() || mIsStopping; });
        mChanged.wait_for(guard, kCollectTime, [&] { return mIsStopping; });
        if (mQueue.empty()) {
          return;
        }
        for (std::string& line : mQueue) {
          block += line;
          block += '\n';
        }
        mQueue.clear();
        if (mDropped > 0) {
          block += "level=warning event=log_lines_dropped count=" +
                   std::to_string(mDropped) + '\n';
          mDropped = 0;
        }
      }
      WriteAll(block);
    }
  }

  /** If standard output is closed, lines are lost; this can't be reported. */
  static void WriteAll(const std::string& aBlock)
  {
    std::size_t offset = 0;
    while (offset < aBlock.size()) {
      ssize_t written =
        write(STDOUT_FILENO, aBlock.data() + offset, aBlock.size() - offset);
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written <= 0) {
        return;
      }
      offset += static_cast<std::size_t>(written);
    }
  }
};

std::mutex sWriterLock;
std::unique_ptr<log_writer> sWriter;

/** Writes to standard output without blocking for longer than a time-out;
 * false if it takes no more. */
bool
WriteIfTaken(std::string_view aText)
{
  while (!aText.empty()) {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    if (poll(&output, 1, static_cast<int>(kLastLinesTimeout.count())) != 1) {
      return false;
    }
    // A pipe that can be written to takes this many bytes at once.
    std::size_t size = std::min<std::size_t>(aText.size(), PIPE_BUF);
    ssize_t written = write(STDOUT_FILENO, aText.data(), size);
    if (written <= 0) {
      return false;
    }
    aText.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

}

void
StartLogWriter()
{
  std::lock_guard guard(sWriterLock);
  if (sWriter != nullptr) {
    return;
  }
  sWriter = std::make_unique<log_writer>();
  sWriter->mThread = std::thread([writer = sWriter.get()] { writer->Run(); });
}

void
StopLogWriter()
{
  std::unique_ptr<log_writer> stopped;
  {
    std::lock_guard guard(sWriterLock);
    stopped = std::move(sWriter);
  }
  if (stopped == nullptr) {
    return;
  }
  bool isDone = false;
  {
    std::unique_lock guard(stopped->mLock);
    stopped->mIsStopping = true;
    stopped->mChanged.notify_all();
    isDone = stopped->mChanged.wait_for(
      guard, kStopTimeout, [&] { return stopped->mIsDone; });
  }
  if (isDone) {
    stopped->mThread.join();
    return;
  }
  // Nobody reads standard output: the thread waits in its write until the
  // process ends, and needs its writer until then.
  stopped->mThread.detach();
  static_cast<void>(stopped.release());
}

void
WriteQueuedLines()
{
  std::unique_lock guard(sWriterLock, std::try_to_lock);
  if (!guard.owns_lock() || sWriter == nullptr) {
    return;
  }
  std::unique_lock queueGuard(sWriter->mLock, std::try_to_lock);
  if (!queueGuard.owns_lock()) {
    return;
  }
  for (const std::string& line : sWriter->mQueue) {
    if (!WriteIfTaken(line) || !WriteIfTaken("\n")) {
      return;
    }
  }
}

bool
WriteLogLine(std::string aLine)
{
  std::lock_guard guard(sWriterLock);
  if (sWriter == nullptr) {
    return false;
  }
  std::lock_guard queueGuard(sWriter->mLock);
  if (sWriter->mQueue.size() >= kMaxQueuedLines) {
    ++sWriter->mDropped;
    return true;
  }
  bool wasEmpty = sWriter->mQueue.empty();
  sWriter->mQueue.push_back(std::move(aLine));
  if (wasEmpty) {
    sWriter->mChanged.notify_one();
  }
  return true;
}

}
