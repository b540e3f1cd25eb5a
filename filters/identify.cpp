#include "filters/identify.h"

#include "filters/fingerprint.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

void
Identify(const identify_hooks& aHooks, request_context& aRequest)
{
  if (aRequest.mRequest.IsEmpty()) {
    aRequest.mRequest = aHooks.mNewRequestId();
  }
  aRequest.mGiveUpAt = aRequest.mReceivedAt + aHooks.mMaxWait;
  aRequest.mDeadline = aRequest.mGiveUpAt;
  // The caller may have sent a request with this key before. Until the claims
  // table has been read, that request may have run.
  bool mayHaveRun =
    aRequest.mKind == request_kind::Run && !aRequest.mKey.IsEmpty();
  aRequest.mRan = mayHaveRun ? execution_status::Unknown : execution_status::No;
  if (aRequest.mError) {
    aRequest.Refuse(aRequest.mError->mReason, aRequest.mError->mDetail);
    return;
  }
  auto team = aHooks.mFindTeam(aRequest.mTeam);
  if (!team) {
    aRequest.Refuse(refusal_reason::UnknownTeam,
                    "There is no team \"" + aRequest.mTeam.mValue + "\".");
    return;
  }
  aRequest.mPolicy = std::move(team->mPolicy);
  aRequest.mHasPolicy = true;
  milliseconds wait = std::min(aRequest.mPolicy.mMaxWait, aHooks.mMaxWait);
  if (aRequest.mCallerTimeout) {
    wait = std::min(wait, *aRequest.mCallerTimeout);
  }
  aRequest.mDeadline = aRequest.mReceivedAt + wait;
  aRequest.mFingerprint =
    FingerprintOf(*aRequest.mBody, static_cast<std::uint64_t>(aRequest.mKind));
  bool isRun = aRequest.mKind == request_kind::Run;
  if (!isRun) {
    aRequest.mServices = aRequest.mPolicy.mServices;
  } else if (aRequest.mKey.IsEmpty()) {
    aRequest.Refuse(refusal_reason::MissingKey,
                    "A run request needs the header Idempotency-Key.");
    return;
  } else if (!aRequest.mPolicy.mRunService.IsEmpty()) {
    aRequest.mServices = service_set::Create({ aRequest.mPolicy.mRunService });
  }
  if (aRequest.mServices.IsEmpty()) {
    aRequest.Refuse(refusal_reason::BadRequest,
                    "The team's template has no service for this kind of "
                    "request.");
  }
}

}

filter
MakeIdentify(identify_hooks aHooks)
{
  return { filter_name::Identify,
           filter_condition::NotRefused,
           [hooks = std::move(aHooks)](
             request_context& aRequest) -> boost::asio::awaitable<void> {
             Identify(hooks, aRequest);
             co_return;
           } };
}

}
