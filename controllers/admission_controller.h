#pragma once

#include "core/sharded_map.h"
#include "decisions/admission/admission.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace hibiscusspool {

/** Receives the decision on a queued request; called without a lock held. */
using admission_callback = std::function<void(admission_result)>;

/**
 * The host's admission queue under its lock, with the callbacks of the queued
 * requests.
 */
class admission_controller
{
  std::mutex mLock;
  admission mAdmission;
  sharded_map<ticket_number, admission_callback> mCallbacks;
  std::atomic<ticket_number> mNextTicket{ 1 };

public:
  explicit admission_controller(std::uint32_t aHostLimit)
    : mAdmission(aHostLimit)
  {
  }

  /**
   * Requests a slot. If the result is `Queued`, `aCallback` is called later
   * with the decision, unless the request is withdrawn first.
   */
  admission_result Submit(admission_request& aRequest,
                          admission_callback aCallback,
                          steady_time aNow);
  /** Removes a queued request; false if it has already been decided. */
  bool Withdraw(const admission_request& aRequest);
  void Release(const team_id& aTeam, microseconds aDuration, steady_time aNow);
  [[nodiscard]] std::uint32_t Running();
  [[nodiscard]] std::uint32_t HostLimit();
};

}
