#include "filters/gather.h"

#include "filters/coverage.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

void
Gather(request_context& aRequest)
{
  std::size_t answered = aRequest.mAnswers.size();
  bool isSufficient = CountCoverage(aRequest);
  if (aRequest.mKind == request_kind::Run) {
    if (answered == 1) {
      aRequest.mRunAnswer = std::move(aRequest.mAnswers.front().mReply.mBody);
    }
    return;
  }
  std::sort(aRequest.mAnswers.begin(),
            aRequest.mAnswers.end(),
            [](const service_answer& aLeft, const service_answer& aRight) {
              return aLeft.mService < aRight.mService;
            });
  if (!isSufficient) {
    aRequest.Refuse(refusal_reason::CoverageTooLow,
                    std::to_string(answered) + " of " +
                      std::to_string(aRequest.mServices.size()) +
                      " services answered.");
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
