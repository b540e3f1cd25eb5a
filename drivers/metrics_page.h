#pragma once

#include "controllers/backend_controller.h"
#include "controllers/caller_key_controller.h"
#include "controllers/overload_controller.h"
#include "controllers/quota_controller.h"
#include "controllers/team_stats_controller.h"

#include <string>

namespace hibiscusspool {

/** The values of a metrics page. */
struct metrics_source
{
  const team_stats_controller& mTeamStats;
  std::vector<backend_status> mBackends;
  log_index mIndex = 0;
  milliseconds mConfirmedAge{ 0 };
  std::uint32_t mRunningRequests = 0;
  std::uint32_t mHostLimit = 0;
  std::uint64_t mRefusalCount = 0;
  /** Background tasks and handlers that ended with an exception. */
  std::uint64_t mTaskFailures = 0;
  key_refusal_counts mKeyRefusals{};
  overload_counts mOverload{};
  quota_counts mQuotas{};
};

/** All metrics in the Prometheus text format. */
std::string
MakeMetricsPage(const metrics_source& aSource);

}
