#include "filters/scatter_operation.h"

#include <algorithm>
#include <utility>

namespace hibiscusspool {

void
scatter_operation::AwaitRateOrGiveUp(service_progress& aService,
                                     steady_time aRoomAt)
{
  // A part isn't worth waiting for: its share of the rate is used anyway, and
  // the parts that are ready would wait too.
  if (mIsMerged) {
    GiveUp(aService, missing_reason::RateLimited);
    return;
  }
  steady_time turn = aRoomAt;
  if (aRoomAt != steady_time::max()) {
    turn = mBackends.TakeTurn(MakeChoiceRequest(aService, aService.mNextReason),
                              aRoomAt,
                              mHooks.mNow());
  }
  WaitUntilOrGiveUp(aService,
                    turn,
                    std::min(mDeadline, mSoftDeadline),
                    missing_reason::RateLimited);
}

void
scatter_operation::EndIfRatesExcludeMinimum(steady_time aNow)
{
  // Hosts that get subqueries have their own parts of the rates.
  bool isWhole = mIsMerged && !mOnProgress && mSubqueries.empty();
  if (!isWhole || !mHooks.mIsLeaseValid(aNow)) {
    return;
  }
  using closed_service = std::pair<steady_time, const service_progress*>;
  std::vector<closed_service> closedUntil;
  for (const service_progress& service : mServices) {
    if (!mBackends.HasRateLimit(service.mService, aNow)) {
      continue;
    }
    auto willingAt = mBackends.WillingAt(
      MakeChoiceRequest(service, attempt_reason::Regular), aNow);
    if (willingAt) {
      closedUntil.emplace_back(*willingAt, &service);
    }
  }
  std::size_t open = mServices.size() - closedUntil.size();
  if (open >= mRequiredResponses) {
    return;
  }
  auto last = closedUntil.begin() +
              static_cast<std::ptrdiff_t>(mRequiredResponses - open - 1);
  std::nth_element(closedUntil.begin(), last, closedUntil.end());
  auto [roomAt, lastService] = *last;
  if (roomAt != steady_time::max()) {
    mServersBackAt = mBackends.TakeTurn(
      MakeChoiceRequest(*lastService, attempt_reason::Regular), roomAt, aNow);
  }
  for (service_progress& service : mServices) {
    GiveUp(service, missing_reason::RateLimited);
  }
}

}
