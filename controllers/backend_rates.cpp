#include "controllers/backend_controller.h"

#include "core/log_event.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace hibiscusspool {

namespace {

/** Minimum interval between lines on the use of one server's limit. */
constexpr milliseconds kUseLogInterval{ 4000 };
/** Minimum interval between lines on new values of one server's limit. */
constexpr milliseconds kChangeLogInterval{ 1000 };
/** Turns of requests that found no room are given out up to this time ahead. */
constexpr milliseconds kMaxReturnWait = 2 * kRateWindow;
constexpr double kMsPerSecond = 1e3;
constexpr double kUsPerSecond = 1e6;

bool
IsResponse(attempt_status aStatus)
{
  return aStatus == attempt_status::Answered ||
         aStatus == attempt_status::Failed || aStatus == attempt_status::Shed ||
         aStatus == attempt_status::WrongSnapshot;
}

}

std::vector<rate_part>
backend_controller::RateParts(const service_id& aService,
                              const service_pool& aPool,
                              const share_ring& aRing)
{
  std::vector<server_capacity> connections;
  std::vector<server_capacity> remainders;
  for (const backend& entry : aPool.mBackends) {
    const server_record& record = entry.mRecord;
    connections.push_back(
      { record.mServer, record.mConnections, record.mFailureDomain });
    std::uint32_t remainder =
      entry.mRate.Total().mRequests % std::max(1U, record.mConnections);
    remainders.push_back({ record.mServer, remainder, record.mFailureDomain });
  }
  auto ownConnections = aRing.Allocate(aService, connections);
  auto ownRemainders = aRing.Allocate(aService, remainders);
  auto hosts = static_cast<std::uint32_t>(aRing.HostCount());
  std::vector<rate_part> parts;
  for (std::size_t index = 0; index < connections.size(); ++index) {
    std::uint32_t all = connections[index].mUnits;
    parts.push_back({ all,
                      ownConnections[index],
                      ownRemainders[index],
                      std::min(hosts, all) });
  }
  return parts;
}

void
backend_controller::DivideRates(const service_id& aService,
                                service_pool& aPool,
                                const share_ring& aRing,
                                steady_time aNow) const
{
  bool hasLimit = std::any_of(
    aPool.mBackends.begin(), aPool.mBackends.end(), [&](const backend& aEntry) {
      return aEntry.mRate.IsInForce(aNow);
    });
  if (!hasLimit) {
    return;
  }
  auto parts = RateParts(aService, aPool, aRing);
  for (std::size_t index = 0; index < parts.size(); ++index) {
    rate_limit& rate = aPool.mBackends[index].mRate;
    if (rate.IsInForce(aNow)) {
      rate.SetPart(parts[index], mConfig.mRateHandover, aNow);
    }
  }
}

void
backend_controller::RecordRate(service_pool& aPool,
                               backend& aBackend,
                               const attempt_permit& aPermit,
                               const attempt_report& aReport,
                               const share_ring& aRing,
                               steady_time aNow)
{
  if (WasNeverSent(aReport.mStatus)) {
    aBackend.mRate.Remove(aPermit.mRateEntry);
  }
  if (!IsResponse(aReport.mStatus)) {
    return;
  }
  const rate_notice& notice = aReport.mNotice.mRate;
  bool isLimit = notice.mKind == rate_notice_kind::Limited;
  std::uint64_t draw = isLimit ? aPool.mRandom() : 0;
  rate_change change =
    aBackend.mRate.OnResponse(notice, aPermit.mStartedAt, aNow, draw);
  bool isNewLimit =
    change == rate_change::Limited || change == rate_change::Changed;
  if (isNewLimit) {
    auto parts = RateParts(aPermit.mService, aPool, aRing);
    auto index = static_cast<std::size_t>(&aBackend - aPool.mBackends.data());
    aBackend.mRate.SetAnnouncedPart(
      parts[index], aPool.mDividedSince, mConfig.mRateHandover, aNow);
    mHasRates = true;
  }
  if (LogRate(aBackend, change, aNow) || isNewLimit) {
    mRates.Set(aPermit.mServer, { aPermit.mIncarnation, aBackend.mRate, aNow });
  }
}

void
backend_controller::RecordRateOfRemoved(const attempt_permit& aPermit,
                                        const attempt_report& aReport,
                                        steady_time aNow)
{
  if (!IsResponse(aReport.mStatus)) {
    return;
  }
  rate_limit rate = RecallRate(aPermit.mServer, aPermit.mIncarnation);
  rate_change change =
    rate.OnResponse(aReport.mNotice.mRate, aPermit.mStartedAt, aNow, 0);
  if (change != rate_change::None) {
    mRates.Set(aPermit.mServer, { aPermit.mIncarnation, rate, aNow });
    mHasRates = true;
  }
}

steady_time
backend_controller::RateRoomAt(const backend& aBackend,
                               const choice_request& aRequest,
                               steady_time aNow)
{
  return aBackend.mRate.RoomAt(
    aRequest.mRateRequest, aRequest.mIsConfirmed, aNow);
}

bool
backend_controller::ConfirmSend(const attempt_permit& aPermit,
                                bool aIsConfirmed,
                                steady_time aNow)
{
  if (!IsWilling(aPermit, aNow)) {
    return false;
  }
  if (!mHasRates) {
    return true;
  }
  bool maySend = true;
  mServices.UpdateIfPresent(aPermit.mService, [&](service_pool& aPool) {
    auto found = FindBackend(aPool, aPermit.mServer);
    bool isLimited = found != aPool.mBackends.end() &&
                     found->mRecord.mIncarnation == aPermit.mIncarnation &&
                     found->mRate.IsInForce(aNow);
    if (!isLimited) {
      return;
    }
    rate_limit& rate = found->mRate;
    // A request that was counted when its server was chosen gives way to none
    // that came later.
    bool wasCounted = rate.Remove(aPermit.mRateEntry);
    rate_request request = wasCounted ? rate_request{} : aPermit.mRateRequest;
    maySend = rate.RoomAt(request, aIsConfirmed, aNow) <= aNow;
    if (maySend) {
      rate.Add(wasCounted ? aPermit.mRateEntry : ++aPool.mLastRateEntry,
               aPermit.mRateRequest,
               aNow);
    }
  });
  return maySend;
}

bool
backend_controller::HasRateLimit(const service_id& aService, steady_time aNow)
{
  bool hasLimit = false;
  if (!mHasRates) {
    return hasLimit;
  }
  mServices.UpdateIfPresent(aService, [&](service_pool& aPool) {
    hasLimit = std::any_of(
      aPool.mBackends.begin(),
      aPool.mBackends.end(),
      [&](const backend& aEntry) { return aEntry.mRate.IsInForce(aNow); });
  });
  return hasLimit;
}

steady_time
backend_controller::TakeTurn(const choice_request& aRequest,
                             steady_time aRoomAt,
                             steady_time aNow)
{
  auto domainsOut = DomainsOut();
  steady_time turn = aRoomAt;
  mServices.UpdateIfPresent(aRequest.mService, [&](service_pool& aPool) {
    double perSecond = 0;
    for (const backend& entry : aPool.mBackends) {
      if (CanAnswer(entry, *domainsOut) && entry.mRate.IsInForce(aNow)) {
        rate_quota quota = entry.mRate.Quota(aRequest.mIsConfirmed, aNow);
        perSecond += quota.mRequests * kMsPerSecond /
                     static_cast<double>(quota.mWindow.count());
      }
    }
    microseconds interval =
      perSecond > 0 ? microseconds(std::llround(kUsPerSecond / perSecond))
                    : std::chrono::duration_cast<microseconds>(kMaxReturnWait);
    turn = aPool.mReturns.TakeTurn(aRoomAt, interval, kMaxReturnWait, aNow);
  });
  return turn;
}

bool
backend_controller::LogRate(backend& aBackend,
                            rate_change aChange,
                            steady_time aNow) const
{
  steady_time::duration silence = aNow - aBackend.mRateLoggedAt;
  bool isDue =
    aChange == rate_change::None
      ? aBackend.mRate.IsInForce(aNow) && silence >= kUseLogInterval
      : aChange != rate_change::Changed || silence >= kChangeLogInterval;
  if (!isDue) {
    return false;
  }
  aBackend.mRateLoggedAt = aNow;
  const rate_limit& rate = aBackend.mRate;
  log_event("server_rate")
    .Add("server", aBackend.mRecord.mServer.mValue)
    .Add("incarnation", aBackend.mRecord.mIncarnation)
    .Add("service", aBackend.mRecord.mService.mValue)
    .Add("change", NameOf(aChange))
    .Add("per_second", std::to_string(rate.Announced().PerSecond()))
    .Add("own_quota", rate.Quota(true, aNow).mRequests)
    .Add("all_quota", rate.Total().mRequests)
    .Add("window_ms", rate.Total().mWindow.count())
    .Add("sent", rate.Window().Count())
    .Add("sent_extra", rate.Window().ExtraCount())
    .Add("source", "response");
  return true;
}

rate_limit
backend_controller::RecallRate(const server_id& aServer,
                               incarnation_number aIncarnation) const
{
  auto known = mHasRates ? mRates.Get(aServer) : std::nullopt;
  bool isSame = known && known->mIncarnation == aIncarnation;
  if (!isSame) {
    return {};
  }
  known->mRate.DropPart();
  return known->mRate;
}

}
