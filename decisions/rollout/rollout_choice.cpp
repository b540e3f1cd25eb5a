#include "decisions/rollout/rollout_choice.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** Interval of the windows in which the target version gets requests. */
constexpr milliseconds kWindowInterval{ 1000 };
/** Time at first without windows: a version that fails at once is found before
 * its failures come in bursts, which use up the budget of retries. */
constexpr milliseconds kEvenTime{ 2000 };
/** Share within a window at most, so that the hosts' windows, which differ by
 * the delay of the watch stream, don't have to be short. */
constexpr double kMaxWindowShare = 0.5;

/** A random number from 0 to 1, by the mixing function of SplitMix64. */
double
ToUnit(std::uint64_t aDraw)
{
  std::uint64_t mixed = aDraw + 0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  mixed ^= mixed >> 31U;
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(mixed >> 11U) * kScale;
}

bool
IsDrawn(const rollout_record& aRecord, const rollout_view& aView)
{
  if (aView.mSinceLearned < kEvenTime) {
    return ToUnit(aView.mDraw) < aRecord.mShare;
  }
  double ordinary =
    1.0 / static_cast<double>(std::max<std::size_t>(1, aView.mOthers));
  double windowShare =
    std::max(aRecord.mShare, std::min(kMaxWindowShare, ordinary));
  double phase =
    static_cast<double>((aView.mSinceLearned % kWindowInterval).count()) /
    static_cast<double>(kWindowInterval.count());
  bool isInWindow = phase * windowShare < aRecord.mShare;
  return isInWindow && ToUnit(aView.mDraw) < windowShare;
}

}

std::vector<version_side>
SidesToTry(const rollout_record& aRecord, const rollout_view& aView)
{
  using side = version_side;
  switch (aRecord.mState) {
    case rollout_state::RolledBack:
      return { side::Other };
    case rollout_state::Completing:
    case rollout_state::Completed: {
      if (aView.mTargets == 0) {
        return { side::Other };
      }
      bool mayUseOther = aRecord.mState == rollout_state::Completing;
      return mayUseOther ? std::vector{ side::Target, side::Other }
                         : std::vector{ side::Target };
    }
    case rollout_state::Running:
      break;
  }
  if (aView.mOthers == 0) {
    return { side::Target };
  }
  if (!aView.mIsConfirmed) {
    // The rollout may have ended either way meanwhile.
    return aView.mHasHealthyOther ? std::vector{ side::Other }
                                  : std::vector{ side::Other, side::Target };
  }
  bool usesTarget =
    aView.mTargets > 0 && !aView.mIsExtra && IsDrawn(aRecord, aView);
  if (!usesTarget) {
    return { side::Other };
  }
  return aView.mSinceLearned < kEvenTime
           ? std::vector{ side::Target, side::Other }
           : std::vector{ side::Concentrated, side::Target, side::Other };
}

std::size_t
ConcentratedPosition(std::size_t aTargets, milliseconds aSinceLearned)
{
  auto window = static_cast<std::size_t>(
    std::max(milliseconds(0), aSinceLearned) / kWindowInterval);
  return aTargets == 0 ? 0 : window % aTargets;
}

}
