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

/** Gives the place back, counts the request, and numbers a refusal. */
filter
MakeAccount(admission_controller& aAdmission,
            team_stats_controller& aAccounts,
            refusal_controller& aRefusals,
            account_hooks aHooks);

}
