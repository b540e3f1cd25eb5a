#include "core/log_event.h"
#include "main/control_role.h"
#include "main/role_support.h"

#include <boost/asio/use_awaitable.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Time limit for the steps that this host proposes as the leader. */
constexpr milliseconds kStepTimeout{ 1000 };
/** A running rollout's elapsed time and share are recorded this often. */
constexpr milliseconds kProgressInterval{ 1000 };

void
LogEvidence(log_event& aEvent, const rollout_evidence& aEvidence)
{
  rollout_totals totals = TotalsOf(aEvidence);
  aEvent.Add("new_requests", totals.mNewRequests)
    .Add("new_failures", totals.mNewFailures)
    .Add("old_requests", totals.mOldRequests)
    .Add("old_failures", totals.mOldFailures)
    .Add("segments", aEvidence.mSegments.size())
    .Add("collected_ms", aEvidence.mCollectedFor.count());
}

}

exposure_limits
control_role::ExposureLimits() const
{
  return { mSettings.mControlExposureShare, mSettings.mControlExposureSlack };
}

void
control_role::ObserveRollout(const rollout_record& aRecord)
{
  mRollouts.Observe(aRecord, ElapsedNow());
  bool isStart = aRecord.mVersion == aRecord.mStartIndex;
  if (isStart) {
    log_event("rollout_started")
      .Add("service", aRecord.mService.mValue)
      .Add("target_version", aRecord.mTargetVersion)
      .Add("duration_ms", aRecord.mDuration.count())
      .Add("index", aRecord.mStartIndex)
      .Add("share_permille", aRecord.SharePermille());
  }
  if (aRecord.HasEnded()) {
    log_event("rollout_ended")
      .Add("service", aRecord.mService.mValue)
      .Add("target_version", aRecord.mTargetVersion)
      .Add("state", NameOf(aRecord.mState))
      .Add("elapsed_ms", aRecord.mElapsed.count())
      .Add("index", aRecord.mVersion)
      .Add("reason", aRecord.mReason);
  }
}

std::map<rollout_state, std::size_t>
control_role::CountRollouts() const
{
  return mGroup->ReadState([](const control_state& aState) {
    std::map<rollout_state, std::size_t> counts;
    for (const auto& [service, record] : aState.Rollouts()) {
      ++counts[record.mState];
    }
    return counts;
  });
}

std::vector<rollout_record>
control_role::RunningRollouts() const
{
  return mGroup->ReadState([](const control_state& aState) {
    std::vector<rollout_record> running;
    for (const auto& [service, record] : aState.Rollouts()) {
      if (!record.HasEnded()) {
        running.push_back(record);
      }
    }
    return running;
  });
}

rollout_receipt
control_role::AddRolloutReports(const std::vector<rollout_report>& aReports)
{
  rollout_receipt receipt;
  receipt.mLeader = mGroup->Leader();
  receipt.mTerm = mRollouts.Term();
  if (receipt.mTerm == 0) {
    return receipt;
  }
  receipt.mIsLeader = true;
  for (const rollout_report& report : aReports) {
    receipt.mIsLeader = mRollouts.Add(report) && receipt.mIsLeader;
  }
  return receipt;
}

std::optional<rollout_record>
control_role::NextRolloutStep(const rollout_record& aRecord)
{
  steady_time now = ElapsedNow();
  milliseconds elapsed = mRollouts.Elapsed(aRecord, now);
  rollout_evidence evidence = mRollouts.Evidence(aRecord, now);
  rollout_step step = StepRollout(aRecord, evidence, ExposureLimits(), elapsed);
  rollout_record next = aRecord;
  next.mElapsed = elapsed;
  next.mShare = step.mShare;
  switch (step.mVerdict) {
    case rollout_verdict::Keep:
      if (aRecord.mState != rollout_state::Running ||
          elapsed < aRecord.mElapsed + kProgressInterval) {
        return std::nullopt;
      }
      break;
    case rollout_verdict::RollBack:
      next.mState = rollout_state::RolledBack;
      next.mReason = step.mReason;
      break;
    case rollout_verdict::Complete:
      next.mState = aRecord.mState == rollout_state::Running
                      ? rollout_state::Completing
                      : rollout_state::Completed;
      next.mReason = step.mReason;
      break;
  }
  log_event event("rollout_step");
  event.Add("service", aRecord.mService.mValue)
    .Add("target_version", aRecord.mTargetVersion)
    .Add("state", NameOf(aRecord.mState))
    .Add("verdict", NameOf(step.mVerdict))
    .Add("elapsed_ms", elapsed.count())
    .Add("share_permille", next.SharePermille())
    .Add("reason", step.mReason);
  LogEvidence(event, evidence);
  return next;
}

asio::awaitable<void>
control_role::StepRollouts()
{
  control_group_status status = mGroup->Status();
  bool isLeader = status.mRole == raft_role::Leader &&
                  status.mContact == group_contact::InTouch;
  mRollouts.SetTerm(isLeader ? status.mTerm : 0, ElapsedNow());
  std::vector<rollout_record> running = RunningRollouts();
  change_command command;
  for (const rollout_record& record : running) {
    // Records of a snapshot are not published one by one.
    mRollouts.Observe(record, ElapsedNow());
    if (!isLeader) {
      continue;
    }
    if (auto next = NextRolloutStep(record)) {
      command.mChanges.emplace_back(std::move(*next));
    }
  }
  if (command.mChanges.empty()) {
    co_return;
  }
  auto outcomes =
    co_await Client().Propose(std::move(command), SteadyNow() + kStepTimeout);
  if (!outcomes) {
    log_event("rollout_step_lost", log_event::severity::Warning)
      .Add("cause", outcomes.error().mDetail);
  }
}

asio::awaitable<std::optional<std::optional<rollout_record>>>
control_role::ReadRollout(service_id aService, steady_time aDeadline)
{
  std::optional<std::optional<rollout_record>> rollout;
  bool isConfirmed = co_await ConfirmRead(aDeadline);
  if (isConfirmed) {
    rollout = mGroup->ReadState(
      [&](const control_state& aState) -> std::optional<rollout_record> {
        const rollout_record* found = aState.FindRollout(aService);
        return found == nullptr ? std::nullopt : std::optional(*found);
      });
  }
  co_return rollout;
}

}
