#pragma once

#include "core/sharded_map.h"
#include "decisions/admission.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace hibiscusspool {

/** Tells a queued request what was decided; called under no lock. */
using admission_callback = std::function<void(admission_result)>;

/**
 * The host's one admission queue under its lock, with the hooks that wake
 * whoever waits in it.
 */
class admission_controller
{
  std::mutex mLock;
  admission mAdmission;
  sharded_map<ticket_number, admission_callback> mWaiting;
  std::atomic<ticket_number> mNextTicket{ 1 };

public:
  explicit admission_controller(std::uint32_t aHostLimit)
    : mAdmission(aHostLimit)
  {
  }

  /**
   * Asks for a place. When the answer is `Queued`, `aWake` is called later
   * with the decision, unless the ticket is withdrawn first.
   */
  admission_result Submit(admission_request& aRequest,
                          admission_callback aWake,
                          steady_time aNow);
  /** Takes a queued request back; false when it was decided already. */
  bool Withdraw(const admission_request& aRequest);
  void Release(const team_id& aTeam, microseconds aRan, steady_time aNow);
  [[nodiscard]] std::uint32_t Running();
  [[nodiscard]] std::uint32_t HostLimit();
};

}
