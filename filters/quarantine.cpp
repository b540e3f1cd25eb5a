#include "filters/quarantine.h"

namespace hibiscusspool {

namespace {

constexpr milliseconds kRetryAfter{ 1000 };

boost::asio::awaitable<void>
CheckSuspect(const quarantine_hooks& aHooks, request_context& aRequest)
{
  auto record = aHooks.mLookUp(aRequest.mFingerprint);
  if (!record) {
    co_return;
  }
  trial_verdict verdict = co_await aHooks.mRequestTrial(aRequest);
  switch (verdict) {
    case trial_verdict::Allowed:
      aRequest.mIsTrial = true;
      co_return;
    case trial_verdict::Refused:
      aRequest.Refuse(refusal_reason::Quarantined,
                      "The request crashed servers; fingerprint " +
                        aRequest.mFingerprint.mValue + ".");
      co_return;
    case trial_verdict::Unavailable:
      aRequest.Refuse(refusal_reason::NotConfirmed,
                      "The request is under suspicion, and the control hosts "
                      "could not be asked.",
                      kRetryAfter);
      co_return;
  }
}

}

filter
MakeQuarantine(quarantine_hooks aHooks)
{
  return { filter_name::Quarantine,
           filter_condition::NotRefused,
           [hooks = std::move(aHooks)](
             request_context& aRequest) -> boost::asio::awaitable<void> {
             co_await CheckSuspect(hooks, aRequest);
           } };
}

}
