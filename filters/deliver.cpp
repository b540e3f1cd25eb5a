#include "filters/deliver.h"

#include "decisions/top_records.h"
#include "filters/coverage.h"

namespace hibiscusspool {

namespace {

/** Time after which a retry at this or another host may succeed. */
constexpr milliseconds kRetryAfter{ 50 };

void
RefuseUnanswered(request_context& aRequest, const std::string& aDetail)
{
  if (aRequest.mRan == ran_answer::No) {
    aRequest.Refuse(refusal_reason::NoServer, aDetail, kRetryAfter);
    return;
  }
  aRequest.Refuse(aRequest.mIsMerged ? refusal_reason::CoverageTooLow
                                     : refusal_reason::OutcomeUnknown,
                  aDetail);
}

void
DeliverOne(request_context& aRequest)
{
  if (!aRequest.mAnswers.empty()) {
    aRequest.mReply = std::move(aRequest.mAnswers.front().mReply);
    return;
  }
  if (aRequest.mFailedReply) {
    // The caller gets the server's own error response.
    aRequest.mReply = std::move(aRequest.mFailedReply);
    return;
  }
  RefuseUnanswered(aRequest, "No server answered the request.");
}

void
DeliverMerged(request_context& aRequest, bool aIsSufficient)
{
  std::size_t answered = aRequest.mAnswers.size();
  if (answered == 0 || !aIsSufficient) {
    RefuseUnanswered(aRequest,
                     std::to_string(answered) + " of " +
                       std::to_string(aRequest.mServices.size()) +
                       " shards answered.");
    return;
  }
  std::vector<std::string_view> parts;
  for (const service_answer& response : aRequest.mAnswers) {
    parts.emplace_back(response.mReply.mBody);
  }
  server_reply merged;
  constexpr unsigned kOk = 200;
  merged.mStatus = kOk;
  merged.mBody = MergeTopRecords(parts, aRequest.mTopRecords);
  aRequest.mReply = std::move(merged);
}

}

filter
MakeDeliver()
{
  return { filter_name::Deliver,
           filter_when::Open,
           [](request_context& aRequest) -> boost::asio::awaitable<void> {
             bool isSufficient = CountCoverage(aRequest);
             if (aRequest.mIsMerged) {
               DeliverMerged(aRequest, isSufficient);
             } else {
               DeliverOne(aRequest);
             }
             co_return;
           } };
}

}
