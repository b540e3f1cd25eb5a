#include "decisions/quota/quota_account.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** Time until a request on any host is known here and all hosts have been told
 * that the team is metered. Hosts with a small share of a core take some 100 ms
 * for each message while a burst lasts. */
constexpr milliseconds kSpreadTime{ 1000 };
/** Span over which the present rate is measured. */
constexpr milliseconds kRateSpan{ 500 };
/** Time for which a host that was heard counts as one that tells this one of
 * its requests; below the time for which hosts follow a deputy. */
constexpr milliseconds kHeardTime{ 3000 };
/** Time until the hosts that follow a new deputy have been heard. It doesn't
 * judge the team before. */
constexpr milliseconds kGatherTime{ 550 };
/** A metered team is open again below this fraction of the limit. */
constexpr double kOpenFraction = 0.8;
/** Remaining time of the last notice at which it is repeated. */
constexpr milliseconds kNoticeReserve{ 500 };

milliseconds
Until(steady_time aAt, steady_time aNow)
{
  return std::chrono::ceil<milliseconds>(
    std::max(steady_time::duration(0), aAt - aNow));
}

}

steady_time
quota_account::WindowStart(steady_time aNow) const
{
  return aNow - mBounds.mWindow;
}

double
quota_account::CountSince(steady_time aFrom, quota_role aRole) const
{
  double count = 0;
  for (const auto& [host, from] : mSources) {
    if (aRole == quota_role::Deputy && !mHeard.contains(host.first)) {
      continue;
    }
    for (const spending& spent : from.mSpendings) {
      count += spent.mAt > aFrom ? spent.mCount : 0;
    }
    for (const grant& granted : from.mGrants) {
      count += granted.mAt > aFrom ? 1 : 0;
    }
  }
  return count;
}

double
quota_account::Used(steady_time aNow) const
{
  return CountSince(WindowStart(aNow), quota_role::Owner);
}

void
quota_account::Record(const quota_request& aRequest,
                      const quota_item& aItem,
                      steady_time aNow)
{
  Expire(aNow);
  if (aItem.mTerms.mConfiguration >= mTerms.mConfiguration) {
    mTerms = aItem.mTerms;
  }
  if (mHeard.empty()) {
    mDeputySince = aNow;
  }
  mHeard[aRequest.mHost] = aNow;
  source& from = mSources[{ aRequest.mHost, aRequest.mIncarnation }];
  if (aRequest.mSequence <= from.mSequence) {
    return;
  }
  from.mSequence = aRequest.mSequence;
  from.mSpendings.clear();
  for (const quota_spending& spent : aItem.mSpendings) {
    from.mSpendings.push_back({ aNow - spent.mAge, spent.mCount });
  }
  std::erase_if(from.mGrants, [&](const grant& aGrant) {
    return aGrant.mAsk <= aItem.mSettled;
  });
}

double
quota_account::Limit(const quota_limits& aLimits,
                     const quota_standing& aStanding) const
{
  if (aStanding.mRole == quota_role::Deputy) {
    // The hosts that told this one of their requests no longer tell the owner.
    double hosts =
      static_cast<double>(mHeard.size()) /
      static_cast<double>(std::max<std::size_t>(1, aStanding.mKnownHosts));
    return aLimits.mGrant * std::min(1.0, hosts);
  }
  double slack = aLimits.mGrant - aLimits.mQuota;
  return aLimits.mQuota * aStanding.mServingFraction + slack;
}

steady_time
quota_account::RoomAt(double aLimit, steady_time aNow) const
{
  std::vector<spending> counted;
  steady_time start = WindowStart(aNow);
  double left = 0;
  auto add = [&](steady_time aAt, std::uint32_t aCount) {
    if (aAt > start) {
      counted.push_back({ aAt, aCount });
      left += aCount;
    }
  };
  for (const auto& [host, from] : mSources) {
    for (const spending& spent : from.mSpendings) {
      add(spent.mAt, spent.mCount);
    }
    for (const grant& granted : from.mGrants) {
      add(granted.mAt, 1);
    }
  }
  std::sort(counted.begin(),
            counted.end(),
            [](const spending& aOne, const spending& aOther) {
              return aOne.mAt < aOther.mAt;
            });
  for (const spending& spent : counted) {
    left -= spent.mCount;
    if (left + 1 <= aLimit) {
      return spent.mAt + mBounds.mWindow;
    }
  }
  return aNow + mBounds.mWindow;
}

bool
quota_account::TryGrant(const quota_limits& aLimits,
                        const quota_standing& aStanding,
                        double aUsed,
                        steady_time aNow)
{
  if (aStanding.mRole == quota_role::None) {
    return false;
  }
  if (aStanding.mRole == quota_role::Owner) {
    return aUsed + 1 <= Limit(aLimits, aStanding);
  }
  quota_standing deputy = aStanding;
  deputy.mRole = quota_role::Deputy;
  // Where most hosts follow the deputy, their parts of the quota are enough.
  bool isFollowed = mHeard.size() * 2 >= aStanding.mKnownHosts;
  bool isWithinMargin =
    !isFollowed &&
    static_cast<double>(mDeputyGrants.size()) + 1 <= aLimits.mDeputy;
  bool fits = isWithinMargin || aUsed + 1 <= Limit(aLimits, deputy);
  if (fits) {
    mDeputyGrants.push_back(aNow);
  }
  return fits;
}

quota_change
quota_account::UpdateState(double aLimit, double aUsed, steady_time aNow)
{
  double recent = CountSince(aNow - kRateSpan, mRole);
  double expected =
    aUsed + recent * (std::chrono::duration<double>(kSpreadTime) /
                      std::chrono::duration<double>(kRateSpan));
  bool wasMetered = IsMetered(aNow);
  if (expected >= aLimit) {
    mMeteredUntil = aNow + mBounds.mWindow;
  } else if (expected < aLimit * kOpenFraction) {
    mMeteredUntil = std::min(mMeteredUntil, aNow);
    mNotifiedUntil = std::min(mNotifiedUntil, aNow);
  }
  return { !wasMetered && IsMetered(aNow), wasMetered && !IsMetered(aNow) };
}

quota_answer
quota_account::Answer(const quota_request& aRequest,
                      const quota_item& aItem,
                      const quota_standing& aStanding,
                      steady_time aNow,
                      quota_change& aChange)
{
  quota_answer answer;
  answer.mTeam = aItem.mTeam;
  answer.mRole = aStanding.mRole;
  if (aStanding.mRole == quota_role::Deputy && mRole != aStanding.mRole) {
    mDeputySince = aNow;
  }
  mRole = aStanding.mRole;
  quota_limits limits = LimitsOf(mTerms, mBounds);
  double used = CountSince(WindowStart(aNow), mRole);
  double limit = Limit(limits, aStanding);
  if (aItem.mAsk != 0) {
    answer.mIsGranted = TryGrant(limits, aStanding, used, aNow);
    if (answer.mIsGranted) {
      mSources[{ aRequest.mHost, aRequest.mIncarnation }].mGrants.push_back(
        { aItem.mAsk, aNow });
      used += 1;
    } else {
      steady_time roomAt = RoomAt(limit, aNow);
      auto interval = microseconds(static_cast<std::int64_t>(
        std::micro::den / std::max(1.0, mTerms.mRatePerSecond)));
      answer.mRoomIn = Until(roomAt, aNow);
      answer.mRetryIn =
        Until(mReturns.TakeTurn(roomAt, interval, mBounds.mWindow, aNow), aNow);
    }
  }
  bool isDeputy = aStanding.mRole == quota_role::Deputy;
  if (aStanding.mRole != quota_role::None) {
    bool isGathering = isDeputy && aNow < mDeputySince + kGatherTime;
    if (isGathering) {
      return answer;
    }
    aChange = UpdateState(limit, used, aNow);
    answer.mMeteredFor = Until(mMeteredUntil, aNow);
  }
  return answer;
}

std::optional<milliseconds>
quota_account::TakeNotice(steady_time aNow)
{
  bool isDue = IsMetered(aNow) && mNotifiedUntil < aNow + kNoticeReserve &&
               mMeteredUntil > mNotifiedUntil;
  if (!isDue) {
    return std::nullopt;
  }
  mNotifiedUntil = mMeteredUntil;
  return Until(mMeteredUntil, aNow);
}

void
quota_account::Expire(steady_time aNow)
{
  steady_time start = WindowStart(aNow);
  for (auto& [host, from] : mSources) {
    std::erase_if(from.mSpendings, [&](const spending& aSpending) {
      return aSpending.mAt <= start;
    });
    std::erase_if(from.mGrants,
                  [&](const grant& aGrant) { return aGrant.mAt <= start; });
  }
  std::erase_if(mSources, [](const auto& aEntry) {
    return aEntry.second.mSpendings.empty() && aEntry.second.mGrants.empty();
  });
  std::erase_if(mHeard, [&](const auto& aEntry) {
    return aEntry.second <= aNow - kHeardTime;
  });
  std::erase_if(mDeputyGrants,
                [&](steady_time aGrant) { return aGrant <= start; });
}

bool
quota_account::IsIdle(steady_time aNow) const
{
  return Used(aNow) == 0 && !IsMetered(aNow);
}

}
