#include "messages/rollout_codec.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

using bucket_list = google::protobuf::RepeatedField<std::uint32_t>;

/** Longer times can't be meant, and would overflow sums of times. */
constexpr std::uint64_t kMaxTimeMs = 1'000'000'000'000;

/** Writes the buckets up to the last one that isn't empty. */
void
WriteHistogram(const rollout_histogram& aHistogram, bucket_list& aOut)
{
  std::size_t used = kLatencyBuckets;
  while (used > 0 && aHistogram[used - 1] == 0) {
    --used;
  }
  aOut.Assign(aHistogram.begin(),
              aHistogram.begin() + static_cast<std::ptrdiff_t>(used));
}

bool
ReadHistogram(const bucket_list& aIn, rollout_histogram& aHistogram)
{
  if (static_cast<std::size_t>(aIn.size()) > kLatencyBuckets) {
    return false;
  }
  std::copy(aIn.begin(), aIn.end(), aHistogram.begin());
  return true;
}

}

void
WriteRollout(const rollout_record& aRecord, wire::RolloutRecord& aOut)
{
  aOut.set_service(aRecord.mService.mValue);
  aOut.set_version(aRecord.mVersion);
  aOut.set_target_version(aRecord.mTargetVersion);
  aOut.set_duration_ms(static_cast<std::uint64_t>(aRecord.mDuration.count()));
  aOut.set_state(static_cast<std::uint32_t>(aRecord.mState));
  aOut.set_start_index(aRecord.mStartIndex);
  aOut.set_started_at_ms(aRecord.mStartedAt);
  aOut.set_ended_at_ms(aRecord.mEndedAt);
  aOut.set_elapsed_ms(static_cast<std::uint64_t>(aRecord.mElapsed.count()));
  aOut.set_share(aRecord.mShare);
  aOut.set_reason(aRecord.mReason);
}

result<rollout_record, codec_error>
ReadRollout(const wire::RolloutRecord& aIn)
{
  auto state = ReadEnum<rollout_state>(aIn.state());
  if (!state) {
    return state.error();
  }
  bool isInRange = aIn.share() >= 0 && aIn.share() <= 1 &&
                   aIn.duration_ms() <= kMaxTimeMs &&
                   aIn.elapsed_ms() <= kMaxTimeMs;
  if (!isInRange) {
    return Fail(codec_error::Malformed,
                "A rollout contains a share or a time out of range.");
  }
  rollout_record record;
  record.mService.mValue = aIn.service();
  record.mVersion = aIn.version();
  record.mTargetVersion = aIn.target_version();
  record.mDuration = milliseconds(aIn.duration_ms());
  record.mState = state.value();
  record.mStartIndex = aIn.start_index();
  record.mStartedAt = aIn.started_at_ms();
  record.mEndedAt = aIn.ended_at_ms();
  record.mElapsed = milliseconds(aIn.elapsed_ms());
  record.mShare = aIn.share();
  record.mReason = aIn.reason();
  return record;
}

void
WriteRolloutReport(const rollout_report& aReport, wire::RolloutReport& aOut)
{
  aOut.set_host(aReport.mHost.mValue);
  aOut.set_incarnation(aReport.mIncarnation);
  aOut.set_service(aReport.mService.mValue);
  aOut.set_start_index(aReport.mStartIndex);
  for (const rollout_row& row : aReport.mRows) {
    wire::RolloutCounts& out = *aOut.add_counts();
    out.set_route(row.mRoute.mValue);
    out.set_server(row.mServer.mValue);
    out.set_is_target(row.mIsTarget);
    out.set_requests(row.mCounts.mRequests);
    out.set_failures(row.mCounts.mFailures);
    WriteHistogram(row.mCounts.mAnswered, *out.mutable_answered());
    WriteHistogram(row.mCounts.mCancelled, *out.mutable_cancelled());
  }
}

result<rollout_report, codec_error>
ReadRolloutReport(const wire::RolloutReport& aIn)
{
  rollout_report report;
  report.mHost.mValue = aIn.host();
  report.mIncarnation = aIn.incarnation();
  report.mService.mValue = aIn.service();
  report.mStartIndex = aIn.start_index();
  for (const wire::RolloutCounts& counts : aIn.counts()) {
    rollout_row& row = report.mRows.emplace_back();
    row.mRoute.mValue = counts.route();
    row.mServer.mValue = counts.server();
    row.mIsTarget = counts.is_target();
    row.mCounts.mRequests = counts.requests();
    row.mCounts.mFailures = counts.failures();
    bool isRead = ReadHistogram(counts.answered(), row.mCounts.mAnswered) &&
                  ReadHistogram(counts.cancelled(), row.mCounts.mCancelled);
    if (!isRead) {
      return Fail(codec_error::Malformed,
                  "A rollout report has a histogram with too many buckets.");
    }
  }
  return report;
}

}
