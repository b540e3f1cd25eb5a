#include "filters/subquery_result.h"

#include "filters/fingerprint.h"

#include "decisions/routing/top_records.h"

namespace hibiscusspool {

request_context
ToContext(const subquery& aSubquery,
          std::shared_ptr<caller_status> aCaller,
          subquery_callback aOnProgress,
          steady_time aNow)
{
  request_context context;
  context.mKind = request_kind::Forward;
  context.mTeam = aSubquery.mTeam;
  context.mRequest = aSubquery.mRequest;
  context.mBody = aSubquery.mBody;
  context.mForwarded = aSubquery.mForwarded;
  context.mFingerprint = FingerprintOf(*aSubquery.mForwarded, *aSubquery.mBody);
  context.mConfiguration = aSubquery.mConfiguration;
  context.mReceivedAt = aNow;
  context.mDeadline = aNow + aSubquery.mTimeLeft;
  context.mGiveUpAt = context.mDeadline;
  context.mSoftDeadline = context.mDeadline;
  context.mReportBy = aNow + aSubquery.mReportAfter;
  context.mCaller = std::move(aCaller);
  context.mOnProgress = std::move(aOnProgress);
  context.mIsMerged = true;
  context.mTopRecords = aSubquery.mTopRecords;
  context.mPartFields = aSubquery.mPartFields;
  context.mServices = service_set::Create(aSubquery.mServices);
  // Second attempts are left to the host that sent the subquery, which knows
  // how many servers may get the request.
  context.mMaxAttempts = 1;
  return context;
}

subquery_update
MakeUpdate(const std::vector<service_response>& aResponses,
           const std::vector<std::string>& aPartFields,
           std::size_t aTopRecords)
{
  subquery_update update;
  std::vector<std::string_view> bodies;
  for (const service_response& response : aResponses) {
    bodies.emplace_back(response.mResponse.mBody);
    subquery_part part;
    part.mService = response.mService;
    for (const std::string& name : aPartFields) {
      part.mFields.push_back(
        { name, std::string(response.mResponse.Field(name)) });
    }
    update.mParts.push_back(std::move(part));
  }
  update.mRecords = MergeTopRecords(bodies, aTopRecords);
  return update;
}

subquery_update
FinalUpdate(request_context& aRequest)
{
  subquery_update update;
  if (aRequest.mRefusal) {
    update.mIsRefused = true;
  } else {
    update = MakeUpdate(
      aRequest.mResponses, aRequest.mPartFields, aRequest.mTopRecords);
    update.mFailures = std::move(aRequest.mFailures);
  }
  update.mIsLast = true;
  return update;
}

}
