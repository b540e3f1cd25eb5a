#pragma once

#include "decisions/admission/overload.h"

#include <array>
#include <mutex>

namespace hibiscusspool {

/** Requests of one priority since the process started. */
struct overload_count
{
  std::uint64_t mAdmitted = 0;
  /** By cause; `Room` counts nothing. */
  std::array<std::uint64_t, kNames<overload_cause>.size()> mRefused{};
};

using overload_counts = std::map<std::uint32_t, overload_count>;

/** The host's overload control under its lock, with its counters. */
class overload_controller
{
  mutable std::mutex mLock;
  overload_control mControl;
  overload_counts mCounts;

public:
  explicit overload_controller(std::uint64_t aSeed)
    : mControl(aSeed)
  {
  }

  /** Decides on a request; logs a refusal and what has changed. */
  overload_verdict Submit(const overload_request& aRequest,
                          const request_id& aId,
                          steady_time aNow);
  void OnAttempt(const service_id& aService,
                 const team_id& aTeam,
                 overload_attempt aAttempt,
                 steady_time aNow);
  [[nodiscard]] overload_counts Counts() const;
};

}
