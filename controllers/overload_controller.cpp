#include "controllers/overload_controller.h"

#include "core/log_event.h"

#include <cmath>

namespace hibiscusspool {

namespace {

int
Percent(double aFraction)
{
  constexpr double kPercent = 100;
  return static_cast<int>(std::lround(aFraction * kPercent));
}

void
LogChange(const overload_news& aNews,
          const overload_request& aRequest,
          const overload_verdict& aVerdict)
{
  log_event(aNews.mIsOverloaded ? "overload_began" : "overload_ended",
            log_event::severity::Warning)
    .Add("team", aRequest.mTeam.mValue)
    .Add("first_service", aRequest.mServices.front().mValue)
    .Add("services", aRequest.mServices.size())
    .Add("lateness_percent", Percent(aVerdict.mLateness))
    .Add("cause", aNews.mWasFutile ? "refusals_did_not_help" : "attempts");
}

void
LogRefusal(const overload_request& aRequest,
           const request_id& aId,
           const overload_verdict& aVerdict,
           steady_time aNow)
{
  auto left =
    std::chrono::duration_cast<milliseconds>(aRequest.mDeadline - aNow);
  log_event("request_shed")
    .Add("request", aId.mValue)
    .Add("team", aRequest.mTeam.mValue)
    .Add("cause", NameOf(aVerdict.mCause))
    .Add("priority", aRequest.mRank.mPriority)
    .Add("objective_ms", aRequest.mRank.mObjective.count())
    .Add("left_ms", left.count())
    .Add("services", aRequest.mServices.size())
    .Add("needed", aRequest.mNeeded)
    .Add("work_us", aVerdict.mWork.count())
    .Add("level_percent", Percent(aVerdict.mLevel))
    .Add("rank_percent", Percent(aVerdict.mRankShare))
    .Add("lateness_percent", Percent(aVerdict.mLateness))
    .Add("expected_us", aVerdict.mExpected.count())
    .Add("retry_after_ms", aVerdict.mRetryAfter.count());
}

}

overload_verdict
overload_controller::Submit(const overload_request& aRequest,
                            const request_id& aId,
                            steady_time aNow)
{
  overload_news news;
  overload_verdict verdict;
  {
    std::lock_guard guard(mLock);
    verdict = mControl.Submit(aRequest, aNow, news);
    overload_count& count = mCounts[aRequest.mRank.mPriority];
    if (verdict.mIsAdmitted) {
      ++count.mAdmitted;
    } else {
      ++count.mRefused[static_cast<std::size_t>(verdict.mCause)];
    }
  }
  if (news.mHasChanged) {
    LogChange(news, aRequest, verdict);
  }
  if (!verdict.mIsAdmitted) {
    LogRefusal(aRequest, aId, verdict, aNow);
  }
  return verdict;
}

void
overload_controller::OnAttempt(const service_id& aService,
                               const team_id& aTeam,
                               overload_attempt aAttempt,
                               steady_time aNow)
{
  std::lock_guard guard(mLock);
  mControl.OnAttempt(aService, aTeam, aAttempt, aNow);
}

overload_counts
overload_controller::Counts() const
{
  std::lock_guard guard(mLock);
  return mCounts;
}

}
