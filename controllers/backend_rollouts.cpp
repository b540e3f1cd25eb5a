#include "controllers/backend_controller.h"

#include <algorithm>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

/** Counts of the old version alone are reported no more often than this. */
constexpr milliseconds kRoutineReportInterval{ 1500 };
/** Rows of one rollout; further routes and servers aren't counted. */
constexpr std::size_t kMaxRows = 2000;

}

void
backend_controller::SetRollout(const rollout_record& aRecord, steady_time aNow)
{
  std::vector<std::function<void()>> waiters;
  mServices.Update(aRecord.mService, [&](service_pool& aPool) {
    bool isSame = aPool.mRollout &&
                  aPool.mRollout->mRecord.mStartIndex == aRecord.mStartIndex;
    if (!isSame) {
      pool_rollout fresh;
      fresh.mLearnedAt = aNow;
      aPool.mRollout = std::move(fresh);
    }
    aPool.mRollout->mRecord = aRecord;
    if (aRecord.HasEnded()) {
      aPool.mRollout->mRows.clear();
    }
    for (backend& entry : aPool.mBackends) {
      entry.mIsTarget =
        entry.mRecord.mSoftwareVersion == aRecord.mTargetVersion;
    }
    UpdateRolloutEffect(aPool);
    // The request may go to other servers now.
    waiters = std::exchange(aPool.mWaiters, {});
  });
  mHasRollouts = true;
  for (const auto& wake : waiters) {
    wake();
  }
}

void
backend_controller::RemoveRollout(const service_id& aService)
{
  mServices.UpdateIfPresent(aService, [&](service_pool& aPool) {
    aPool.mRollout.reset();
    UpdateRolloutEffect(aPool);
  });
}

void
backend_controller::UpdateRolloutEffect(service_pool& aPool)
{
  aPool.mIsRolloutInEffect = false;
  if (!aPool.mRollout) {
    return;
  }
  const rollout_record& record = aPool.mRollout->mRecord;
  // After the end it matters only until the servers that get nothing are gone.
  bool isTargetUsed = record.mState != rollout_state::RolledBack;
  aPool.mIsRolloutInEffect =
    !record.HasEnded() ||
    std::any_of(aPool.mBackends.begin(),
                aPool.mBackends.end(),
                [&](const backend& aBackend) {
                  return aBackend.mIsTarget != isTargetUsed;
                });
}

std::optional<std::size_t>
backend_controller::PickInRollout(
  service_pool& aPool,
  const choice_request& aRequest,
  const std::set<failure_domain_id>& aDomainsOut,
  steady_time aNow) const
{
  const pool_rollout& rollout = *aPool.mRollout;
  steady_time firstChoiceAt =
    aRequest.mFirstChoiceAt == steady_time{} ? aNow : aRequest.mFirstChoiceAt;
  rollout_view view;
  std::vector<const server_id*> targets;
  for (const backend& entry : aPool.mBackends) {
    if (!CanAnswer(entry, aDomainsOut)) {
      continue;
    }
    if (entry.mIsTarget) {
      targets.push_back(&entry.mRecord.mServer);
      continue;
    }
    ++view.mOthers;
    bool isHealthy =
      !ShouldAvoid(entry, aNow) &&
      std::find(aRequest.mExcludedServers.begin(),
                aRequest.mExcludedServers.end(),
                entry.mRecord.mServer) == aRequest.mExcludedServers.end();
    view.mHasHealthyOther = view.mHasHealthyOther || isHealthy;
  }
  const std::string& name = aRequest.mService.mValue;
  view.mTargets = targets.size();
  view.mIsConfirmed = aRequest.mIsConfirmed;
  view.mIsExtra = aRequest.mRateRequest.mIsExtra;
  view.mDraw = aRequest.mDraw ^ XXH3_64bits(name.data(), name.size());
  view.mSinceLearned = std::chrono::duration_cast<milliseconds>(
    firstChoiceAt - rollout.mLearnedAt);
  view.mSinceLearned = std::max(milliseconds(0), view.mSinceLearned);
  choice_request request = aRequest;
  for (version_side side : SidesToTry(rollout.mRecord, view)) {
    request.mSide = side;
    request.mAllowedServers = aRequest.mAllowedServers;
    if (side == version_side::Concentrated) {
      if (!aRequest.mAllowedServers.empty()) {
        continue;
      }
      std::size_t position =
        ConcentratedPosition(targets.size(), view.mSinceLearned);
      request.mSide = version_side::Target;
      request.mAllowedServers = { *targets[position] };
    }
    auto index = PickFromAll(aPool, request, aDomainsOut, aNow);
    if (index) {
      return index;
    }
  }
  return std::nullopt;
}

void
backend_controller::MarkRolloutAttempt(const service_pool& aPool,
                                       const backend& aChosen,
                                       const choice_request& aRequest,
                                       attempt_permit& aPermit)
{
  if (aPool.mRollout->mRecord.HasEnded() || aRequest.mRoute == nullptr) {
    return;
  }
  aPermit.mRollout = rollout_attempt{ aPool.mRollout->mRecord.mStartIndex,
                                      *aRequest.mRoute,
                                      aChosen.mIsTarget };
}

void
backend_controller::RecordRolloutAttempt(service_pool& aPool,
                                         const attempt_permit& aPermit,
                                         const attempt_report& aReport)
{
  bool isWithinRate = aReport.mStatus == attempt_status::Shed &&
                      aReport.mNotice.mRate.mKind == rate_notice_kind::Limited;
  bool isCounted =
    aPermit.mRollout && aPool.mRollout &&
    aPool.mRollout->mRecord.mStartIndex == aPermit.mRollout->mStartIndex &&
    !aPool.mRollout->mRecord.HasEnded() && !WasNeverSent(aReport.mStatus) &&
    !isWithinRate;
  if (!isCounted) {
    return;
  }
  pool_rollout& rollout = *aPool.mRollout;
  std::pair key{ aPermit.mRollout->mRoute, aPermit.mServer };
  auto found = rollout.mRows.find(key);
  if (found == rollout.mRows.end()) {
    if (rollout.mRows.size() >= kMaxRows) {
      return;
    }
    found = rollout.mRows.emplace(key, counted_row{}).first;
    found->second.mRow.mRoute = key.first;
    found->second.mRow.mServer = key.second;
    found->second.mRow.mIsTarget = aPermit.mRollout->mIsTarget;
  }
  found->second.mChange = ++rollout.mLastChange;
  rollout.mHasTargetNews =
    rollout.mHasTargetNews || aPermit.mRollout->mIsTarget;
  rollout_counts& counts = found->second.mRow.mCounts;
  ++counts.mRequests;
  std::size_t bucket = BucketOf(aReport.mDuration);
  if (aReport.mStatus == attempt_status::Cancelled) {
    // A cold server's response is expected to take long.
    ++counts.mCancelled[aPermit.mIsCold ? 0 : bucket];
  } else if (aReport.mStatus == attempt_status::Answered) {
    ++counts.mAnswered[aPermit.mIsCold ? 0 : bucket];
  } else {
    ++counts.mFailures;
  }
}

std::vector<rollout_report>
backend_controller::RolloutReports(steady_time aNow)
{
  std::vector<rollout_report> reports;
  if (!mHasRollouts) {
    return reports;
  }
  mServices.ForEach([&](const service_id& aService, service_pool& aPool) {
    bool isRunning = aPool.mRollout && !aPool.mRollout->mRecord.HasEnded();
    if (!isRunning) {
      return;
    }
    pool_rollout& rollout = *aPool.mRollout;
    if (!rollout.mHasTargetNews && aNow < rollout.mRoutineReportAt) {
      return;
    }
    rollout.mHasTargetNews = false;
    rollout.mRoutineReportAt = aNow + kRoutineReportInterval;
    rollout_report& report = reports.emplace_back();
    report.mHost = mConfig.mSelf;
    report.mService = aService;
    report.mStartIndex = rollout.mRecord.mStartIndex;
    rollout.mReportedChange = rollout.mLastChange;
    for (const auto& [key, row] : rollout.mRows) {
      if (row.mChange > rollout.mConfirmedChange) {
        report.mRows.push_back(row.mRow);
      }
    }
  });
  return reports;
}

void
backend_controller::OnRolloutReports(rollout_report_end aEnd)
{
  mServices.ForEach([&](const service_id& /*aName*/, service_pool& aPool) {
    if (!aPool.mRollout) {
      return;
    }
    pool_rollout& rollout = *aPool.mRollout;
    switch (aEnd) {
      case rollout_report_end::Added:
        rollout.mConfirmedChange = rollout.mReportedChange;
        return;
      case rollout_report_end::NewLeader:
        rollout.mConfirmedChange = 0;
        rollout.mHasTargetNews = true;
        return;
      case rollout_report_end::Lost:
        rollout.mHasTargetNews = true;
        return;
    }
  });
}

std::map<service_id, rollout_record>
backend_controller::Rollouts() const
{
  std::map<service_id, rollout_record> records;
  mServices.ForEach([&](const service_id& aName, const service_pool& aPool) {
    if (aPool.mRollout) {
      records.emplace(aName, aPool.mRollout->mRecord);
    }
  });
  return records;
}

}
