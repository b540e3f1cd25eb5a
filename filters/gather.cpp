#include "filters/gather.h"

#include "decisions/snapshot_choice.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

void
Gather(request_context& aRequest)
{
  std::size_t inScope = aRequest.mServices.size();
  std::size_t answered = aRequest.mAnswers.size();
  // The denominator is what the team may ask, never who happened to answer.
  aRequest.mCoverage =
    static_cast<double>(answered) / static_cast<double>(inScope);
  if (aRequest.mKind == request_kind::Run) {
    if (answered == 1) {
      aRequest.mRunAnswer = std::move(aRequest.mAnswers.front().mReply.mBody);
    }
    return;
  }
  std::sort(aRequest.mAnswers.begin(),
            aRequest.mAnswers.end(),
            [](const service_answer& aOne, const service_answer& aOther) {
              return aOne.mService < aOther.mService;
            });
  double minimum = aRequest.mPolicy.mMinimumCoverage;
  if (answered < NeededServices(inScope, minimum)) {
    aRequest.Refuse(refusal_reason::CoverageTooLow,
                    std::to_string(answered) + " of " +
                      std::to_string(inScope) + " services answered.");
  }
}

}

filter
MakeGather()
{
  return { filter_name::Gather,
           filter_when::Open,
           [](request_context& aRequest) -> boost::asio::awaitable<void> {
             Gather(aRequest);
             co_return;
           } };
}

}
