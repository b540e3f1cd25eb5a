#pragma once

#include "core/ids.h"
#include "core/sharded_map.h"
#include "decisions/server_limit.h"
#include "decisions/window_budget.h"

#include <functional>
#include <mutex>

namespace hibiscusspool {

struct budget_hooks
{
  /**
   * This host's part of the budget that all hosts share for each service, or
   * nothing where each host has ratios of its own.
   */
  std::function<std::optional<budget_limits>(steady_time)> mSharedTerms;
};

/**
 * The host's budgets for extra attempts: ratios over all services, and where
 * the hosts share a budget, a window for each service besides.
 */
class budget_controller
{
  budget_hooks mHooks;
  std::mutex mLock;
  ratio_budget mHedges;
  ratio_budget mRetries;
  sharded_map<service_id, window_budget> mWindows;

  /** Takes one extra attempt from a ratio and from the service's window. */
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
    auto terms = mHooks.mSharedTerms(aNow);
    return !terms || mWindows.Update(aService, [&](window_budget& aWindow) {
      return aWindow.TrySpend(*terms, aNow);
    });
  }

public:
  /** Ratios are extra attempts for each regular one. */
  budget_controller(double aHedgeRatio, double aRetryRatio, budget_hooks aHooks)
    : mHooks(std::move(aHooks))
    , mHedges(aHedgeRatio)
    , mRetries(aRetryRatio)
  {
  }

  void OnRegular(const service_id& aService, steady_time aNow)
  {
    if (auto terms = mHooks.mSharedTerms(aNow)) {
      mWindows.Update(aService, [&](window_budget& aWindow) {
        aWindow.OnRegular(*terms, aNow);
      });
    }
    std::lock_guard guard(mLock);
    mHedges.OnRegular();
    mRetries.OnRegular();
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
