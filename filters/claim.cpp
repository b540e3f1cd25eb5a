#include "filters/claim.h"

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kRetryAfter{ 500 };

/** Answers a resend from what the claims table knows; false to ask again. */
bool
TakeVerdict(change_outcome& aOutcome, request_context& aRequest)
{
  switch (aOutcome.mVerdict) {
    case change_verdict::Accepted:
      // The table knows of no earlier run, so that this one is the first.
      aRequest.mIsClaimed = true;
      aRequest.mRan = execution_status::No;
      return true;
    case change_verdict::InProgress:
      return false;
    case change_verdict::AlreadyDone:
      aRequest.mRan = execution_status::Yes;
      aRequest.mIsAnswered = true;
      aRequest.mResponses.push_back(
        { aRequest.mServices.front(),
          server_response{ 0, {}, std::move(aOutcome.mRecordedOutcome) } });
      return true;
    case change_verdict::AlreadyUnknown:
      aRequest.mRan = execution_status::Unknown;
      aRequest.Refuse(refusal_reason::OutcomeUnknown,
                      "An earlier attempt was lost; it is not run again.");
      return true;
    case change_verdict::KeyReused:
      aRequest.mRan = execution_status::No;
      aRequest.Refuse(refusal_reason::KeyReused,
                      "The Idempotency-Key was used with another body.");
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
    claim_record wish = aHooks.mMakeClaim(aRequest);
    auto outcome = co_await aHooks.mPropose(wish, aRequest.mDeadline);
    if (!outcome) {
      // Should the claim yet be made, it must not stay without an owner.
      wish.mState = claim_state::Released;
      aHooks.mRecordInBackground(std::move(wish));
      aRequest.Refuse(refusal_reason::ClaimFailed,
                      "The control hosts did not answer in time.",
                      kRetryAfter);
      co_return;
    }
    if (TakeVerdict(*outcome, aRequest)) {
      break;
    }
    if (aHooks.mNow() >= aRequest.mDeadline) {
      aRequest.Refuse(refusal_reason::OutcomeUnknown,
                      "Another attempt is still under way.",
                      kRetryAfter);
      co_return;
    }
  }
  if (aRequest.mIsClaimed) {
    aRequest.mOnLateResponse =
      [&aHooks, claim = aHooks.mMakeClaim(aRequest)](std::string aAnswer) {
        claim_record late = claim;
        late.mState = claim_state::Done;
        late.mOutcome = std::move(aAnswer);
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
    // What ran has run: the caller hears it, and the log learns it later.
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
