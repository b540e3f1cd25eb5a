#pragma once

#include "core/ids.h"
#include "core/sharded_map.h"
#include "decisions/admission/window_budget.h"
#include "decisions/servers/server_limit.h"

#include <functional>
#include <mutex>

namespace hibiscusspool {

struct budget_hooks
{
  /**
   * This host's part of the limits on extra attempts that all hosts share per
   * service, or nothing if only the ratios of each host apply.
   */
  std::function<std::optional<budget_limits>(steady_time)> mSharedLimits;
};

/**
 * The host's budgets for hedges and retries: ratios over all services and, if
 * the hosts share a budget, also a time window per service.
 */
class budget_controller
{
  budget_hooks mHooks;
  std::mutex mLock;
  ratio_budget mHedges;
  ratio_budget mRetries;
  sharded_map<service_id, window_budget> mWindows;

  /** Takes one attempt from the ratio and from the service's window. */
  bool TrySpend(ratio_budget& aRatio,
                const service_id& aService,
                steady_time aNow)
  {
    {
      std::lock_guard guard(mLock);
      if (!aRatio.TrySpend()) {
        return false;
      }
    }
    auto limits = mHooks.mSharedLimits(aNow);
    return !limits || mWindows.Update(aService, [&](window_budget& aWindow) {
      return aWindow.TrySpend(*limits, aNow);
    });
  }

public:
  /** The ratios are hedges and retries allowed per regular attempt, of which
   * `aMaxBurst` at once. */
  budget_controller(double aHedgeRatio,
                    double aRetryRatio,
                    double aMaxBurst,
                    budget_hooks aHooks)
    : mHooks(std::move(aHooks))
    , mHedges(aHedgeRatio, aMaxBurst)
    , mRetries(aRetryRatio, aMaxBurst)
  {
  }

  void OnRegularAttempt(const service_id& aService, steady_time aNow)
  {
    if (auto limits = mHooks.mSharedLimits(aNow)) {
      mWindows.Update(aService, [&](window_budget& aWindow) {
        aWindow.OnRegularAttempt(*limits, aNow);
      });
    }
    std::lock_guard guard(mLock);
    mHedges.OnRegularAttempt();
    mRetries.OnRegularAttempt();
  }
  bool SpendHedge(const service_id& aService, steady_time aNow)
  {
    return TrySpend(mHedges, aService, aNow);
  }
  bool SpendRetry(const service_id& aService, steady_time aNow)
  {
    return TrySpend(mRetries, aService, aNow);
  }
};

}
