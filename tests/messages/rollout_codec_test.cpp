#include "messages/control_codec.h"
#include "messages/rollout_codec.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

rollout_record
FullRecord()
{
  rollout_record record;
  record.mService.mValue = "s";
  record.mVersion = 9;
  record.mTargetVersion = "v2";
  record.mDuration = milliseconds(12'500);
  record.mState = rollout_state::RolledBack;
  record.mStartIndex = 7;
  record.mStartedAt = 1000;
  record.mEndedAt = 2000;
  record.mElapsed = milliseconds(900);
  record.mShare = 0.07;
  record.mReason = "failures";
  return record;
}

}

TEST_GROUP(rollout_codec){};

TEST(rollout_codec, ARecordAndAServersVersionCanBeDecoded)
{
  server_record server;
  server.mServer.mValue = "i-1";
  server.mSoftwareVersion = "v2";
  for (const record_change& change :
       { record_change(FullRecord()), record_change(server) }) {
    wire::RecordChange encoded;
    WriteChange(change, encoded);
    auto read = ReadChange(encoded);
    CHECK(read.has_value());
    CHECK(read.value() == change);
  }
}

TEST(rollout_codec, ABadRecordIsRefused)
{
  wire::RolloutRecord encoded;
  WriteRollout(FullRecord(), encoded);
  encoded.set_state(99);
  CHECK(!ReadRollout(encoded));
  WriteRollout(FullRecord(), encoded);
  encoded.set_share(-1);
  CHECK(!ReadRollout(encoded));
  WriteRollout(FullRecord(), encoded);
  encoded.set_duration_ms(UINT64_MAX);
  CHECK(!ReadRollout(encoded));
}

TEST(rollout_codec, AReportCanBeDecoded)
{
  rollout_report report;
  report.mHost.mValue = "e1";
  report.mIncarnation = 5;
  report.mService.mValue = "s";
  report.mStartIndex = 7;
  rollout_row row{ team_id{ "r" }, server_id{ "i-1" }, true, {} };
  row.mCounts.mRequests = 6;
  row.mCounts.mFailures = 2;
  row.mCounts.mAnswered[3] = 3;
  row.mCounts.mCancelled[kLatencyBuckets - 1] = 1;
  report.mRows = { row };
  wire::RolloutReport encoded;
  WriteRolloutReport(report, encoded);
  auto read = ReadRolloutReport(encoded);
  CHECK(read.has_value());
  CHECK(read.value() == report);
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    encoded.mutable_counts(0)->add_answered(1);
  }
  CHECK(!ReadRolloutReport(encoded));
}
