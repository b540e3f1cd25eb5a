#include "decisions/state/control_state.h"

#include "decisions/state/change_evaluation.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

bool
MayFollow(rollout_state aFrom, rollout_state aTo)
{
  switch (aFrom) {
    case rollout_state::Running:
      return aTo != rollout_state::Completed;
    case rollout_state::Completing:
      return aTo != rollout_state::Running;
    case rollout_state::Completed:
    case rollout_state::RolledBack:
      break;
  }
  return false;
}

}

change_outcome
control_state::Put(const rollout_record& aProposed,
                   const std::optional<log_index>& aIfVersion,
                   change_effects& aEffects)
{
  auto found = mRollouts.find(aProposed.mService);
  log_index current = CurrentVersion(mRollouts, aProposed.mService);
  if (!Matches(aIfVersion, current)) {
    return VersionConflict(current);
  }
  if (aProposed.mStartIndex != 0) {
    return ApplyStep(aProposed, aEffects);
  }
  if (found != mRollouts.end()) {
    const rollout_record& existing = found->second;
    bool isSameTarget = existing.mTargetVersion == aProposed.mTargetVersion;
    bool isSameOrder =
      isSameTarget && existing.mDuration == aProposed.mDuration;
    if (!existing.HasEnded() && !isSameOrder) {
      return Refuse(change_verdict::InProgress,
                    current,
                    "The rollout of version \"" + existing.mTargetVersion +
                      "\" is in progress.");
    }
    // An order that is sent again after its rollout has ended must not start
    // another one.
    bool isRepeat =
      isSameOrder &&
      (!existing.HasEnded() ||
       mTime < existing.mEndedAt + mLimits.mRolloutRepeatWindow.count());
    if (isRepeat) {
      return Accept(current);
    }
  }
  if (found == mRollouts.end() && mRollouts.size() >= mLimits.mMaxRollouts) {
    return Refuse(change_verdict::TableFull,
                  0,
                  "There are " + std::to_string(mRollouts.size()) +
                    " rollouts, the maximum.");
  }
  rollout_record started = aProposed;
  started.mState = rollout_state::Running;
  started.mStartIndex = mIndex;
  started.mStartedAt = mTime;
  started.mEndedAt = 0;
  started.mElapsed = milliseconds(0);
  started.mReason.clear();
  return StoreRecord(mRollouts[aProposed.mService], started, mIndex, aEffects);
}

change_outcome
control_state::ApplyStep(const rollout_record& aProposed,
                         change_effects& aEffects)
{
  auto found = mRollouts.find(aProposed.mService);
  bool isCurrent = found != mRollouts.end() &&
                   found->second.mStartIndex == aProposed.mStartIndex;
  if (!isCurrent || !MayFollow(found->second.mState, aProposed.mState)) {
    return Refuse(change_verdict::Stale,
                  CurrentVersion(mRollouts, aProposed.mService),
                  "The rollout has ended or another one has begun.");
  }
  rollout_record stepped = found->second;
  stepped.mState = aProposed.mState;
  stepped.mShare = aProposed.mShare;
  // The estimate of a leader that has just started may be behind.
  stepped.mElapsed = std::max(stepped.mElapsed, aProposed.mElapsed);
  stepped.mReason = aProposed.mReason;
  stepped.mEndedAt = stepped.HasEnded() ? mTime : 0;
  return StoreRecord(found->second, stepped, mIndex, aEffects);
}

const rollout_record*
control_state::FindRollout(const service_id& aService) const
{
  auto found = mRollouts.find(aService);
  return found == mRollouts.end() ? nullptr : &found->second;
}

}
