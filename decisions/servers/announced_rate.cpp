#include "decisions/servers/announced_rate.h"

#include <utility>

namespace hibiscusspool {

rate_change
announced_rate::OnResponse(const rate_notice& aNotice,
                           steady_time aSentAt,
                           steady_time aNow)
{
  if (aNotice.mKind == rate_notice_kind::Unknown) {
    return rate_change::None;
  }
  if (aNotice.mKind == rate_notice_kind::Malformed) {
    bool isRepeated = std::exchange(mIsMalformed, true);
    return isRepeated ? rate_change::None : rate_change::Malformed;
  }
  bool saysLimited = aNotice.mKind == rate_notice_kind::Limited;
  if (!mWasLimited && !saysLimited) {
    return rate_change::None;
  }
  bool isNewer = !mWasLimited || aSentAt >= mReceivedAt;
  bool isStricter =
    saysLimited && (!mIsLimited || aNotice.mPerSecond < mPerSecond);
  bool isOlder = mWasLimited && aSentAt < mSentAt;
  if (isOlder || (!isNewer && !isStricter)) {
    return rate_change::None;
  }
  bool wasLimited = std::exchange(mIsLimited, saysLimited);
  double previous = std::exchange(mPerSecond, aNotice.mPerSecond);
  mWasLimited = true;
  mIsMalformed = false;
  mSentAt = aSentAt;
  mReceivedAt = aNow;
  if (!saysLimited) {
    return wasLimited ? rate_change::Ended : rate_change::None;
  }
  if (!wasLimited) {
    return rate_change::Limited;
  }
  return previous == mPerSecond ? rate_change::None : rate_change::Changed;
}

}
