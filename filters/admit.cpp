#include "filters/admit.h"

#include "decisions/routing/snapshot_choice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** A request that waits in the admission queue for its decision. */
struct queued_request
{
  asio::steady_timer mTimer;
  std::optional<admission_result> mResult;
};

std::string
DetailOf(refusal_reason aReason)
{
  return aReason == refusal_reason::TeamLimit
           ? "The team's limit of concurrent requests is reached."
           : "This host's limit of concurrent requests is reached.";
}

asio::awaitable<admission_result>
WaitForDecision(admission_controller& aAdmission,
                const admission_request& aAdmissionRequest,
                std::shared_ptr<queued_request> aQueued)
{
  aQueued->mTimer.expires_at(aAdmissionRequest.mDeadline);
  if (!aQueued->mResult) {
    co_await aQueued->mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  while (!aQueued->mResult) {
    if (aAdmission.Withdraw(aAdmissionRequest)) {
      co_return admission_result{ admission_verdict::Refused,
                                  refusal_reason::DeadlinePassed,
                                  milliseconds(0) };
    }
    // Already decided; the callback that delivers it has been posted.
    aQueued->mTimer.expires_at(steady_time::max());
    co_await aQueued->mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return *aQueued->mResult;
}

/** Refuses a request that the servers can't bear. */
void
RefuseIfOverloaded(const admit_hooks& aHooks, request_context& aRequest)
{
  if (!aHooks.mCheckOverload || aRequest.mServices.IsEmpty()) {
    return;
  }
  overload_verdict verdict = aHooks.mCheckOverload(aRequest, aHooks.mNow());
  if (!verdict.mIsAdmitted) {
    aRequest.Refuse(refusal_reason::Overloaded,
                    "The servers have more to do than they can finish in time.",
                    verdict.mRetryAfter);
  }
}

asio::awaitable<void>
Admit(admission_controller& aAdmission,
      const admit_hooks& aHooks,
      request_context& aRequest)
{
  RefuseIfOverloaded(aHooks, aRequest);
  if (aRequest.mRefusal) {
    co_return;
  }
  auto executor = co_await asio::this_coro::executor;
  auto queued = std::make_shared<queued_request>(
    queued_request{ asio::steady_timer(executor), std::nullopt });
  std::uint32_t hosts = std::max(1U, aHooks.mServingHosts());
  admission_request admissionRequest;
  admissionRequest.mTeam = aRequest.mTeam;
  admissionRequest.mTeamLimit =
    (aRequest.mPolicy.mConcurrency + hosts - 1) / hosts;
  admissionRequest.mDeadline = aRequest.mDeadline;
  admission_callback callback = [queued, executor](admission_result aResult) {
    asio::post(executor, [queued, aResult] {
      queued->mResult = aResult;
      queued->mTimer.cancel();
    });
  };
  steady_time requestedAt = aHooks.mNow();
  admission_result result =
    aAdmission.Submit(admissionRequest, std::move(callback), requestedAt);
  bool wasQueued = result.mVerdict == admission_verdict::Queued;
  if (wasQueued) {
    result = co_await WaitForDecision(aAdmission, admissionRequest, queued);
  }
  if (result.mVerdict == admission_verdict::Refused) {
    aRequest.Refuse(
      result.mReason, DetailOf(result.mReason), result.mRetryAfter);
    co_return;
  }
  aRequest.mIsAdmitted = true;
  aRequest.mAdmittedAt = aHooks.mNow();
  // The lease may have expired while the request was queued.
  if (wasQueued && !aHooks.mIsLeaseValid(aRequest.mAdmittedAt)) {
    aRequest.Refuse(refusal_reason::NotConfirmed,
                    "This host lost contact with the control hosts while the "
                    "request was queued; try another host.");
  }
}

}

overload_request
ToOverloadRequest(const request_context& aRequest)
{
  overload_request request;
  request.mTeam = aRequest.mTeam;
  request.mRank.mPriority = aRequest.mPriority;
  bool hasObjective = aRequest.mSoftDeadline < aRequest.mDeadline;
  request.mRank.mObjective = hasObjective
                               ? aRequest.mPolicy.mLatencyObjective
                               : std::chrono::duration_cast<milliseconds>(
                                   aRequest.mDeadline - aRequest.mReceivedAt);
  request.mServices = aRequest.mServices.List();
  request.mNeeded = NeededServices(aRequest.mServices.size(),
                                   aRequest.mPolicy.mMinimumCoverage);
  if (!aRequest.mRequest.IsEmpty()) {
    // Requests of different callers may be alike, but not their ids.
    request.mRepeatKey =
      aRequest.mRequest.mValue + ' ' + aRequest.mFingerprint.mValue;
  }
  request.mDeadline = aRequest.mDeadline;
  return request;
}

filter
MakeAdmit(admission_controller& aAdmission, admit_hooks aHooks)
{
  return { filter_name::Admit,
           filter_condition::NotRefused,
           [&aAdmission, hooks = std::move(aHooks)](
             request_context& aRequest) -> asio::awaitable<void> {
             co_await Admit(aAdmission, hooks, aRequest);
           } };
}

}
