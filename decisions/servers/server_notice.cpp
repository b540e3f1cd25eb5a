#include "decisions/servers/server_notice.h"

#include <algorithm>

namespace hibiscusspool {

bool
server_notices::OnNotice(const server_notice& aNotice,
                         const notice_limits& aLimits,
                         steady_time aNow)
{
  bool startsToLeave = aNotice.mIsLeaving && !mLeavingSince;
  if (startsToLeave) {
    mLeavingSince = aNow;
  }
  bool pauses = aNotice.mPause && *aNotice.mPause > milliseconds(0);
  if (!pauses) {
    return startsToLeave;
  }
  steady_time until = aNow + std::min(*aNotice.mPause, aLimits.mMaxPause);
  bool isLonger = until > mPausedUntil;
  mPausedUntil = std::max(mPausedUntil, until);
  mNeedsTrial = true;
  return startsToLeave || isLonger;
}

void
server_notices::OnResponse(steady_time aSentAt)
{
  // A response to an earlier request says nothing of the time after the pause.
  if (aSentAt >= mPausedUntil) {
    mNeedsTrial = false;
  }
}

server_willingness
server_notices::Willingness(const notice_limits& aLimits,
                            steady_time aNow) const
{
  if (aNow < mPausedUntil ||
      (mLeavingSince && aNow >= *mLeavingSince + aLimits.mLeavingGrace)) {
    return server_willingness::Unwilling;
  }
  if (mLeavingSince) {
    return server_willingness::LastResort;
  }
  return mNeedsTrial ? server_willingness::Trial : server_willingness::Willing;
}

steady_time
server_notices::WillingAt(const notice_limits& aLimits, steady_time aNow) const
{
  steady_time next = std::max(aNow, mPausedUntil);
  bool isGone = mLeavingSince && next >= *mLeavingSince + aLimits.mLeavingGrace;
  return isGone ? steady_time::max() : next;
}

bool
server_notices::IsOutdated(milliseconds aAfter, steady_time aNow) const
{
  steady_time last = mLeavingSince.value_or(steady_time{});
  return aNow > std::max(last, mPausedUntil) + aAfter;
}

milliseconds
RetryAfterPause(milliseconds aLeft, std::uint64_t aDraw)
{
  constexpr std::int64_t kSpreadDivisor = 4;
  std::int64_t spread =
    std::max<std::int64_t>(1, aLeft.count()) / kSpreadDivisor;
  return aLeft + milliseconds(static_cast<std::int64_t>(
                   aDraw % (static_cast<std::uint64_t>(spread) + 1)));
}

}
