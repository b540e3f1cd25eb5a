#include "filters/route.h"

#include "filters/fingerprint.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

constexpr milliseconds kRetryAfter{ 500 };

/** The latency objective less a margin, or the deadline without an objective.
 */
steady_time
SoftDeadline(const request_context& aRequest,
             milliseconds aObjective,
             milliseconds aMargin)
{
  if (aObjective <= milliseconds(0)) {
    return aRequest.mDeadline;
  }
  milliseconds left = std::max(aObjective - aMargin, aObjective / 2);
  return std::min(aRequest.mDeadline, aRequest.mReceivedAt + left);
}

void
ApplyRoute(const route_hooks& aHooks,
           const resolved_route& aRoutedTeam,
           request_context& aRequest)
{
  const route_record& route = aRoutedTeam.mRoute;
  aRequest.mPolicy = aRoutedTeam.mPolicy;
  aRequest.mHasPolicy = true;
  aRequest.mTeam.mValue = route.mName;
  bool isOnce = route.mKind == route_kind::NonIdempotent;
  aRequest.mKind = isOnce ? request_kind::ForwardOnce : request_kind::Forward;
  aRequest.mIsMerged = !aRoutedTeam.mShards.IsEmpty();
  aRequest.mFingerprint = FingerprintOf(*aRequest.mForwarded, *aRequest.mBody);
  aRequest.mTopRecords = route.mTopRecords;
  aRequest.mMaxAttempts = std::max(1U, route.mMaxAttempts);
  aRequest.mPriority = route.mPriority;
  aRequest.mIsPublic = route.mIsPublic;
  if (aRequest.mIsMerged) {
    aRequest.mServices = aRoutedTeam.mShards;
  } else {
    aRequest.mServices = service_set::Create({ aHooks.mNextService(route) });
  }
  milliseconds wait = route.mTimeout;
  if (aRequest.mCallerTimeout) {
    wait = std::min(wait, *aRequest.mCallerTimeout);
  }
  aRequest.mDeadline = aRequest.mReceivedAt + wait;
  aRequest.mGiveUpAt = aRequest.mDeadline;
  aRequest.mSoftDeadline =
    SoftDeadline(aRequest, route.mLatencyObjective, aHooks.mObjectiveMargin);
  aRequest.mDividedSoftDeadline =
    SoftDeadline(aRequest, route.mLatencyObjective, aHooks.mDividedMargin);
}

void
Route(const route_hooks& aHooks, request_context& aRequest)
{
  aRequest.mDeadline = aRequest.mReceivedAt + kMaxWait;
  aRequest.mGiveUpAt = aRequest.mDeadline;
  if (aRequest.mError) {
    aRequest.Refuse(aRequest.mError->mReason, aRequest.mError->mDetail);
    return;
  }
  aRequest.mRoutes = aHooks.mRoutes();
  if (aRequest.mRoutes == nullptr) {
    aRequest.Refuse(refusal_reason::NotConfirmed,
                    "This host has not received a configuration yet.",
                    kRetryAfter);
    return;
  }
  aRequest.mConfiguration = aRequest.mRoutes->Number();
  const resolved_route* routed =
    aRequest.mRoutes->Find(aRequest.mAuthority, aRequest.mPath);
  if (routed == nullptr && !aHooks.mAreRoutesConfirmed(aHooks.mNow())) {
    aRequest.Refuse(refusal_reason::NotConfirmed,
                    "No route of configuration " +
                      std::to_string(aRequest.mConfiguration) +
                      " matches the host and path, and this host can't confirm "
                      "that it is the latest one.",
                    kRetryAfter);
    return;
  }
  if (routed == nullptr) {
    aRequest.Refuse(refusal_reason::UnknownTeam,
                    "No route of configuration " +
                      std::to_string(aRequest.mConfiguration) +
                      " matches the host and path.");
    return;
  }
  ApplyRoute(aHooks, *routed, aRequest);
}

}

filter
MakeRoute(route_hooks aHooks)
{
  return { filter_name::Route,
           filter_condition::NotRefused,
           [hooks = std::move(aHooks)](
             request_context& aRequest) -> boost::asio::awaitable<void> {
             Route(hooks, aRequest);
             co_return;
           } };
}

}
