#pragma once

#include "decisions/admission/admission.h"

#include <optional>
#include <vector>

namespace hibiscusspool {

/** Work that waits to be started on this host. */
struct waiting_start
{
  ticket_number mTicket = 0;
  /** 0 is the most urgent. */
  std::uint32_t mPriority = 0;
  /** When its result is wanted. */
  steady_time mDueAt;
  steady_time mDeadline;
};

struct start_turn
{
  std::optional<ticket_number> mStarted;
  /** Work whose deadline has passed; it must not be started. */
  std::vector<ticket_number> mExpired;
  bool mHasMore = false;
};

/**
 * The order in which a host starts work that came in while it was busy: by
 * priority, then by the time at which the result is wanted. Each eighth turn
 * goes to what has waited longest, so that no priority starves.
 */
class start_queue
{
  /** In order of arrival. */
  std::vector<waiting_start> mWaiting;
  unsigned mTurns = 0;

public:
  void Push(const waiting_start& aStart) { mWaiting.push_back(aStart); }
  start_turn TakeTurn(steady_time aNow);
  [[nodiscard]] bool IsEmpty() const { return mWaiting.empty(); }
};

}
