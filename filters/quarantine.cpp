#include "filters/quarantine.h"

namespace hibiscusspool {

namespace {

constexpr milliseconds kRetryAfter{ 1000 };

boost::asio::awaitable<void>
CheckQuarantine(const quarantine_hooks& aHooks, request_context& aRequest)
{
  if (aHooks.mIsSuspect && aHooks.mIsSuspect(aRequest.mFingerprint)) {
    aRequest.mMaxAttempts = 1;
  }
  auto record = aHooks.mFindRecord(aRequest.mFingerprint);
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
                      "The request is quarantined because it crashed servers; "
                      "fingerprint " +
                        aRequest.mFingerprint.mValue + ".");
      co_return;
    case trial_verdict::Unavailable:
      aRequest.Refuse(refusal_reason::NotConfirmed,
                      "The request is suspected of crashing servers, and the "
                      "control hosts did not answer in time.",
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
             co_await CheckQuarantine(hooks, aRequest);
           } };
}

}
