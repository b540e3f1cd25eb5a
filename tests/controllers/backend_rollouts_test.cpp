#include "controllers/backend_controller.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };
const team_id kRoute{ "r" };

server_record
Server(const std::string& aName, const std::string& aVersion)
{
  server_record record;
  record.mServer.mValue = aName;
  record.mIncarnation = 1;
  record.mService.mValue = "s";
  record.mAddress = "127.0.0.1:1";
  record.mSlots = 4;
  record.mConnections = 100;
  record.mState = server_state::Ready;
  record.mSnapshots = { 1 };
  record.mSoftwareVersion = aVersion;
  return record;
}

rollout_record
Rollout(rollout_state aState, double aShare = 1)
{
  rollout_record record;
  record.mService.mValue = "s";
  record.mTargetVersion = "v2";
  record.mStartIndex = 5;
  record.mState = aState;
  record.mShare = aShare;
  return record;
}

}

TEST_GROUP(backend_rollouts)
{
  backend_controller mBackends{
    { host_id{ "e1" }, failure_domain_id{ "a" }, milliseconds(0) },
    { [](const std::vector<connection_id>& /*aConnections*/) {},
      [](const server_id& /*aServer*/) {} }
  };
  choice_request mChoice;

  void setup() override
  {
    mChoice.mService.mValue = "s";
    mChoice.mSnapshot = 1;
    mChoice.mRoute = &kRoute;
    mBackends.SetHosts({ share_holder{ host_id{ "e1" }, {} } }, kNow);
    for (const char* name : { "o1", "o2" }) {
      mBackends.Put(Server(name, "v1"), true, kNow);
    }
    for (const char* name : { "n1", "n2" }) {
      mBackends.Put(Server(name, "v2"), true, kNow);
    }
  }

  /** The first letters of the servers of some attempts, which end at once. */
  std::string Chosen(int aAttempts,
                     attempt_status aStatus = attempt_status::Answered)
  {
    std::string chosen;
    for (int attempt = 0; attempt < aAttempts; ++attempt) {
      mChoice.mDraw = static_cast<std::uint64_t>(attempt);
      auto permit = mBackends.Choose(mChoice, kNow);
      chosen += permit ? permit->mServer.mValue.substr(0, 1) : "-";
      if (permit) {
        mBackends.Finish(*permit, { aStatus, milliseconds(10), 0 }, kNow);
      }
    }
    return chosen;
  }
};

// Guards against versions that matter without a rollout.
TEST(backend_rollouts, WithoutARolloutVersionsAreIgnored)
{
  std::string chosen = Chosen(200);
  CHECK(chosen.find('n') != std::string::npos);
  CHECK(chosen.find('o') != std::string::npos);
  CHECK(mBackends.RolloutReports(kNow).empty());
}

TEST(backend_rollouts, ARolledBackVersionGetsNothing)
{
  mBackends.SetRollout(Rollout(rollout_state::RolledBack), kNow);
  STRCMP_EQUAL(std::string(50, 'o').c_str(), Chosen(50).c_str());
  mBackends.Remove(server_id{ "o1" }, kNow);
  mBackends.Remove(server_id{ "o2" }, kNow);
  STRCMP_EQUAL("---", Chosen(3).c_str());
}

// Guards against requests to old servers after `completed`, when the operator
// stops them without draining.
TEST(backend_rollouts, ACompletedVersionGetsAll)
{
  mBackends.SetRollout(Rollout(rollout_state::Completed), kNow);
  STRCMP_EQUAL(std::string(50, 'n').c_str(), Chosen(50).c_str());
  mBackends.Remove(server_id{ "n1" }, kNow);
  mBackends.Remove(server_id{ "n2" }, kNow);
  STRCMP_EQUAL("ooo", Chosen(3).c_str());
}

TEST(backend_rollouts, RetriesAndHedgesGoToOldServers)
{
  mBackends.SetRollout(Rollout(rollout_state::Running), kNow);
  STRCMP_EQUAL(std::string(50, 'n').c_str(), Chosen(50).c_str());
  mChoice.mRateRequest.mIsExtra = true;
  STRCMP_EQUAL(std::string(50, 'o').c_str(), Chosen(50).c_str());
}

// Guards against requests that wait although the old servers have room, while
// the new ones have none.
TEST(backend_rollouts, AFullVersionLeavesItsShareToTheOldServers)
{
  mBackends.SetRollout(Rollout(rollout_state::Running), kNow);
  std::string chosen;
  for (int attempt = 0; attempt < 16; ++attempt) {
    auto permit = mBackends.Choose(mChoice, kNow);
    CHECK(permit.has_value());
    chosen += permit->mServer.mValue.substr(0, 1);
  }
  // Each server takes 4 attempts at first.
  STRCMP_EQUAL((std::string(8, 'n') + std::string(8, 'o')).c_str(),
               chosen.c_str());
}

TEST(backend_rollouts, CountsAreReportedUntilALeaderHasThem)
{
  mBackends.SetRollout(Rollout(rollout_state::Running), kNow);
  Chosen(4);
  Chosen(2, attempt_status::Failed);
  Chosen(3, attempt_status::NotSent);
  auto requests = [&] {
    std::uint64_t sum = 0;
    for (const rollout_report& report : mBackends.RolloutReports(kNow)) {
      for (const rollout_row& row : report.mRows) {
        CHECK(row.mIsTarget);
        sum += row.mCounts.mRequests;
      }
    }
    return sum;
  };
  LONGS_EQUAL(6, requests());
  // Nothing new happened, and no routine report is due.
  LONGS_EQUAL(0, requests());
  mBackends.OnRolloutReports(rollout_report_end::Lost);
  LONGS_EQUAL(6, requests());
  mBackends.OnRolloutReports(rollout_report_end::Added);
  LONGS_EQUAL(0, requests());
  // A new leader gets everything again.
  mBackends.OnRolloutReports(rollout_report_end::NewLeader);
  LONGS_EQUAL(6, requests());
}
