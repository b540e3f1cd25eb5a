#include "tests/decisions/rollout/simulated_rollout.h"

#include <algorithm>
#include <deque>

namespace test {

namespace {

constexpr milliseconds kTick{ 10 };
constexpr milliseconds kStepInterval{ 200 };
/** From the end of an attempt until the leader has its count. */
constexpr milliseconds kReportDelay{ 450 };
/** From a step until the hosts act on it. */
constexpr milliseconds kPublishDelay{ 250 };
constexpr milliseconds kLoadWindow{ 100 };
/** As in the leader's controller. */
constexpr milliseconds kSegment{ 2000 };
constexpr milliseconds kHedgeAfter{ 60 };
constexpr double kMeanMs = 9;
constexpr double kSpread = 0.5;

struct pending_count
{
  milliseconds mAt{ 0 };
  rollout_row mRow;
};

class player
{
  const simulated_load& mLoad;
  std::mt19937_64 mRandom;
  rollout_record mRecord;
  /** What hosts know of the record, and from when. */
  std::deque<std::pair<milliseconds, rollout_record>> mPublished;
  std::deque<pending_count> mPending;
  /** The rows that the leader has, by segment of time. */
  std::map<std::size_t, std::map<std::pair<team_id, server_id>, rollout_row>>
    mSegments;
  std::map<std::pair<bool, std::size_t>, std::deque<milliseconds>> mArrivals;
  std::size_t mBad = 0;
  simulated_outcome mOutcome;

  rollout_record Known(milliseconds aNow)
  {
    while (mPublished.size() > 1 && mPublished[1].first <= aNow) {
      mPublished.pop_front();
    }
    return mPublished.front().second;
  }

  simulated_result Send(bool aIsNew,
                        std::size_t aServer,
                        std::size_t aRoute,
                        milliseconds aNow)
  {
    auto& arrivals = mArrivals[{ aIsNew, aServer }];
    while (!arrivals.empty() && arrivals.front() + kLoadWindow < aNow) {
      arrivals.pop_front();
    }
    arrivals.push_back(aNow);
    std::lognormal_distribution<double> time(std::log(kMeanMs), kSpread);
    simulated_result result;
    result.mDuration =
      microseconds(static_cast<std::int64_t>(time(mRandom) * 1000));
    if (aIsNew) {
      // A connection is opened first.
      result.mDuration += microseconds(5000);
    }
    simulated_result ordinary = result;
    simulated_attempt attempt{ aIsNew, aServer, aRoute, aNow, arrivals.size() };
    if (mLoad.mFault) {
      result = mLoad.mFault(attempt, result, mRandom);
    }
    bool isSlow = result.mDuration > ordinary.mDuration * 2;
    if (aIsNew && (result.mIsFailure || isSlow) && ++mBad == 50) {
      mOutcome.mFiftiethBadAt = aNow;
    }
    ++mOutcome.mAllRequests;
    mOutcome.mNewRequests += aIsNew ? 1 : 0;
    pending_count pending;
    pending.mRow.mRoute.mValue = "r" + std::to_string(aRoute);
    pending.mRow.mServer.mValue =
      (aIsNew ? "n" : "o") + std::to_string(aServer);
    pending.mRow.mIsTarget = aIsNew;
    rollout_counts& counts = pending.mRow.mCounts;
    counts.mRequests = 1;
    // A hedge that takes an ordinary time ends the attempt.
    microseconds cancelAt = kHedgeAfter + ordinary.mDuration;
    microseconds took = std::min(result.mDuration, cancelAt);
    if (result.mIsFailure) {
      counts.mFailures = 1;
    } else if (result.mDuration > cancelAt) {
      counts.mCancelled[BucketOf(took)] = 1;
    } else {
      counts.mAnswered[BucketOf(took)] = 1;
    }
    pending.mAt =
      aNow + kReportDelay + std::chrono::duration_cast<milliseconds>(took);
    mPending.push_back(std::move(pending));
    result.mDuration = took;
    return result;
  }

  void Request(std::size_t aRoute, milliseconds aNow)
  {
    rollout_record known = Known(aNow);
    rollout_view view;
    view.mTargets = mLoad.mNewServers;
    view.mOthers = mLoad.mOldServers;
    view.mHasHealthyOther = true;
    view.mDraw = mRandom();
    // The hosts learn of the rollout at different times.
    std::uniform_int_distribution<int> skew(0, 60);
    view.mSinceLearned =
      std::max(milliseconds(0), aNow - milliseconds(skew(mRandom)));
    version_side side = SidesToTry(known, view).front();
    std::uniform_int_distribution<std::size_t> old(0, mLoad.mOldServers - 1);
    std::uniform_int_distribution<std::size_t> any(0, mLoad.mNewServers - 1);
    if (side == version_side::Other) {
      auto result = Send(false, old(mRandom), aRoute, aNow);
      if (result.mIsFailure || result.mDuration > kHedgeAfter) {
        Send(false, old(mRandom), aRoute, aNow);
      }
      return;
    }
    std::size_t server =
      side == version_side::Concentrated
        ? ConcentratedPosition(mLoad.mNewServers, view.mSinceLearned)
        : any(mRandom);
    auto result = Send(true, server, aRoute, aNow);
    bool usesOld = known.mState == rollout_state::Running;
    if (usesOld && (result.mIsFailure || result.mDuration > kHedgeAfter)) {
      Send(false, old(mRandom), aRoute, aNow);
    }
  }

  void Step(milliseconds aNow)
  {
    std::erase_if(mPending, [&](const pending_count& aPending) {
      if (aPending.mAt > aNow) {
        return false;
      }
      std::pair key{ aPending.mRow.mRoute, aPending.mRow.mServer };
      auto& segment = mSegments[static_cast<std::size_t>(aNow / kSegment)];
      auto [row, isNew] = segment.try_emplace(key, aPending.mRow);
      if (!isNew) {
        row->second.mCounts.Add(aPending.mRow.mCounts);
      }
      return true;
    });
    rollout_evidence evidence;
    evidence.mCollectedFor = aNow;
    for (const auto& [number, rows] : mSegments) {
      auto& segment = evidence.mSegments.emplace_back();
      for (const auto& [key, row] : rows) {
        segment.push_back(row);
      }
    }
    rollout_step step = StepRollout(mRecord, evidence, {}, aNow);
    mRecord.mShare = step.mShare;
    if (step.mVerdict != rollout_verdict::Keep ||
        aNow >= mRecord.mElapsed + milliseconds(1000)) {
      if (step.mVerdict != rollout_verdict::Keep ||
          mRecord.mState == rollout_state::Running) {
        mRecord.mElapsed = aNow;
      }
    }
    if (step.mVerdict == rollout_verdict::RollBack) {
      mRecord.mState = rollout_state::RolledBack;
    } else if (step.mVerdict == rollout_verdict::Complete) {
      mRecord.mState = mRecord.mState == rollout_state::Running
                         ? rollout_state::Completing
                         : rollout_state::Completed;
    }
    mPublished.emplace_back(aNow + kPublishDelay, mRecord);
    if (mRecord.HasEnded()) {
      mOutcome.mEndedAt = aNow;
      mOutcome.mReason = step.mReason;
    }
  }

public:
  explicit player(const simulated_load& aLoad)
    : mLoad(aLoad)
    , mRandom(aLoad.mSeed)
  {
    mRecord.mStartIndex = 1;
    mRecord.mDuration = aLoad.mDuration;
    mRecord.mShare = InitialShare({});
    mPublished.emplace_back(milliseconds(0), mRecord);
  }

  simulated_outcome Play()
  {
    for (milliseconds now{ 0 }; now < mLoad.mDuration; now += kTick) {
      for (std::size_t route = 0; route < mLoad.mRates.size(); ++route) {
        std::poisson_distribution<int> arrivals(
          mLoad.mRates[route] * static_cast<double>(kTick.count()) / 1000);
        for (int left = arrivals(mRandom); left > 0; --left) {
          Request(route, now);
        }
      }
      if (now % kStepInterval == milliseconds(0) && !mRecord.HasEnded()) {
        Step(now);
      }
    }
    mOutcome.mState = mRecord.mState;
    return mOutcome;
  }
};

}

simulated_outcome
PlayRollout(const simulated_load& aLoad)
{
  return player(aLoad).Play();
}

}
