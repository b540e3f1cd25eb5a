#include "decisions/servers/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace hibiscusspool {

namespace {

constexpr double kMsPerSecond = 1000;
/** A lower rate, 0 too, is kept as this one, in requests per second: without
 * any request, the end of the limit would not be noticed. */
constexpr double kMinRate = 0.1;
/** Part of a rate that the hosts without a part of it use for trials, and the
 * least that they use, in requests per second. */
constexpr double kTrialPart = 0.05;
constexpr double kMinTrialRate = 0.1;
constexpr milliseconds kMaxTrialInterval{ 600'000 };
/** The allowance doubles in each step after the limit's end. */
constexpr milliseconds kRecoveryStep{ 1000 };
constexpr int kRecoverySteps = 4;

}

rate_quota
TotalQuota(double aPerSecond)
{
  double rate = std::max(aPerSecond, kMinRate);
  double seconds = static_cast<double>(kRateWindow.count()) / kMsPerSecond;
  double requests = std::floor(rate * seconds);
  if (requests >= 1) {
    return { static_cast<std::uint32_t>(requests), kRateWindow };
  }
  return { 1, milliseconds(std::llround(std::ceil(kMsPerSecond / rate))) };
}

std::uint32_t
OwnPart(const rate_part& aPart, std::uint32_t aRequests)
{
  if (aPart.mConnections == 0) {
    return 0;
  }
  return aPart.mOwnConnections * (aRequests / aPart.mConnections) +
         aPart.mOwnRemainder;
}

rate_change
rate_limit::OnResponse(const rate_notice& aNotice,
                       steady_time aSentAt,
                       steady_time aNow,
                       std::uint64_t aDraw)
{
  rate_change change = mAnnounced.OnResponse(aNotice, aSentAt, aNow);
  switch (change) {
    case rate_change::Limited:
    case rate_change::Changed: {
      constexpr double kRange = 18446744073709551616.0;
      mTrialSpread = 0.5 + static_cast<double>(aDraw) / kRange;
      mTotal = TotalQuota(mAnnounced.PerSecond());
      mIsRecovering = false;
      break;
    }
    case rate_change::Ended:
      mEndedAt = aNow;
      mIsRecovering = true;
      break;
    case rate_change::None:
    case rate_change::Malformed:
      break;
  }
  if (mAnnounced.IsLimited()) {
    mTrialAt = mAnnounced.ReceivedAt() + TrialInterval();
  }
  return change;
}

milliseconds
rate_limit::TrialInterval() const
{
  double rate = std::max(kMinTrialRate, mAnnounced.PerSecond() * kTrialPart);
  double seconds = mTrialSpread * std::max(1U, mIdleHolders) / rate;
  double bounded = std::min(seconds * kMsPerSecond,
                            static_cast<double>(kMaxTrialInterval.count()));
  return milliseconds(std::llround(bounded));
}

void
rate_limit::SetAnnouncedPart(const rate_part& aPart,
                             steady_time aDividedSince,
                             milliseconds aHandover,
                             steady_time aNow)
{
  std::uint32_t own = OwnPart(aPart, mTotal.mRequests);
  mIdleHolders = aPart.mHolders - std::min(aPart.mHolders, mTotal.mRequests);
  mTrialAt = mAnnounced.ReceivedAt() + TrialInterval();
  if (aNow - aDividedSince >= aHandover) {
    mShare.SetInitial(own);
    return;
  }
  mShare.SetTarget(own, aDividedSince, aHandover);
}

void
rate_limit::SetPart(const rate_part& aPart,
                    milliseconds aHandover,
                    steady_time aNow)
{
  mIdleHolders = aPart.mHolders - std::min(aPart.mHolders, mTotal.mRequests);
  mShare.SetTarget(OwnPart(aPart, mTotal.mRequests), aNow, aHandover);
}

void
rate_limit::DropPart()
{
  mShare.SetInitial(0);
  mWindow.Clear();
}

bool
rate_limit::IsInForce(steady_time aNow) const
{
  return mAnnounced.IsLimited() ||
         (mIsRecovering && aNow < mEndedAt + kRecoveryStep * kRecoverySteps);
}

rate_quota
rate_limit::Quota(bool aIsConfirmed, steady_time aNow) const
{
  std::uint32_t own = mShare.Usable(aNow);
  if (!aIsConfirmed) {
    own -= own / 2;
  }
  rate_quota quota{ own, mTotal.mWindow };
  if (mAnnounced.IsLimited()) {
    return quota;
  }
  auto steps = std::clamp<std::int64_t>(
    (aNow - mEndedAt) / kRecoveryStep, 0, kRecoverySteps);
  quota.mRequests = std::max(1U, own) << (steps + 1);
  quota.mWindow = kRateWindow;
  return quota;
}

steady_time
rate_limit::RoomAt(const rate_request& aRequest,
                   bool aIsConfirmed,
                   steady_time aNow) const
{
  if (!IsInForce(aNow)) {
    return aNow;
  }
  rate_quota quota = Quota(aIsConfirmed, aNow);
  if (quota.mRequests > 0) {
    return mWindow.RoomAt(aRequest, quota, aNow);
  }
  return aRequest.mIsExtra ? steady_time::max() : std::max(aNow, mTrialAt);
}

void
rate_limit::Add(rate_entry_number aNumber,
                const rate_request& aRequest,
                steady_time aNow)
{
  mWindow.Add(aNumber, aRequest, { 0, mTotal.mWindow }, aNow);
  mTrialAt = aNow + TrialInterval();
}

steady_time
return_schedule::TakeTurn(steady_time aRoomAt,
                          microseconds aInterval,
                          milliseconds aMaxWait,
                          steady_time aNow)
{
  // A turn that is far ahead must not push back those before it.
  if (aRoomAt >= aNow + aMaxWait) {
    return aRoomAt;
  }
  mLastTurn =
    std::min(std::max(aRoomAt, mLastTurn + aInterval), aNow + aMaxWait);
  return mLastTurn;
}

}
