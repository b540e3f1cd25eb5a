#include "filters/gather.h"

#include "filters/coverage.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

void
Gather(request_context& aRequest)
{
  std::size_t answered = aRequest.mResponses.size();
  bool isSufficient = ComputeCoverage(aRequest);
  if (aRequest.mKind == request_kind::Run) {
    if (answered == 1) {
      aRequest.mRunResponse =
        std::move(aRequest.mResponses.front().mResponse.mBody);
    }
    return;
  }
  std::sort(aRequest.mResponses.begin(),
            aRequest.mResponses.end(),
            [](const service_response& aLeft, const service_response& aRight) {
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
           filter_condition::NotRefused,
           [](request_context& aRequest) -> boost::asio::awaitable<void> {
             Gather(aRequest);
             co_return;
           } };
}

}
