#include "filters/deliver.h"

#include "decisions/routing/top_records.h"
#include "filters/coverage.h"

namespace hibiscusspool {

namespace {

/** Time after which a retry at this or another host may succeed. */
constexpr milliseconds kRetryAfter{ 50 };

void
RefuseUnanswered(request_context& aRequest, const std::string& aDetail)
{
  if (aRequest.mRan == execution_status::No) {
    aRequest.Refuse(refusal_reason::NoServer,
                    aDetail,
                    aRequest.mServersBackIn.value_or(kRetryAfter));
    return;
  }
  aRequest.Refuse(aRequest.mIsMerged ? refusal_reason::CoverageTooLow
                                     : refusal_reason::OutcomeUnknown,
                  aDetail);
}

void
DeliverOne(request_context& aRequest)
{
  if (!aRequest.mResponses.empty()) {
    aRequest.mResponse = std::move(aRequest.mResponses.front().mResponse);
    return;
  }
  if (aRequest.mFailedResponse) {
    // The caller gets the server's own error response.
    aRequest.mResponse = std::move(aRequest.mFailedResponse);
    return;
  }
  RefuseUnanswered(aRequest, "No server answered the request.");
}

void
DeliverMerged(request_context& aRequest, bool aIsSufficient)
{
  std::size_t answered = aRequest.mResponses.size();
  if (answered == 0 || !aIsSufficient) {
    RefuseUnanswered(aRequest,
                     std::to_string(answered) + " of " +
                       std::to_string(aRequest.mServices.size()) +
                       " shards answered.");
    return;
  }
  std::vector<std::string_view> parts;
  for (const service_response& response : aRequest.mResponses) {
    parts.emplace_back(response.mResponse.mBody);
  }
  server_response merged;
  constexpr unsigned kOk = 200;
  merged.mStatus = kOk;
  merged.mBody = MergeTopRecords(parts, aRequest.mTopRecords);
  aRequest.mResponse = std::move(merged);
}

}

filter
MakeDeliver()
{
  return { filter_name::Deliver,
           filter_condition::NotRefused,
           [](request_context& aRequest) -> boost::asio::awaitable<void> {
             bool isSufficient = ComputeCoverage(aRequest);
             if (aRequest.mIsMerged) {
               DeliverMerged(aRequest, isSufficient);
             } else {
               DeliverOne(aRequest);
             }
             co_return;
           } };
}

}
