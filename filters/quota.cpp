#include "filters/quota.h"

#include "core/log_event.h"

#include <algorithm>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** The team's record in the configuration that serves the request, or null if
 * the team has no limit. */
const caller_team_record*
FindLimit(const request_context& aRequest)
{
  if (aRequest.mCallerTeam.IsEmpty() || aRequest.mRoutes == nullptr) {
    return nullptr;
  }
  const auto& teams = aRequest.mRoutes->CallerTeams();
  auto found = std::find_if(
    teams.begin(), teams.end(), [&](const caller_team_record& aTeam) {
      return aTeam.mTeam == aRequest.mCallerTeam;
    });
  bool isLimited = found != teams.end() && found->mRatePerSecond > 0;
  return isLimited ? &*found : nullptr;
}

void
LogAsked(const request_context& aRequest,
         const quota_step& aStep,
         steady_time::duration aWaited)
{
  log_event("quota_asked")
    .Add("request", aRequest.mRequest.mValue)
    .Add("caller_team", aRequest.mCallerTeam.mValue)
    .Add("verdict", NameOf(aStep.mVerdict))
    .Add("basis", NameOf(aStep.mBasis))
    .Add("waited_us",
         std::chrono::duration_cast<microseconds>(aWaited).count());
}

void
Decide(const quota_step& aStep, steady_time aNow, request_context& aRequest)
{
  if (aStep.mVerdict == quota_verdict::Admitted) {
    aRequest.mQuotaCountedAt = aNow;
    return;
  }
  aRequest.Refuse(refusal_reason::QuotaExceeded,
                  "The quota of team " + aRequest.mCallerTeam.mValue +
                    " is used up (" + std::string(NameOf(aStep.mBasis)) + ").",
                  aStep.mRetryAfter);
}

asio::awaitable<void>
CheckQuota(quota_controller& aQuotas,
           const quota_filter_hooks& aHooks,
           request_context& aRequest)
{
  const caller_team_record* limit = FindLimit(aRequest);
  if (limit == nullptr) {
    co_return;
  }
  quota_ticket ticket;
  ticket.mTeam = aRequest.mCallerTeam;
  ticket.mTerms = { aRequest.mConfiguration,
                    limit->mRatePerSecond,
                    limit->mBurst };
  steady_time started = aHooks.mNow();
  steady_time now = started;
  quota_step step = aQuotas.Begin(ticket, now);
  bool isAsked = step.mVerdict == quota_verdict::Ask;
  while (step.mVerdict == quota_verdict::Ask) {
    std::optional<quota_reply> reply =
      co_await aHooks.mExchange(std::move(step.mMessage));
    now = aHooks.mNow();
    step = aQuotas.Continue(ticket, reply, now);
  }
  if (isAsked) {
    LogAsked(aRequest, step, now - started);
  }
  Decide(step, now, aRequest);
}

}

filter
MakeQuota(quota_controller& aQuotas, quota_filter_hooks aHooks)
{
  return { filter_name::Quota,
           filter_condition::NotRefused,
           [&aQuotas, hooks = std::move(aHooks)](
             request_context& aRequest) -> asio::awaitable<void> {
             co_await CheckQuota(aQuotas, hooks, aRequest);
           } };
}

filter
MakeQuotaReturn(quota_controller& aQuotas, quota_filter_hooks aHooks)
{
  return { filter_name::QuotaReturn,
           filter_condition::Always,
           [&aQuotas, hooks = std::move(aHooks)](
             request_context& aRequest) -> asio::awaitable<void> {
             bool isReturned = aRequest.mQuotaCountedAt && aRequest.mRefusal &&
                               aRequest.mRan == execution_status::No;
             if (isReturned) {
               aQuotas.Return(
                 aRequest.mCallerTeam, *aRequest.mQuotaCountedAt, hooks.mNow());
             }
             co_return;
           } };
}

}
