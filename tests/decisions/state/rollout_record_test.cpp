#include "decisions/state/control_state.h"
#include "messages/control_codec.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

rollout_record
Order(const std::string& aTarget, int aSeconds = 12)
{
  rollout_record record;
  record.mService.mValue = "s";
  record.mTargetVersion = aTarget;
  record.mDuration = std::chrono::seconds(aSeconds);
  record.mShare = 0.07;
  return record;
}

}

TEST_GROUP(rollout_record)
{
  control_state mState{ control_limits{} };
  std::vector<change_command> mLog;
  wall_ms mNow = 1'000'000;

  change_verdict Apply(const rollout_record& aProposed)
  {
    change_command command;
    command.mProposedAt = mNow;
    command.mChanges = { aProposed };
    mLog.push_back(command);
    return mState.Apply(mLog.size(), command).mOutcomes.front().mVerdict;
  }
  rollout_record Current()
  {
    return *mState.FindRollout(service_id{ "s" });
  }
  change_verdict Step(rollout_state aState)
  {
    rollout_record step = Current();
    step.mState = aState;
    step.mElapsed += std::chrono::seconds(1);
    step.mReason = "why";
    return Apply(step);
  }
};

TEST(rollout_record, AnOrderStartsARollout)
{
  CHECK(Apply(Order("v2")) == change_verdict::Accepted);
  LONGS_EQUAL(1, Current().mStartIndex);
  LONGS_EQUAL(mNow, Current().mStartedAt);
  CHECK(Current().mState == rollout_state::Running);
  CHECK(mState.FindRollout(service_id{ "other" }) == nullptr);
}

// Guards against an order that is sent again, to any host, and restarts the
// clock of its rollout or is refused.
TEST(rollout_record, ARepeatIsAcknowledgedAndChangesNothing)
{
  Apply(Order("v2"));
  rollout_record before = Current();
  mNow += 500;
  CHECK(Apply(Order("v2")) == change_verdict::Accepted);
  CHECK(Current() == before);
  Step(rollout_state::Completing);
  CHECK(Apply(Order("v2")) == change_verdict::Accepted);
  CHECK(Current().mState == rollout_state::Completing);
}

TEST(rollout_record, ARepeatAfterTheEndDoesNotStartAgain)
{
  Apply(Order("v2"));
  CHECK(Step(rollout_state::RolledBack) == change_verdict::Accepted);
  mNow += 2000;
  CHECK(Apply(Order("v2")) == change_verdict::Accepted);
  CHECK(Current().mState == rollout_state::RolledBack);
  STRCMP_EQUAL("why", Current().mReason.c_str());
}

TEST(rollout_record, AnotherOrderWaitsForTheEnd)
{
  Apply(Order("v2"));
  CHECK(Apply(Order("v3")) == change_verdict::InProgress);
  CHECK(Apply(Order("v2", 20)) == change_verdict::InProgress);
  Step(rollout_state::RolledBack);
  CHECK(Apply(Order("v3")) == change_verdict::Accepted);
  CHECK(Current().mState == rollout_state::Running);
  STRCMP_EQUAL("v3", Current().mTargetVersion.c_str());
}

// Guards against the step of a former leader that arrives after the end, or
// after the start of another rollout.
TEST(rollout_record, ALateStepIsRefused)
{
  Apply(Order("v2"));
  rollout_record late = Current();
  late.mState = rollout_state::Completing;
  CHECK(Step(rollout_state::Completed) == change_verdict::Stale);
  CHECK(Step(rollout_state::RolledBack) == change_verdict::Accepted);
  CHECK(Apply(late) == change_verdict::Stale);
  CHECK(Step(rollout_state::Completing) == change_verdict::Stale);
  Apply(Order("v3"));
  CHECK(Apply(late) == change_verdict::Stale);
  CHECK(Current().mState == rollout_state::Running);
}

TEST(rollout_record, AStepNeverTakesTimeBack)
{
  Apply(Order("v2"));
  rollout_record behind = Current();
  Step(rollout_state::Running);
  LONGS_EQUAL(1000, Current().mElapsed.count());
  CHECK(Apply(behind) == change_verdict::Accepted);
  LONGS_EQUAL(1000, Current().mElapsed.count());
}

TEST(rollout_record, SnapshotAndReplayGiveTheSameState)
{
  Apply(Order("v2"));
  Step(rollout_state::Running);
  Step(rollout_state::Completing);
  auto restored = DecodeState(EncodeState(mState), control_limits{});
  CHECK(restored.has_value());
  CHECK(restored.value().Records() == mState.Records());
  control_state replayed{ control_limits{} };
  log_index index = 0;
  for (const change_command& command : mLog) {
    auto decoded = DecodeCommand(EncodeCommand(command));
    CHECK(decoded.has_value());
    replayed.Apply(++index, decoded.value());
  }
  CHECK(replayed.Records() == mState.Records());
  CHECK(Current() == *replayed.FindRollout(service_id{ "s" }));
}
