#pragma once

#include "decisions/server_limit.h"

#include <mutex>

namespace hibiscusspool {

/** The host's budgets for extra attempts, under one lock. */
class budget_controller
{
  std::mutex mLock;
  ratio_budget mHedges;
  ratio_budget mRetries;

public:
  /** Ratios are extra attempts for each regular one. */
  budget_controller(double aHedgeRatio, double aRetryRatio)
    : mHedges(aHedgeRatio)
    , mRetries(aRetryRatio)
  {
  }

  void OnRegular()
  {
    std::lock_guard guard(mLock);
    mHedges.OnRegular();
    mRetries.OnRegular();
  }
  bool SpendHedge()
  {
    std::lock_guard guard(mLock);
    return mHedges.Spend();
  }
  bool SpendRetry()
  {
    std::lock_guard guard(mLock);
    return mRetries.Spend();
  }
};

}
