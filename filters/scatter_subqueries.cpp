#include "filters/scatter_operation.h"

#include "core/log_event.h"
#include "filters/subquery_result.h"

#include <algorithm>
#include <set>

namespace hibiscusspool {

namespace {

/** Time for the last report of a subquery to arrive and be merged. */
constexpr microseconds kReportReserve{ 5000 };
constexpr microseconds kMinReportDelay{ 1000 };
/** Part of the time to the soft deadline after which a host that has not
 * reported is late. */
constexpr int kLatePercent = 65;
/** Minimum time before a host that has not reported is late. */
constexpr microseconds kMinLateDelay{ 45'000 };
constexpr int kPercent = 100;
/** Maximum time that a hedge is expected to take, while many servers are slow
 * and before there are samples. */
constexpr microseconds kMaxHedgeTime{ 20'000 };

}

service_progress*
scatter_operation::FindProgress(const service_id& aService)
{
  auto found = std::find_if(
    mServices.begin(), mServices.end(), [&](const auto& aProgress) {
      return aProgress.mService == aService;
    });
  return found == mServices.end() ? nullptr : &*found;
}

microseconds
scatter_operation::SubqueryReportDelay(steady_time aNow) const
{
  auto left = std::chrono::duration_cast<microseconds>(mSoftDeadline - aNow);
  return std::max(kMinReportDelay, left - kReportReserve);
}

steady_time
scatter_operation::LateTime(steady_time aSentAt) const
{
  auto left = std::chrono::duration_cast<microseconds>(mSoftDeadline - aSentAt);
  return aSentAt + std::max(kMinLateDelay, left * kLatePercent / kPercent);
}

void
scatter_operation::StartSubqueries(steady_time aNow)
{
  bool mayDivide = mHooks.mSubqueries.mPlan && mIsMerged &&
                   mKind == request_kind::Forward && !mOnProgress &&
                   mHooks.mIsLeaseValid(aNow) && MaySend(aNow);
  if (!mayDivide) {
    return;
  }
  std::vector<service_id> services;
  services.reserve(mServices.size());
  for (const service_progress& service : mServices) {
    services.push_back(service.mService);
  }
  auto plans = mHooks.mSubqueries.mPlan(services, aNow);
  if (!plans.empty()) {
    mSoftDeadline = mDividedSoftDeadline;
  }
  for (assigned_subquery& plan : plans) {
    StartSubquery(std::move(plan), aNow);
  }
}

void
scatter_operation::StartSubquery(assigned_subquery aPlan, steady_time aNow)
{
  subquery sent;
  sent.mRequest = mRequest;
  sent.mId = mHooks.mNewAttemptId();
  sent.mTeam = mTeam;
  sent.mConfiguration = mConfiguration;
  sent.mServices = aPlan.mServices;
  sent.mForwarded = mForwarded;
  sent.mBody = mBody;
  sent.mTimeLeft = std::chrono::duration_cast<microseconds>(mDeadline - aNow);
  sent.mReportAfter = SubqueryReportDelay(aNow);
  sent.mTopRecords = mTopRecords;
  sent.mPartFields = mPartFields;
  std::size_t index = mSubqueries.size();
  steady_time lateAt = LateTime(aNow);
  for (const service_id& name : aPlan.mServices) {
    service_progress& service = *FindProgress(name);
    service.mSubquery = index;
    // The server is not known yet, but counts as one that was tried.
    service.mTried.push_back(server_id{});
    service.mHedgeAt = lateAt;
    CountAttempt(service, attempt_reason::Regular, aNow);
  }
  sent_subquery& entry = mSubqueries.emplace_back();
  entry.mPlan = std::move(aPlan);
  entry.mId = sent.mId;
  entry.mSentAt = aNow;
  std::weak_ptr<scatter_operation> weak = weak_from_this();
  entry.mCancel = mHooks.mSubqueries.mSend(
    entry.mPlan,
    std::move(sent),
    mExecutor,
    [weak, index](subquery_update aUpdate) {
      if (auto self = weak.lock()) {
        self->OnSubqueryUpdate(index, std::move(aUpdate));
      }
    });
}

void
scatter_operation::OnSubqueryUpdate(std::size_t aSubquery,
                                    subquery_update aUpdate)
{
  sent_subquery& entry = mSubqueries[aSubquery];
  if (mIsEnded || !entry.mCancel) {
    return;
  }
  steady_time now = mHooks.mNow();
  entry.mHasReported = true;
  AcceptParts(aSubquery, aUpdate);
  // A hedge that can't be answered by the soft deadline serves only a request
  // that waits on.
  microseconds hedgeTime =
    std::min(SlowPartThreshold().value_or(kMaxHedgeTime), kMaxHedgeTime);
  steady_time hedgeAt =
    now + hedgeTime < mSoftDeadline ? now : std::max(now, mSoftDeadline);
  for (const subquery_straggler& straggler : aUpdate.mStragglers) {
    service_progress* service = FindProgress(straggler.mService);
    if (service != nullptr && service->mSubquery == aSubquery) {
      service->mSubqueryServer = straggler.mServer;
      service->mHedgeAt = hedgeAt;
    }
  }
  for (const subquery_failure& failure : aUpdate.mFailures) {
    OnSubqueryFailure(aSubquery, failure);
  }
  if (aUpdate.mIsRefused) {
    ReclaimServices(aSubquery, subquery_end::Refused);
  } else if (aUpdate.mIsLast) {
    ReclaimServices(aSubquery, subquery_end::Lost);
  }
  Wake();
}

bool
scatter_operation::MayMergeParts(std::size_t aSubquery,
                                 const std::vector<subquery_part>& aParts)
{
  // The records of the parts are merged. If this host has one of the parts from
  // a server or another subquery, or the update has it twice, its records would
  // be in the response twice.
  std::set<service_id> services;
  return std::all_of(
    aParts.begin(), aParts.end(), [&](const subquery_part& aPart) {
      const service_progress* service = FindProgress(aPart.mService);
      return service != nullptr && !service->mIsDone &&
             service->mSubquery == aSubquery &&
             services.insert(aPart.mService).second;
    });
}

void
scatter_operation::AcceptParts(std::size_t aSubquery, subquery_update& aUpdate)
{
  bool mayMerge = MayMergeParts(aSubquery, aUpdate.mParts);
  for (subquery_part& part : aUpdate.mParts) {
    service_progress* service = FindProgress(part.mService);
    if (service == nullptr || service->mSubquery != aSubquery) {
      continue;
    }
    service->mSubquery.reset();
    if (!mayMerge) {
      if (!service->mIsDone && service->mInFlight.empty()) {
        attempt_permit permit;
        permit.mService = service->mService;
        RetryOrGiveUp(*service, permit, attempt_status::Failed);
      }
      continue;
    }
    attempt_result result;
    result.mStatus = attempt_status::Answered;
    result.mResponse.mFields = std::move(part.mFields);
    result.mResponse.mBody = std::exchange(aUpdate.mRecords, {});
    mMayHaveRun = true;
    AcceptResponse(*service, std::move(result));
  }
}

void
scatter_operation::OnSubqueryFailure(std::size_t aSubquery,
                                     const subquery_failure& aFailure)
{
  service_progress* service = FindProgress(aFailure.mService);
  if (service == nullptr || service->mSubquery != aSubquery) {
    return;
  }
  service->mSubquery.reset();
  mMayHaveRun = mMayHaveRun || aFailure.mMayHaveRun;
  std::erase(service->mTried, server_id{});
  if (!aFailure.mServer.IsEmpty()) {
    service->mTried.push_back(aFailure.mServer);
  }
  if (service->mIsDone) {
    return;
  }
  attempt_permit permit;
  permit.mService = service->mService;
  permit.mServer = aFailure.mServer;
  RetryOrGiveUp(*service,
                permit,
                aFailure.mServer.IsEmpty() ? attempt_status::NotSent
                                           : attempt_status::Failed);
}

void
scatter_operation::ReclaimServices(std::size_t aSubquery, subquery_end aEnd)
{
  bool isIncomplete = false;
  for (service_progress& service : mServices) {
    if (service.mSubquery != aSubquery) {
      continue;
    }
    service.mSubquery.reset();
    isIncomplete = true;
    bool wasAsked = aEnd != subquery_end::Refused;
    mMayHaveRun = mMayHaveRun || wasAsked;
    if (!wasAsked) {
      std::erase(service.mTried, server_id{});
    }
    if (service.mIsDone || !service.mInFlight.empty()) {
      continue;
    }
    attempt_permit permit;
    permit.mService = service.mService;
    permit.mServer = service.mSubqueryServer;
    RetryOrGiveUp(service,
                  permit,
                  wasAsked ? attempt_status::Reset : attempt_status::NotSent);
  }
  EndSubquery(aSubquery,
              isIncomplete || aEnd == subquery_end::Refused
                ? aEnd
                : subquery_end::Complete);
}

void
scatter_operation::EndSubquery(std::size_t aSubquery, subquery_end aEnd)
{
  sent_subquery& entry = mSubqueries[aSubquery];
  entry.mCancel = nullptr;
  steady_time now = mHooks.mNow();
  mHooks.mSubqueries.mOnEnd(entry.mPlan.mHost, aEnd, now);
  log_event("subquery_ended")
    .Add("request", mRequest.mValue)
    .Add("subquery", entry.mId.mValue)
    .Add("host", entry.mPlan.mHost.mValue)
    .Add("services", entry.mPlan.mServices.size())
    .Add("took_us",
         std::chrono::duration_cast<microseconds>(now - entry.mSentAt).count())
    .Add("end", NameOf(aEnd));
}

void
scatter_operation::EndAllSubqueries(steady_time aNow)
{
  for (std::size_t index = 0; index < mSubqueries.size(); ++index) {
    sent_subquery& entry = mSubqueries[index];
    if (!entry.mCancel) {
      continue;
    }
    entry.mCancel();
    bool isLate = !entry.mHasReported && aNow >= LateTime(entry.mSentAt);
    EndSubquery(index, isLate ? subquery_end::Late : subquery_end::Cancelled);
  }
}

void
scatter_operation::ScheduleReport(steady_time aNow)
{
  auto slow = SlowPartThreshold();
  auto left = std::chrono::duration_cast<microseconds>(mReportBy - aNow);
  // While many servers are slow, half of the time is left for hedges.
  microseconds latest = std::max(kMinReportDelay, left / 2);
  mReportAt = aNow + std::min(slow.value_or(latest), latest);
}

void
scatter_operation::ReportIfDue(steady_time aNow)
{
  if (!mOnProgress || mHasReported) {
    return;
  }
  if (mReportAt == steady_time::max()) {
    ScheduleReport(aNow);
  }
  if (aNow < mReportAt) {
    return;
  }
  mHasReported = true;
  mReportAt = steady_time::max();
  subquery_update update =
    MakeUpdate(std::exchange(mResponses, {}), mPartFields, mTopRecords);
  for (const service_progress& service : mServices) {
    if (!service.mIsDone) {
      server_id asked;
      if (!service.mInFlight.empty()) {
        asked = service.mInFlight.begin()->second.mPermit.mServer;
      }
      update.mStragglers.push_back({ service.mService, asked });
    }
  }
  update.mFailures = std::exchange(mFailures, {});
  mOnProgress(std::move(update));
}

void
scatter_operation::ReportPart()
{
  mOnProgress(
    MakeUpdate(std::exchange(mResponses, {}), mPartFields, mTopRecords));
}

}
