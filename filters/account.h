#pragma once

#include "controllers/admission_controller.h"
#include "controllers/refusal_controller.h"
#include "controllers/team_stats_controller.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct account_hooks
{
  std::function<steady_time()> mNow;
  std::function<wall_ms()> mWallNow;
};

/** Releases the slot, counts and logs the request, and records a refusal. */
filter
MakeAccount(admission_controller& aAdmission,
            team_stats_controller& aTeamStats,
            refusal_controller& aRefusals,
            account_hooks aHooks);

}
