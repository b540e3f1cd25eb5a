#include "controllers/rollout_controller.h"

#include <algorithm>

namespace hibiscusspool {

void
rollout_controller::Observe(const rollout_record& aRecord, steady_time aNow)
{
  mRollouts.Update(aRecord.mService, [&](service_rollout& aRollout) {
    if (aRecord.mStartIndex < aRollout.mStartIndex) {
      return;
    }
    if (aRecord.mStartIndex != aRollout.mStartIndex) {
      aRollout = service_rollout{};
      aRollout.mStartIndex = aRecord.mStartIndex;
      aRollout.mElapsed = aRecord.mElapsed;
      aRollout.mSeenAt = aNow;
      aRollout.mMarkedAt = aNow;
    }
    auto passed =
      std::chrono::duration_cast<milliseconds>(aNow - aRollout.mSeenAt);
    if (aRecord.mElapsed > aRollout.mElapsed + passed) {
      aRollout.mElapsed = aRecord.mElapsed;
      aRollout.mSeenAt = aNow;
    }
    if (aRecord.HasEnded()) {
      aRollout.mReports.clear();
      aRollout.mMarks.clear();
    }
  });
}

void
rollout_controller::SetTerm(std::uint64_t aTerm, steady_time aNow)
{
  if (mTerm.exchange(aTerm) != aTerm) {
    mCollectingSince = aNow.time_since_epoch().count();
  }
}

bool
rollout_controller::Add(const rollout_report& aReport)
{
  bool isKnown = false;
  mRollouts.UpdateIfPresent(aReport.mService, [&](service_rollout& aRollout) {
    isKnown = aReport.mStartIndex <= aRollout.mStartIndex;
    // The report of an earlier rollout is of no use any more.
    if (aReport.mStartIndex != aRollout.mStartIndex) {
      return;
    }
    auto& rows = aRollout.mReports[{ aReport.mHost, aReport.mIncarnation }];
    for (const rollout_row& row : aReport.mRows) {
      rollout_row& known = rows[{ row.mRoute, row.mServer }];
      // A report that was delayed must not take counts back.
      if (row.mCounts.mRequests >= known.mCounts.mRequests) {
        known = row;
      }
    }
  });
  return isKnown;
}

milliseconds
rollout_controller::Elapsed(const rollout_record& aRecord,
                            steady_time aNow) const
{
  milliseconds elapsed = aRecord.mElapsed;
  auto known = mRollouts.Get(aRecord.mService);
  if (known && known->mStartIndex == aRecord.mStartIndex) {
    auto passed =
      std::chrono::duration_cast<milliseconds>(aNow - known->mSeenAt);
    elapsed = std::max(elapsed, known->mElapsed + passed);
  }
  return elapsed;
}

rollout_controller::row_sums
rollout_controller::SumOf(const service_rollout& aRollout)
{
  row_sums sums;
  for (const auto& [host, rows] : aRollout.mReports) {
    for (const auto& [key, row] : rows) {
      auto [sum, isNew] = sums.try_emplace(key, row);
      if (!isNew) {
        sum->second.mCounts.Add(row.mCounts);
      }
    }
  }
  return sums;
}

rollout_evidence
rollout_controller::Evidence(const rollout_record& aRecord, steady_time aNow)
{
  rollout_evidence evidence;
  steady_time since{ steady_time::duration(mCollectingSince.load()) };
  evidence.mCollectedFor =
    std::chrono::duration_cast<milliseconds>(aNow - since);
  mRollouts.UpdateIfPresent(aRecord.mService, [&](service_rollout& aRollout) {
    if (aRollout.mStartIndex != aRecord.mStartIndex) {
      return;
    }
    row_sums sums = SumOf(aRollout);
    const row_sums* earlier = nullptr;
    auto append = [&](const row_sums& aSums) {
      auto& segment = evidence.mSegments.emplace_back();
      for (const auto& [key, row] : aSums) {
        rollout_row part = row;
        if (earlier != nullptr && earlier->contains(key)) {
          part.mCounts.Subtract(earlier->at(key).mCounts);
        }
        if (part.mCounts.mRequests > 0) {
          segment.push_back(std::move(part));
        }
      }
      earlier = &aSums;
    };
    for (const row_sums& mark : aRollout.mMarks) {
      append(mark);
    }
    append(sums);
    if (aNow >= aRollout.mMarkedAt + kSegment) {
      aRollout.mMarkedAt = aNow;
      aRollout.mMarks.push_back(std::move(sums));
    }
  });
  return evidence;
}

}
