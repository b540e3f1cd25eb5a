#pragma once

#include "core/clock.h"

#include <cstddef>
#include <string>
#include <vector>

#include <sys/types.h>

namespace test {

using hibiscusspool::milliseconds;

/** Many TCP connections to one address that send bytes and read nothing. They
 * stay open until the crowd is destroyed. */
class raw_crowd
{
  struct member
  {
    int mSocket = -1;
    std::size_t mSent = 0;
    /** Everything was sent, or the peer closed the connection. */
    bool mIsDone = false;
  };

  std::vector<member> mMembers;

  static void Continue(member& aMember, const std::string& aBytes);

public:
  /** Begins to connect. */
  raw_crowd(const std::string& aAddress, std::size_t aCount);
  raw_crowd(const raw_crowd&) = delete;
  raw_crowd& operator=(const raw_crowd&) = delete;
  ~raw_crowd();

  /** Sends these bytes on each connection, on all of them at the same time;
   * ends once all have sent them, were closed or take no more, or after
   * `aTimeout`. */
  void Send(const std::string& aBytes, milliseconds aTimeout);
};

/** What a process takes of its machine. */
struct process_figures
{
  /** Peak of the resident memory since the last reset, in bytes. */
  std::size_t mPeakBytes = 0;
  std::size_t mDescriptors = 0;
};

/** All zero if there is no such process. */
process_figures
FiguresOf(pid_t aProcess);

/** Sets the peak of the resident memory to its present size. */
void
ResetPeak(pid_t aProcess);

}
