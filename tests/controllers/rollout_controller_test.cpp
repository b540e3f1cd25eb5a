#include "controllers/rollout_controller.h"
#include "decisions/rollout/rollout_step.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

rollout_record
Record(log_index aStartIndex = 5, milliseconds aElapsed = milliseconds(0))
{
  rollout_record record;
  record.mService.mValue = "s";
  record.mStartIndex = aStartIndex;
  record.mDuration = std::chrono::seconds(12);
  record.mElapsed = aElapsed;
  return record;
}

rollout_report
Report(const std::string& aHost,
       std::uint64_t aRequests,
       incarnation_number aIncarnation = 1,
       log_index aStartIndex = 5)
{
  rollout_report report;
  report.mHost.mValue = aHost;
  report.mIncarnation = aIncarnation;
  report.mService.mValue = "s";
  report.mStartIndex = aStartIndex;
  rollout_row row{ team_id{ "r" }, server_id{ "n" }, true, {} };
  row.mCounts.mRequests = aRequests;
  report.mRows = { row };
  return report;
}

}

TEST_GROUP(rollout_controller)
{
  rollout_controller mController;

  std::uint64_t Requests(const rollout_record& aRecord = Record())
  {
    return TotalsOf(mController.Evidence(aRecord, kNow)).mNewRequests;
  }
};

// Guards against counts that are added twice, or taken back by a report that
// was delayed.
TEST(rollout_controller, CumulativeCountsAreAddedOnce)
{
  mController.Observe(Record(), kNow);
  CHECK(mController.Add(Report("e1", 3)));
  CHECK(mController.Add(Report("e1", 5)));
  CHECK(mController.Add(Report("e1", 5)));
  CHECK(mController.Add(Report("e1", 4)));
  CHECK(mController.Add(Report("e2", 10)));
  LONGS_EQUAL(15, Requests());
  // The host was started again: what it had counted before still counts.
  CHECK(mController.Add(Report("e1", 2, 2)));
  LONGS_EQUAL(17, Requests());
}

TEST(rollout_controller, ANewRolloutBeginsWithoutCounts)
{
  mController.Observe(Record(), kNow);
  mController.Add(Report("e1", 3));
  CHECK(!mController.Add(Report("e1", 3, 1, 9)));
  mController.Observe(Record(9), kNow);
  LONGS_EQUAL(0, Requests(Record(9)));
  CHECK(mController.Add(Report("e1", 3)));
  LONGS_EQUAL(0, Requests(Record(9)));
  CHECK(mController.Add(Report("e1", 4, 1, 9)));
  LONGS_EQUAL(4, Requests(Record(9)));
}

// Guards against a new leader that completes too early or misses the deadline:
// each host measures the time itself, from the order or a later step.
TEST(rollout_controller, AllHostsAgreeOnTheTimeSinceTheOrder)
{
  rollout_controller restarted;
  mController.Observe(Record(), kNow);
  steady_time later = kNow + std::chrono::seconds(4);
  LONGS_EQUAL(4000, mController.Elapsed(Record(), later).count());
  // The other host read the log after a restart, 300 ms after a step.
  rollout_record step = Record(5, milliseconds(3700));
  mController.Observe(step, kNow + milliseconds(3710));
  restarted.Observe(step, later);
  LONGS_EQUAL(4000, mController.Elapsed(step, later).count());
  LONGS_EQUAL(3700, restarted.Elapsed(step, later).count());
  LONGS_EQUAL(4700,
              restarted.Elapsed(step, later + std::chrono::seconds(1)).count());
}

// Guards against a new leader that decides on the counts of an earlier term.
TEST(rollout_controller, ANewTermCollectsAnew)
{
  mController.SetTerm(3, kNow);
  auto collected = [&](steady_time aNow) {
    return mController.Evidence(Record(), aNow).mCollectedFor.count();
  };
  LONGS_EQUAL(2000, collected(kNow + milliseconds(2000)));
  mController.SetTerm(3, kNow + milliseconds(2000));
  LONGS_EQUAL(2000, collected(kNow + milliseconds(2000)));
  mController.SetTerm(0, kNow + milliseconds(2000));
  mController.SetTerm(5, kNow + milliseconds(2500));
  LONGS_EQUAL(500, collected(kNow + milliseconds(3000)));
}
