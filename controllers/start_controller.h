#pragma once

#include "decisions/admission/start_queue.h"

#include <functional>
#include <map>
#include <mutex>

namespace hibiscusspool {

/** Receives the turn of waiting work; false if its deadline has passed. Called
 * without a lock held. */
using start_callback = std::function<void(bool)>;

/** The host's queue of work to start, under its lock, with its callbacks. */
class start_controller
{
  std::mutex mLock;
  start_queue mQueue;
  std::map<ticket_number, start_callback> mCallbacks;
  ticket_number mLastTicket = 0;
  /** Somebody is going to call `GiveTurn`. */
  bool mIsGivingTurns = false;

public:
  /** Adds work; true if the caller has to call `GiveTurn` until it returns
   * false. */
  bool Enter(waiting_start aStart, start_callback aCallback);
  /** Calls back what is next and what has expired; true if more is waiting. */
  bool GiveTurn(steady_time aNow);
};

}
