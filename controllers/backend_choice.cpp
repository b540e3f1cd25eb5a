#include "controllers/backend_controller.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** Losing this many times its usual time counts against a server. */
constexpr int kSilentFactor = 3;
/** Random servers that are looked at before all are. */
constexpr int kSampleDraws = 4;
/** Services of more servers than these are sampled; all servers of smaller
 * ones are looked at. */
constexpr std::size_t kMostLookedAt = 16;

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
  return aBackend.mRecord.mState == server_state::Cold || aBackend.mLooksCold;
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
    !aBackend.mIdle.empty() || aBackend.mOpenConnections < share;
  // The cheap tests come first: most servers are none of this host's.
  if (share == 0 || !hasConnection || !CanAnswer(aBackend, aDomainsOut) ||
      aBackend.mOutstanding >= Allowed(aBackend, aNow)) {
    return false;
  }
  bool holds = aRequest.mAcceptsAnySnapshot ||
               std::find(record.mSnapshots.begin(),
                         record.mSnapshots.end(),
                         aRequest.mSnapshot) != record.mSnapshots.end();
  bool isMeant = aRequest.mAllowedServers.empty() ||
                 std::find(aRequest.mAllowedServers.begin(),
                           aRequest.mAllowedServers.end(),
                           record.mServer) != aRequest.mAllowedServers.end();
  return holds && isMeant &&
         std::find(aRequest.mExcludedServers.begin(),
                   aRequest.mExcludedServers.end(),
                   record.mServer) == aRequest.mExcludedServers.end();
}

bool
backend_controller::IsKeptFrom(const backend& aBackend, steady_time aNow) const
{
  const server_health& health = aBackend.mHealth;
  return mConfig.mSuspendsFailing &&
         (health.IsSuspended(aNow) ||
          (health.NeedsProbe() && aBackend.mOutstanding > 0));
}

microseconds
backend_controller::HandicapOf(const backend& aBackend, steady_time aNow) const
{
  double failures = static_cast<double>(mConfig.mFailurePenalty.count()) *
                    aBackend.mHealth.FailureRate(aNow);
  microseconds handicap(static_cast<std::int64_t>(failures));
  if (aBackend.mRecord.mFailureDomain != mConfig.mFailureDomain) {
    handicap += mConfig.mCrossDomainPenalty;
  }
  if (aBackend.mIdle.empty()) {
    handicap += mConfig.mConnectPenalty;
  }
  return handicap;
}

replica_candidate
backend_controller::ToCandidate(const backend& aBackend,
                                std::size_t aPlace,
                                steady_time aNow) const
{
  return { aPlace,
           aBackend.mOutstanding,
           aBackend.mServiceTime.Mean(),
           aBackend.mRecord.mFailureDomain == mConfig.mFailureDomain,
           !aBackend.mIdle.empty(),
           HandicapOf(aBackend, aNow) };
}

std::optional<std::size_t>
backend_controller::PickFromSample(
  service_pool& aPool,
  const choice_request& aRequest,
  const std::set<failure_domain_id>& aDomainsOut,
  steady_time aNow) const
{
  if (aPool.mBackends.size() <= kMostLookedAt ||
      !aRequest.mAvoidedDomain.IsEmpty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> any(0, aPool.mBackends.size() - 1);
  std::optional<replica_candidate> first;
  for (int draw = 0; draw < kSampleDraws; ++draw) {
    std::size_t place = any(aPool.mRandom);
    const backend& entry = aPool.mBackends[place];
    bool isNew = !first || first->mPosition != place;
    if (!isNew || IsKeptFrom(entry, aNow) ||
        !IsCandidate(entry, aRequest, aDomainsOut, aNow)) {
      continue;
    }
    replica_candidate drawn = ToCandidate(entry, place, aNow);
    if (first) {
      return IsBetter(drawn, *first) ? place : first->mPosition;
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
  std::vector<replica_candidate> candidates;
  std::vector<replica_candidate> elsewhere;
  std::vector<replica_candidate> failing;
  for (std::size_t place = 0; place < aPool.mBackends.size(); ++place) {
    const backend& entry = aPool.mBackends[place];
    if (!IsCandidate(entry, aRequest, aDomainsOut, aNow)) {
      continue;
    }
    if (IsKeptFrom(entry, aNow)) {
      failing.push_back(ToCandidate(entry, place, aNow));
      continue;
    }
    bool isAvoided = entry.mRecord.mFailureDomain == aRequest.mAvoidedDomain;
    (isAvoided ? candidates : elsewhere)
      .push_back(ToCandidate(entry, place, aNow));
  }
  if (candidates.empty() && elsewhere.empty()) {
    return PickReplica(std::move(failing), aPool.mRandom);
  }
  auto& chosen = elsewhere.empty() ? candidates : elsewhere;
  return PickReplica(std::move(chosen), aPool.mRandom);
}

std::optional<attempt_permit>
backend_controller::Choose(const choice_request& aRequest, steady_time aNow)
{
  auto domainsOut = DomainsOut();
  std::optional<attempt_permit> permit;
  mServices.UpdateIfPresent(aRequest.mService, [&](service_pool& aPool) {
    auto place = PickFromSample(aPool, aRequest, *domainsOut, aNow);
    if (!place) {
      place = PickFromAll(aPool, aRequest, *domainsOut, aNow);
    }
    if (!place) {
      return;
    }
    backend& chosen = aPool.mBackends[*place];
    permit.emplace();
    permit->mService = aRequest.mService;
    permit->mServer = chosen.mRecord.mServer;
    permit->mIncarnation = chosen.mRecord.mIncarnation;
    permit->mAddress = chosen.mRecord.mAddress;
    permit->mFailureDomain = chosen.mRecord.mFailureDomain;
    permit->mIsCold = IsCold(chosen);
    permit->mStartedAt = aNow;
    ++chosen.mOutstanding;
    if (chosen.mIdle.empty()) {
      ++chosen.mOpenConnections;
      return;
    }
    // The latest of this worker's own connections, else the latest of all.
    auto own = std::find_if(
      chosen.mIdle.rbegin(), chosen.mIdle.rend(), [&](connection_id aNumber) {
        return aNumber % kMaxWorkers == aRequest.mWorker % kMaxWorkers;
      });
    auto taken = own != chosen.mIdle.rend() ? std::prev(own.base())
                                            : std::prev(chosen.mIdle.end());
    permit->mConnection = *taken;
    chosen.mIdle.erase(taken);
  });
  return permit;
}

void
backend_controller::Learn(backend& aBackend,
                          service_pool& aPool,
                          const attempt_report& aReport,
                          steady_time aNow) const
{
  bool isAnswer = aReport.mStatus == attempt_status::Answered;
  if (isAnswer) {
    aBackend.mServiceTime.Add(aReport.mDuration);
    aBackend.mLimit.OnAnswer(aBackend.mOutstanding);
    aPool.mTail.Add(aReport.mDuration);
    aBackend.mRefusedInRow = 0;
    aBackend.mHealth.OnAnswer(aNow);
    return;
  }
  if (aReport.mStatus == attempt_status::Cancelled) {
    // A loser that ran long says that the server is at least that slow.
    bool wasSilent =
      aReport.mDuration > aBackend.mServiceTime.Mean() * kSilentFactor;
    if (aReport.mDuration > aBackend.mServiceTime.Mean()) {
      aBackend.mServiceTime.Add(aReport.mDuration);
    }
    if (wasSilent) {
      aBackend.mHealth.OnFailure(aNow);
    }
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
  ++aBackend.mRefusedInRow;
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
  mServices.UpdateIfPresent(aPermit.mService, [&](service_pool& aPool) {
    auto found = FindBackend(aPool, aPermit.mServer);
    isKnown = found != aPool.mBackends.end() &&
              found->mRecord.mIncarnation == aPermit.mIncarnation;
    if (!isKnown) {
      return;
    }
    --found->mOutstanding;
    Learn(*found, aPool, aReport, aNow);
    if (aReport.mConnection == 0) {
      --found->mOpenConnections;
    } else {
      found->mIdle.push_back(aReport.mConnection);
    }
    closed = TakeSurplus(*found, aNow);
    turnedCold = !found->mLooksCold && mConfig.mColdAfterRefusals > 0 &&
                 found->mRecord.mState == server_state::Ready &&
                 found->mRefusedInRow >= mConfig.mColdAfterRefusals;
    if (turnedCold) {
      found->mLooksCold = true;
      found->mLimit.Restart();
    } else if (found->mLooksCold &&
               aReport.mStatus == attempt_status::Answered) {
      // It bears the cold load; the ramp leads back to the whole share.
      found->mLooksCold = false;
      found->mReadySince = aNow;
    }
    waiters = std::exchange(aPool.mWaiters, {});
  });
  if (!isKnown && aReport.mConnection != 0) {
    closed.push_back(aReport.mConnection);
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
