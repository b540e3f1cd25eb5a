#pragma once

#include "controllers/account_controller.h"
#include "controllers/backend_controller.h"

#include <string>

namespace hibiscusspool {

/** The values of a metrics page. */
struct metrics_source
{
  const account_controller& mAccounts;
  std::vector<backend_view> mBackends;
  log_index mIndex = 0;
  milliseconds mConfirmedAge{ 0 };
  std::uint32_t mRunning = 0;
  std::uint32_t mHostLimit = 0;
  std::uint64_t mRefusals = 0;
};

/** All metrics in the Prometheus text format. */
std::string
MakeMetricsPage(const metrics_source& aSource);

}
