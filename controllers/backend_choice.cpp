#include "controllers/backend_controller.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** A cancelled attempt that ran longer than this many mean service times
 * counts as a failure of the server. */
constexpr int kUnresponsiveFactor = 3;
/** Random draws that are made before all servers are scanned. */
constexpr int kSampleDraws = 4;
/** Services with more servers than this are sampled; smaller ones are scanned
 * in full. */
constexpr std::size_t kMaxFullScan = 16;

bool
IsOverload(attempt_status aStatus)
{
  return aStatus == attempt_status::Shed ||
         aStatus == attempt_status::TimedOut ||
         aStatus == attempt_status::NotSent || aStatus == attempt_status::Reset;
}

}

bool
backend_controller::IsCold(const backend& aBackend)
{
  return aBackend.mRecord.mState == server_state::Cold ||
         aBackend.mIsTreatedAsCold;
}

bool
backend_controller::CanAnswer(const backend& aBackend,
                              const std::set<failure_domain_id>& aDomainsOut)
{
  const server_record& record = aBackend.mRecord;
  bool isInService =
    record.mState == server_state::Ready || record.mState == server_state::Cold;
  return isInService && !aDomainsOut.contains(record.mFailureDomain);
}

bool
backend_controller::IsCandidate(const backend& aBackend,
                                const choice_request& aRequest,
                                const std::set<failure_domain_id>& aDomainsOut,
                                steady_time aNow) const
{
  const server_record& record = aBackend.mRecord;
  std::uint32_t share = Share(aBackend, aNow);
  bool hasConnection =
    !aBackend.mIdleConnections.empty() || aBackend.mOpenConnections < share;
  // The share is checked before the lists, since this host has no share of most
  // servers.
  if (share == 0 || !hasConnection || !CanAnswer(aBackend, aDomainsOut) ||
      aBackend.mOutstanding >= ConcurrencyLimit(aBackend, aNow) ||
      !MayAsk(aBackend, aNow) || RateRoomAt(aBackend, aRequest, aNow) > aNow) {
    return false;
  }
  bool hasSnapshot = aRequest.mAcceptsAnySnapshot ||
                     std::find(record.mSnapshots.begin(),
                               record.mSnapshots.end(),
                               aRequest.mSnapshot) != record.mSnapshots.end();
  bool isOnSide =
    aRequest.mSide == version_side::Any ||
    (aRequest.mSide == version_side::Target) == aBackend.mIsTarget;
  bool isAllowed = aRequest.mAllowedServers.empty() ||
                   std::find(aRequest.mAllowedServers.begin(),
                             aRequest.mAllowedServers.end(),
                             record.mServer) != aRequest.mAllowedServers.end();
  return hasSnapshot && isOnSide && isAllowed &&
         std::find(aRequest.mExcludedServers.begin(),
                   aRequest.mExcludedServers.end(),
                   record.mServer) == aRequest.mExcludedServers.end();
}

bool
backend_controller::MayAsk(const backend& aBackend, steady_time aNow) const
{
  switch (aBackend.mNotices.Willingness(mConfig.mNoticeLimits, aNow)) {
    case server_willingness::Willing:
    case server_willingness::LastResort:
      return true;
    case server_willingness::Trial:
      return aBackend.mOutstanding == 0;
    case server_willingness::Unwilling:
      break;
  }
  return false;
}

bool
backend_controller::ShouldAvoid(const backend& aBackend, steady_time aNow) const
{
  const server_health& health = aBackend.mHealth;
  return mConfig.mSuspendsFailing &&
         (health.IsSuspended(aNow) ||
          (health.NeedsProbe() && aBackend.mOutstanding > 0));
}

microseconds
backend_controller::PenaltyOf(const backend& aBackend, steady_time aNow) const
{
  double failures = static_cast<double>(mConfig.mFailurePenalty.count()) *
                    aBackend.mHealth.FailureRate(aNow);
  microseconds penalty(static_cast<std::int64_t>(failures));
  if (aBackend.mRecord.mFailureDomain != mConfig.mFailureDomain) {
    penalty += mConfig.mCrossDomainPenalty;
  }
  if (aBackend.mIdleConnections.empty()) {
    penalty += mConfig.mConnectPenalty;
  }
  return penalty;
}

replica_candidate
backend_controller::ToCandidate(const backend& aBackend,
                                std::size_t aIndex,
                                steady_time aNow) const
{
  return { aIndex,
           aBackend.mOutstanding,
           aBackend.mServiceTime.Mean(),
           aBackend.mRecord.mFailureDomain == mConfig.mFailureDomain,
           !aBackend.mIdleConnections.empty(),
           PenaltyOf(aBackend, aNow) };
}

std::optional<std::size_t>
backend_controller::PickFromSample(
  service_pool& aPool,
  const choice_request& aRequest,
  const std::set<failure_domain_id>& aDomainsOut,
  steady_time aNow) const
{
  if (aPool.mBackends.size() <= kMaxFullScan ||
      !aRequest.mAvoidedDomain.IsEmpty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> any(0, aPool.mBackends.size() - 1);
  std::optional<replica_candidate> first;
  for (int draw = 0; draw < kSampleDraws; ++draw) {
    std::size_t index = any(aPool.mRandom);
    const backend& entry = aPool.mBackends[index];
    bool isNew = !first || first->mPosition != index;
    if (!isNew || ShouldAvoid(entry, aNow) || entry.mNotices.IsLeaving() ||
        !IsCandidate(entry, aRequest, aDomainsOut, aNow)) {
      continue;
    }
    replica_candidate drawn = ToCandidate(entry, index, aNow);
    if (first) {
      return IsBetter(drawn, *first) ? index : first->mPosition;
    }
    first = drawn;
  }
  return std::nullopt;
}

std::optional<std::size_t>
backend_controller::PickFromAll(service_pool& aPool,
                                const choice_request& aRequest,
                                const std::set<failure_domain_id>& aDomainsOut,
                                steady_time aNow) const
{
  std::vector<replica_candidate> inAvoidedDomain;
  std::vector<replica_candidate> preferred;
  std::vector<replica_candidate> leaving;
  std::vector<replica_candidate> failing;
  for (std::size_t index = 0; index < aPool.mBackends.size(); ++index) {
    const backend& entry = aPool.mBackends[index];
    if (!IsCandidate(entry, aRequest, aDomainsOut, aNow)) {
      continue;
    }
    if (ShouldAvoid(entry, aNow)) {
      failing.push_back(ToCandidate(entry, index, aNow));
      continue;
    }
    if (entry.mNotices.IsLeaving()) {
      leaving.push_back(ToCandidate(entry, index, aNow));
      continue;
    }
    bool isAvoided = entry.mRecord.mFailureDomain == aRequest.mAvoidedDomain;
    (isAvoided ? inAvoidedDomain : preferred)
      .push_back(ToCandidate(entry, index, aNow));
  }
  if (inAvoidedDomain.empty() && preferred.empty()) {
    return PickReplica(std::move(leaving.empty() ? failing : leaving),
                       aPool.mRandom);
  }
  auto& chosen = preferred.empty() ? inAvoidedDomain : preferred;
  return PickReplica(std::move(chosen), aPool.mRandom);
}

std::optional<attempt_permit>
backend_controller::Choose(const choice_request& aRequest, steady_time aNow)
{
  auto domainsOut = DomainsOut();
  std::optional<attempt_permit> permit;
  mServices.UpdateIfPresent(aRequest.mService, [&](service_pool& aPool) {
    bool isInRollout = aPool.mIsRolloutInEffect;
    auto index = isInRollout
                   ? PickInRollout(aPool, aRequest, *domainsOut, aNow)
                   : PickFromSample(aPool, aRequest, *domainsOut, aNow);
    if (!index && !isInRollout) {
      index = PickFromAll(aPool, aRequest, *domainsOut, aNow);
    }
    if (!index) {
      return;
    }
    backend& chosen = aPool.mBackends[*index];
    permit.emplace();
    permit->mService = aRequest.mService;
    permit->mServer = chosen.mRecord.mServer;
    permit->mIncarnation = chosen.mRecord.mIncarnation;
    permit->mAddress = chosen.mRecord.mAddress;
    permit->mFailureDomain = chosen.mRecord.mFailureDomain;
    permit->mIsCold = IsCold(chosen);
    permit->mStartedAt = aNow;
    permit->mRateRequest = aRequest.mRateRequest;
    if (isInRollout) {
      MarkRolloutAttempt(aPool, chosen, aRequest, *permit);
    }
    if (chosen.mRate.IsInForce(aNow)) {
      permit->mRateEntry = ++aPool.mLastRateEntry;
      chosen.mRate.Add(permit->mRateEntry, aRequest.mRateRequest, aNow);
    }
    ++chosen.mOutstanding;
    if (chosen.mIdleConnections.empty()) {
      ++chosen.mOpenConnections;
      return;
    }
    // The most recently used connection of this worker, else of any worker.
    auto own = std::find_if(chosen.mIdleConnections.rbegin(),
                            chosen.mIdleConnections.rend(),
                            [&](connection_id aNumber) {
                              return aNumber % kMaxWorkers ==
                                     aRequest.mWorker % kMaxWorkers;
                            });
    auto taken = own != chosen.mIdleConnections.rend()
                   ? std::prev(own.base())
                   : std::prev(chosen.mIdleConnections.end());
    permit->mConnection = *taken;
    chosen.mIdleConnections.erase(taken);
  });
  return permit;
}

void
backend_controller::RecordOutcome(backend& aBackend,
                                  service_pool& aPool,
                                  const attempt_report& aReport,
                                  steady_time aNow) const
{
  bool isAnswered = aReport.mStatus == attempt_status::Answered;
  if (isAnswered) {
    aBackend.mServiceTime.Add(aReport.mDuration);
    aBackend.mLimit.OnResponse(aBackend.mOutstanding);
    aPool.mServiceTimeQuantile.Add(aReport.mDuration);
    aBackend.mConsecutiveOverloads = 0;
    aBackend.mHealth.OnResponse(aNow);
    return;
  }
  bool wasCancelled = aReport.mStatus == attempt_status::Cancelled;
  if (wasCancelled || aReport.mStatus == attempt_status::Withdrawn) {
    // The time until cancellation is a lower bound of the service time.
    bool wasUnresponsive =
      aReport.mDuration > aBackend.mServiceTime.Mean() * kUnresponsiveFactor;
    if (wasCancelled && aReport.mDuration > aBackend.mServiceTime.Mean()) {
      aBackend.mServiceTime.Add(aReport.mDuration);
    }
    if (wasUnresponsive) {
      aBackend.mHealth.OnFailure(aNow);
    }
    return;
  }
  bool isWithinRate = aReport.mStatus == attempt_status::Shed &&
                      aReport.mNotice.mRate.mKind == rate_notice_kind::Limited;
  if (isWithinRate) {
    // The server refused because of its rate, so it is neither failing nor
    // cold.
    return;
  }
  if (aReport.mStatus == attempt_status::Shed) {
    aBackend.mHealth.OnRefusal(aNow);
  } else {
    aBackend.mHealth.OnFailure(aNow);
  }
  if (!IsOverload(aReport.mStatus)) {
    return;
  }
  aBackend.mLimit.OnOverload(aNow, aBackend.mServiceTime.Mean());
  ++aBackend.mConsecutiveOverloads;
}

void
backend_controller::Finish(const attempt_permit& aPermit,
                           const attempt_report& aReport,
                           steady_time aNow)
{
  std::vector<connection_id> closed;
  std::vector<std::function<void()>> waiters;
  bool turnedCold = false;
  bool isKnown = false;
  bool isChanged = false;
  server_notices notices;
  auto ring = Ring();
  mServices.UpdateIfPresent(aPermit.mService, [&](service_pool& aPool) {
    auto found = FindBackend(aPool, aPermit.mServer);
    isKnown = found != aPool.mBackends.end() &&
              found->mRecord.mIncarnation == aPermit.mIncarnation;
    if (!isKnown) {
      return;
    }
    --found->mOutstanding;
    RecordOutcome(*found, aPool, aReport, aNow);
    RecordRolloutAttempt(aPool, aPermit, aReport);
    isChanged = RecordNotice(found->mNotices, aPermit, aReport, aNow);
    notices = found->mNotices;
    RecordRate(aPool, *found, aPermit, aReport, *ring, aNow);
    if (aReport.mConnection == 0) {
      --found->mOpenConnections;
    } else {
      found->mIdleConnections.push_back(aReport.mConnection);
    }
    closed = found->mNotices.IsLeaving() ? TakeIdle(*found)
                                         : TakeSurplus(*found, aNow);
    turnedCold = !found->mIsTreatedAsCold && mConfig.mColdAfterRefusals > 0 &&
                 found->mRecord.mState == server_state::Ready &&
                 found->mConsecutiveOverloads >= mConfig.mColdAfterRefusals;
    if (turnedCold) {
      found->mIsTreatedAsCold = true;
      found->mLimit.Restart();
    } else if (found->mIsTreatedAsCold &&
               aReport.mStatus == attempt_status::Answered) {
      // It answered under the cold limit, so the limit ramps up to the share.
      found->mIsTreatedAsCold = false;
      found->mReadySince = aNow;
    }
    waiters = std::exchange(aPool.mWaiters, {});
  });
  if (!isKnown && aReport.mConnection != 0) {
    closed.push_back(aReport.mConnection);
  }
  if (!isKnown) {
    notices = RecallNotices(aPermit.mServer, aPermit.mIncarnation);
    isChanged = RecordNotice(notices, aPermit, aReport, aNow);
    RecordRateOfRemoved(aPermit, aReport, aNow);
  }
  if (isChanged) {
    RememberNotices(aPermit, notices, aReport.mNotice);
  }
  mHooks.mCloseConnections(closed);
  if (turnedCold) {
    mHooks.mOnTurnedCold(aPermit.mServer);
  }
  for (const auto& wake : waiters) {
    wake();
  }
}

}
