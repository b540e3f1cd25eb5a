#include "filters/admit.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Where a queued request waits for its decision. */
struct waiting_room
{
  asio::steady_timer mTimer;
  std::optional<admission_result> mAnswer;
};

std::string
DetailOf(refusal_reason aReason)
{
  return aReason == refusal_reason::TeamLimit
           ? "The team has as many requests under way as it may."
           : "This host has as many requests under way as it can bear.";
}

asio::awaitable<admission_result>
WaitForPlace(admission_controller& aAdmission,
             const admission_request& aAsk,
             std::shared_ptr<waiting_room> aRoom)
{
  aRoom->mTimer.expires_at(aAsk.mDeadline);
  if (!aRoom->mAnswer) {
    co_await aRoom->mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  while (!aRoom->mAnswer) {
    if (aAdmission.Withdraw(aAsk)) {
      co_return admission_result{ admission_verdict::Refused,
                                  refusal_reason::DeadlinePassed,
                                  milliseconds(0) };
    }
    // The decision was made just now and is on its way here.
    aRoom->mTimer.expires_at(steady_time::max());
    co_await aRoom->mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return *aRoom->mAnswer;
}

asio::awaitable<void>
Admit(admission_controller& aAdmission,
      const admit_hooks& aHooks,
      request_context& aRequest)
{
  auto executor = co_await asio::this_coro::executor;
  auto room = std::make_shared<waiting_room>(
    waiting_room{ asio::steady_timer(executor), std::nullopt });
  std::uint32_t hosts = std::max(1U, aHooks.mServingHosts());
  admission_request ask;
  ask.mTeam = aRequest.mTeam;
  ask.mTeamLimit = (aRequest.mPolicy.mConcurrency + hosts - 1) / hosts;
  ask.mDeadline = aRequest.mDeadline;
  admission_callback wake = [room, executor](admission_result aAnswer) {
    asio::post(executor, [room, aAnswer] {
      room->mAnswer = aAnswer;
      room->mTimer.cancel();
    });
  };
  steady_time asked = aHooks.mNow();
  admission_result answer = aAdmission.Submit(ask, std::move(wake), asked);
  bool wasQueued = answer.mVerdict == admission_verdict::Queued;
  if (wasQueued) {
    answer = co_await WaitForPlace(aAdmission, ask, room);
  }
  if (answer.mVerdict == admission_verdict::Refused) {
    aRequest.Refuse(
      answer.mReason, DetailOf(answer.mReason), answer.mRetryAfter);
    co_return;
  }
  aRequest.mIsAdmitted = true;
  aRequest.mAdmittedAt = aHooks.mNow();
  // The lease may have lapsed while the request waited.
  if (wasQueued && !aHooks.mIsLeaseValid(aRequest.mAdmittedAt)) {
    aRequest.Refuse(refusal_reason::NotConfirmed,
                    "This host lost the control hosts; ask another.");
  }
}

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
