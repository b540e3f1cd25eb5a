#include "filters/plan.h"

namespace hibiscusspool {

namespace {

constexpr milliseconds kRetryAfter{ 200 };

void
Plan(const plan_hooks& aHooks, request_context& aRequest)
{
  if (aRequest.mKind == request_kind::Run) {
    return;
  }
  double minimum = aRequest.mPolicy.mMinimumCoverage;
  auto plan =
    ChooseSnapshot(aHooks.mSnapshots(aRequest.mServices.List()), minimum);
  if (!plan) {
    aRequest.Refuse(refusal_reason::NoSnapshot,
                    "No service of the team has an available server.",
                    kRetryAfter);
    return;
  }
  if (plan->mAvailable < NeededServices(aRequest.mServices.size(), minimum)) {
    aRequest.Refuse(refusal_reason::CoverageTooLow,
                    "Only " + std::to_string(plan->mAvailable) + " of " +
                      std::to_string(aRequest.mServices.size()) +
                      " services can answer from one index version.",
                    kRetryAfter);
    return;
  }
  aRequest.mSnapshot = plan->mSnapshot;
}

}

filter
MakePlan(plan_hooks aHooks)
{
  return { filter_name::Plan,
           filter_condition::NotRefused,
           [hooks = std::move(aHooks)](
             request_context& aRequest) -> boost::asio::awaitable<void> {
             Plan(hooks, aRequest);
             co_return;
           } };
}

}
