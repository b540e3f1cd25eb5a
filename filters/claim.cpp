#include "filters/claim.h"

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kRetryAfter{ 500 };

/** Applies the verdict on a claim to the request; false to propose again. */
bool
ApplyVerdict(change_outcome& aOutcome, request_context& aRequest)
{
  switch (aOutcome.mVerdict) {
    case change_verdict::Accepted:
      // The claims table has no earlier attempt, so no server ran the request.
      aRequest.mIsClaimed = true;
      aRequest.mRan = execution_status::No;
      return true;
    case change_verdict::InProgress:
      return false;
    case change_verdict::AlreadyDone:
      aRequest.mRan = execution_status::Yes;
      aRequest.mIsAnsweredByClaim = true;
      aRequest.mResponses.push_back(
        { aRequest.mServices.List().front(),
          server_response{ 0, {}, std::move(aOutcome.mRecordedOutcome) } });
      return true;
    case change_verdict::AlreadyUnknown:
      aRequest.mRan = execution_status::Unknown;
      aRequest.Refuse(refusal_reason::OutcomeUnknown,
                      "The outcome of an earlier attempt is unknown; the "
                      "request is not run again.");
      return true;
    case change_verdict::KeyReused:
      aRequest.mRan = execution_status::No;
      aRequest.Refuse(refusal_reason::KeyReused,
                      "The Idempotency-Key was already used with another "
                      "body.");
      return true;
    case change_verdict::TableFull:
      aRequest.mRan = execution_status::No;
      aRequest.Refuse(
        refusal_reason::ClaimsFull, "The claims table is full.", kRetryAfter);
      return true;
    default:
      aRequest.Refuse(refusal_reason::ClaimFailed, aOutcome.mDetail);
      return true;
  }
}

asio::awaitable<void>
Claim(const claim_hooks& aHooks, request_context& aRequest)
{
  if (aRequest.mKind != request_kind::Run) {
    co_return;
  }
  aRequest.mClaimAttempt = aHooks.mNewAttemptId();
  while (true) {
    claim_record claim = aHooks.mMakeClaim(aRequest);
    auto outcome = co_await aHooks.mPropose(claim, aRequest.mDeadline);
    if (!outcome) {
      // The claim may still be committed. It is released in the background, so
      // that a request that has ended doesn't hold it.
      claim.mState = claim_state::Released;
      aHooks.mRecordInBackground(std::move(claim));
      aRequest.Refuse(refusal_reason::ClaimFailed,
                      "The control hosts did not answer the claim in time.",
                      kRetryAfter);
      co_return;
    }
    if (ApplyVerdict(*outcome, aRequest)) {
      break;
    }
    if (aHooks.mNow() >= aRequest.mDeadline) {
      aRequest.Refuse(refusal_reason::OutcomeUnknown,
                      "Another attempt with this Idempotency-Key is still "
                      "running.",
                      kRetryAfter);
      co_return;
    }
  }
  if (aRequest.mIsClaimed) {
    aRequest.mOnLateResponse =
      [&aHooks, claim = aHooks.mMakeClaim(aRequest)](std::string aResponse) {
        claim_record late = claim;
        late.mState = claim_state::Done;
        late.mOutcome = std::move(aResponse);
        aHooks.mRecordInBackground(std::move(late));
      };
  }
}

asio::awaitable<void>
Settle(const claim_hooks& aHooks, request_context& aRequest)
{
  if (!aRequest.mIsClaimed) {
    co_return;
  }
  claim_record settled = aHooks.mMakeClaim(aRequest);
  switch (aRequest.mRan) {
    case execution_status::Yes:
      settled.mState = claim_state::Done;
      settled.mOutcome = aRequest.mRunResponse;
      break;
    case execution_status::No:
      settled.mState = claim_state::Released;
      break;
    case execution_status::Unknown:
      settled.mState = claim_state::Unknown;
      break;
  }
  auto outcome = co_await aHooks.mPropose(settled, aRequest.mDeadline);
  if (!outcome) {
    // The caller gets its response; the outcome is recorded in the background.
    aHooks.mRecordInBackground(std::move(settled));
  }
}

}

filter
MakeClaim(claim_hooks aHooks)
{
  auto hooks = std::make_shared<const claim_hooks>(std::move(aHooks));
  return { filter_name::Claim,
           filter_condition::NotRefused,
           [hooks](request_context& aRequest) -> asio::awaitable<void> {
             co_await Claim(*hooks, aRequest);
           } };
}

filter
MakeSettle(claim_hooks aHooks)
{
  return { filter_name::Settle,
           filter_condition::Always,
           [hooks = std::move(aHooks)](request_context& aRequest)
             -> asio::awaitable<void> { co_await Settle(hooks, aRequest); } };
}

}
