#include "controllers/backend_controller.h"

#include "core/log_event.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** How long a notice is kept after a server began to leave or its pause ended.
 * By then, one that was leaving has ended. */
constexpr std::chrono::hours kNoticeRetention{ 1 };

void
LogNotice(const attempt_permit& aPermit, const server_notice& aNotice)
{
  milliseconds pause = aNotice.mPause.value_or(milliseconds(0));
  log_event(aNotice.mIsLeaving ? "server_leaving" : "server_paused")
    .Add("server", aPermit.mServer.mValue)
    .Add("incarnation", aPermit.mIncarnation)
    .Add("service", aPermit.mService.mValue)
    .Add("pause_ms", pause.count())
    .Add("source", "response");
}

}

bool
backend_controller::RecordNotice(server_notices& aNotices,
                                 const attempt_permit& aPermit,
                                 const attempt_report& aReport,
                                 steady_time aNow) const
{
  bool isResponse = aReport.mStatus == attempt_status::Answered ||
                    aReport.mStatus == attempt_status::Failed ||
                    aReport.mStatus == attempt_status::Shed;
  if (isResponse && !aReport.mNotice.mPause) {
    aNotices.OnResponse(aPermit.mStartedAt);
  }
  return aNotices.OnNotice(aReport.mNotice, mConfig.mNoticeLimits, aNow);
}

void
backend_controller::RememberNotices(const attempt_permit& aPermit,
                                    const server_notices& aNotices,
                                    const server_notice& aNews)
{
  mNotices.Set(aPermit.mServer, aNotices);
  mHasNotices = true;
  LogNotice(aPermit, aNews);
}

server_notices
backend_controller::RecallNotices(const server_id& aServer,
                                  incarnation_number aIncarnation) const
{
  auto known = mHasNotices ? mNotices.Get(aServer) : std::nullopt;
  bool isSame = known && known->Incarnation() == aIncarnation;
  return isSame ? *known : server_notices(aIncarnation);
}

bool
backend_controller::IsWilling(const attempt_permit& aPermit,
                              steady_time aNow) const
{
  if (!mHasNotices) {
    return true;
  }
  return RecallNotices(aPermit.mServer, aPermit.mIncarnation)
           .Willingness(mConfig.mNoticeLimits, aNow) !=
         server_willingness::Unwilling;
}

std::optional<steady_time>
backend_controller::WillingAt(const choice_request& aRequest, steady_time aNow)
{
  auto domainsOut = DomainsOut();
  std::optional<steady_time> earliest;
  mServices.UpdateIfPresent(aRequest.mService, [&](service_pool& aPool) {
    for (const backend& entry : aPool.mBackends) {
      const auto& allowed = aRequest.mAllowedServers;
      bool isAllowed =
        allowed.empty() ||
        std::find(allowed.begin(), allowed.end(), entry.mRecord.mServer) !=
          allowed.end();
      if (!isAllowed || !CanAnswer(entry, *domainsOut)) {
        continue;
      }
      steady_time willingAt =
        std::max(entry.mNotices.WillingAt(mConfig.mNoticeLimits, aNow),
                 RateRoomAt(entry, aRequest, aNow));
      earliest = earliest ? std::min(*earliest, willingAt) : willingAt;
    }
  });
  bool isWaiting = earliest && *earliest > aNow;
  return isWaiting ? earliest : std::nullopt;
}

void
backend_controller::ForgetOldNotices(steady_time aNow)
{
  if (mHasNotices) {
    mNotices.EraseIf(
      [&](const server_id& /*aServer*/, const server_notices& aNotices) {
        return aNotices.IsOutdated(kNoticeRetention, aNow);
      });
  }
  if (mHasRates) {
    mRates.EraseIf(
      [&](const server_id& /*aServer*/, const remembered_rate& aRate) {
        return aNow > aRate.mRecordedAt + kNoticeRetention;
      });
  }
}

}
