#include "controllers/backend_controller.h"

#include <algorithm>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

/** Losing this many times its usual time counts against a server. */
constexpr int kSilentFactor = 3;
/** Random servers that are looked at before all are. */
constexpr int kSampleDraws = 4;

template<typename pool>
auto
FindBackend(pool& aPool, const server_id& aServer)
{
  return std::find_if(
    aPool.mBackends.begin(), aPool.mBackends.end(), [&](const auto& aBackend) {
      return aBackend.mRecord.mServer == aServer;
    });
}

bool
IsOverload(attempt_status aStatus)
{
  return aStatus == attempt_status::Shed ||
         aStatus == attempt_status::TimedOut ||
         aStatus == attempt_status::NotSent || aStatus == attempt_status::Reset;
}

}

std::vector<host_id>
backend_controller::Hosts() const
{
  std::lock_guard guard(mViewLock);
  return mHosts;
}

std::shared_ptr<const std::set<failure_domain_id>>
backend_controller::DomainsOut() const
{
  std::lock_guard guard(mViewLock);
  return mDomainsOut;
}

std::uint32_t
backend_controller::Share(const backend& aBackend, steady_time aNow) const
{
  return aBackend.mShare.Usable(aNow);
}

std::uint32_t
backend_controller::Allowed(const backend& aBackend, steady_time aNow) const
{
  std::uint32_t share = Share(aBackend, aNow);
  std::uint32_t cold = aBackend.mColdShare.Usable(aNow);
  if (IsCold(aBackend)) {
    return std::min(share, cold);
  }
  std::uint32_t allowed = std::min(share, aBackend.mLimit.Allowed());
  auto warm =
    std::chrono::duration_cast<milliseconds>(aNow - aBackend.mReadySince);
  if (warm >= mConfig.mRamp) {
    return allowed;
  }
  // The ramp leads from one attempt to the whole share.
  auto steps = static_cast<std::uint32_t>(
    (share * warm.count()) / std::max<std::int64_t>(1, mConfig.mRamp.count()));
  return std::min(allowed, std::max(1U, steps));
}

void
backend_controller::DealPool(service_pool& aPool,
                             const std::vector<host_id>& aHosts,
                             const server_id& aFresh,
                             steady_time aNow) const
{
  std::vector<server_units> connections;
  std::vector<server_units> coldSlots;
  for (const backend& entry : aPool.mBackends) {
    const server_record& record = entry.mRecord;
    connections.push_back({ record.mServer, record.mConnections });
    coldSlots.push_back({ record.mServer, record.mColdSlots });
  }
  auto shares = DealShares(connections, aHosts, mConfig.mSelf);
  auto coldShares = DealShares(coldSlots, aHosts, mConfig.mSelf);
  for (std::size_t place = 0; place < aPool.mBackends.size(); ++place) {
    backend& entry = aPool.mBackends[place];
    if (entry.mRecord.mServer == aFresh) {
      entry.mShare.SetFresh(shares[place]);
      entry.mColdShare.SetFresh(coldShares[place]);
      continue;
    }
    entry.mShare.SetTarget(shares[place], aNow, mConfig.mHandOver);
    entry.mColdShare.SetTarget(coldShares[place], aNow, mConfig.mHandOver);
  }
}

std::vector<connection_id>
backend_controller::TakeSurplus(service_pool& aPool, steady_time aNow) const
{
  std::vector<connection_id> surplus;
  for (backend& entry : aPool.mBackends) {
    std::vector<connection_id> taken = TakeSurplus(entry, aNow);
    surplus.insert(surplus.end(), taken.begin(), taken.end());
  }
  return surplus;
}

std::vector<connection_id>
backend_controller::TakeSurplus(backend& aBackend, steady_time aNow) const
{
  std::vector<connection_id> surplus;
  while (!aBackend.mIdle.empty() && aBackend.mOpen > Share(aBackend, aNow)) {
    // The connections that were unused for longest stand in front.
    surplus.push_back(aBackend.mIdle.front());
    aBackend.mIdle.erase(aBackend.mIdle.begin());
    --aBackend.mOpen;
  }
  return surplus;
}

void
backend_controller::SetHosts(std::vector<host_id> aHosts, steady_time aNow)
{
  {
    std::lock_guard guard(mViewLock);
    if (mHosts == aHosts) {
      return;
    }
    mHosts = aHosts;
  }
  std::vector<connection_id> surplus;
  mServices.ForEach([&](const service_id& /*aName*/, service_pool& aPool) {
    DealPool(aPool, aHosts, {}, aNow);
    std::vector<connection_id> taken = TakeSurplus(aPool, aNow);
    surplus.insert(surplus.end(), taken.begin(), taken.end());
  });
  mHooks.mClose(surplus);
}

void
backend_controller::SetDomainsOut(std::set<failure_domain_id> aDomains)
{
  auto domains =
    std::make_shared<const std::set<failure_domain_id>>(std::move(aDomains));
  std::lock_guard guard(mViewLock);
  mDomainsOut = std::move(domains);
}

void
backend_controller::DropFromService(const service_id& aService,
                                    const server_id& aServer,
                                    steady_time aNow)
{
  std::vector<host_id> hosts = Hosts();
  std::vector<connection_id> idle;
  mServices.UpdateIfPresent(aService, [&](service_pool& aPool) {
    auto found = FindBackend(aPool, aServer);
    if (found != aPool.mBackends.end()) {
      idle = std::move(found->mIdle);
      aPool.mBackends.erase(found);
      DealPool(aPool, hosts, {}, aNow);
      std::vector<connection_id> surplus = TakeSurplus(aPool, aNow);
      idle.insert(idle.end(), surplus.begin(), surplus.end());
    }
  });
  mHooks.mClose(idle);
}

void
backend_controller::Put(const server_record& aRecord,
                        bool aIsFresh,
                        steady_time aNow)
{
  auto known = mServiceOf.Get(aRecord.mServer);
  if (known && *known != aRecord.mService) {
    DropFromService(*known, aRecord.mServer, aNow);
  }
  mServiceOf.Set(aRecord.mServer, aRecord.mService);
  std::vector<host_id> hosts = Hosts();
  std::vector<connection_id> closed;
  std::vector<std::function<void()>> waiters;
  mServices.Update(aRecord.mService, [&](service_pool& aPool) {
    if (aPool.mBackends.empty()) {
      const std::string& name = aRecord.mService.mValue;
      aPool.mTail = quantile_tracker(mConfig.mSlowQuantile);
      aPool.mRandom.seed(mConfig.mSeed ^ XXH3_64bits(name.data(), name.size()));
    }
    auto found = FindBackend(aPool, aRecord.mServer);
    bool isNewRun = found == aPool.mBackends.end() ||
                    found->mRecord.mIncarnation != aRecord.mIncarnation;
    if (isNewRun && found != aPool.mBackends.end()) {
      closed = std::move(found->mIdle);
      aPool.mBackends.erase(found);
      found = aPool.mBackends.end();
    }
    if (found == aPool.mBackends.end()) {
      found =
        std::upper_bound(aPool.mBackends.begin(),
                         aPool.mBackends.end(),
                         aRecord.mServer,
                         [](const server_id& aServer, const backend& aBackend) {
                           return aServer < aBackend.mRecord.mServer;
                         });
      found = aPool.mBackends.insert(found, backend{});
      // A server that was ready before this host came needs no ramp here.
      found->mReadySince = aNow - mConfig.mRamp;
    }
    bool turnsReady = found->mRecord.mState == server_state::Cold &&
                      aRecord.mState == server_state::Ready && !isNewRun;
    bool unitsChange = found->mRecord.mConnections != aRecord.mConnections ||
                       found->mRecord.mColdSlots != aRecord.mColdSlots;
    if (turnsReady) {
      found->mReadySince = aNow;
      found->mLooksCold = false;
      found->mRefusedInRow = 0;
      found->mLimit.Restart();
    }
    bool looksCold = !isNewRun && aRecord.mColdMark != 0 &&
                     found->mRecord.mColdMark != aRecord.mColdMark;
    if (looksCold) {
      found->mLooksCold = true;
      found->mLimit.Restart();
    }
    found->mRecord = aRecord;
    if (isNewRun || unitsChange) {
      bool isFresh = isNewRun && aIsFresh;
      DealPool(aPool, hosts, isFresh ? aRecord.mServer : server_id{}, aNow);
    }
    if (!CanAnswer(*found, {})) {
      // A server that leaves is not kept from it by unused connections.
      found->mOpen -= static_cast<std::uint32_t>(found->mIdle.size());
      std::vector<connection_id> unused = std::exchange(found->mIdle, {});
      closed.insert(closed.end(), unused.begin(), unused.end());
    }
    std::vector<connection_id> surplus = TakeSurplus(aPool, aNow);
    closed.insert(closed.end(), surplus.begin(), surplus.end());
    waiters = std::exchange(aPool.mWaiters, {});
  });
  mHooks.mClose(closed);
  for (const auto& wake : waiters) {
    wake();
  }
}

void
backend_controller::Remove(const server_id& aServer, steady_time aNow)
{
  auto service = mServiceOf.Take(aServer);
  if (service) {
    DropFromService(*service, aServer, aNow);
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
  bool hasConnection = !aBackend.mIdle.empty() || aBackend.mOpen < share;
  // The cheap tests come first: most servers are none of this host's.
  if (share == 0 || !hasConnection || !CanAnswer(aBackend, aDomainsOut) ||
      aBackend.mOutstanding >= Allowed(aBackend, aNow)) {
    return false;
  }
  bool holds = aRequest.mAnySnapshot ||
               std::find(record.mSnapshots.begin(),
                         record.mSnapshots.end(),
                         aRequest.mSnapshot) != record.mSnapshots.end();
  bool isMeant =
    aRequest.mOnly.empty() ||
    std::find(aRequest.mOnly.begin(), aRequest.mOnly.end(), record.mServer) !=
      aRequest.mOnly.end();
  return holds && isMeant &&
         std::find(aRequest.mExcluded.begin(),
                   aRequest.mExcluded.end(),
                   record.mServer) == aRequest.mExcluded.end();
}

bool
backend_controller::IsKeptFrom(const backend& aBackend, steady_time aNow) const
{
  const server_health& health = aBackend.mHealth;
  return mConfig.mSuspendsFailing &&
         (health.IsSuspended(aNow) ||
          (health.IsOnTrial() && aBackend.mOutstanding > 0));
}

microseconds
backend_controller::DistanceTo(const backend& aBackend) const
{
  microseconds distance{ 0 };
  if (aBackend.mRecord.mFailureDomain != mConfig.mFailureDomain) {
    distance += mConfig.mDomainDistance;
  }
  if (aBackend.mIdle.empty()) {
    distance += mConfig.mConnectCost;
  }
  return distance;
}

replica_candidate
backend_controller::ToCandidate(const backend& aBackend,
                                std::size_t aPlace,
                                steady_time aNow) const
{
  double failureCost = static_cast<double>(mConfig.mFailureCost.count()) *
                       aBackend.mHealth.FailedShare(aNow);
  return { aPlace,
           aBackend.mOutstanding,
           aBackend.mServiceTime.Mean(),
           aBackend.mRecord.mFailureDomain == mConfig.mFailureDomain,
           !aBackend.mIdle.empty(),
           DistanceTo(aBackend),
           microseconds(static_cast<std::int64_t>(failureCost)) };
}

std::optional<std::size_t>
backend_controller::PickFromSample(
  service_pool& aPool,
  const choice_request& aRequest,
  const std::set<failure_domain_id>& aDomainsOut,
  steady_time aNow) const
{
  if (aPool.mBackends.empty() || !aRequest.mAvoidedDomain.IsEmpty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> any(0, aPool.mBackends.size() - 1);
  std::optional<replica_candidate> first;
  for (int draw = 0; draw < kSampleDraws; ++draw) {
    std::size_t place = any(aPool.mRandom);
    const backend& entry = aPool.mBackends[place];
    bool isNew = !first || first->mPlace != place;
    if (!isNew || IsKeptFrom(entry, aNow) ||
        !IsCandidate(entry, aRequest, aDomainsOut, aNow)) {
      continue;
    }
    replica_candidate drawn = ToCandidate(entry, place, aNow);
    if (first) {
      return IsBetter(drawn, *first) ? place : first->mPlace;
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
    (isAvoided ? candidates : elsewhere).push_back(
      ToCandidate(entry, place, aNow));
  }
  if (candidates.empty() && elsewhere.empty()) {
    return PickReplica(failing, aPool.mRandom);
  }
  return PickReplica(elsewhere.empty() ? candidates : elsewhere, aPool.mRandom);
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
      ++chosen.mOpen;
      return;
    }
    // The latest of this worker's own connections, else the latest of all.
    auto own = std::find_if(
      chosen.mIdle.rbegin(), chosen.mIdle.rend(), [&](connection_id aNumber) {
        return aNumber % kMostWorkers == aRequest.mWorker % kMostWorkers;
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
    aBackend.mServiceTime.Add(aReport.mTook);
    aBackend.mLimit.OnAnswer(aBackend.mOutstanding);
    aPool.mTail.Add(aReport.mTook);
    aBackend.mRefusedInRow = 0;
    aBackend.mHealth.OnAnswer(aNow);
    return;
  }
  if (aReport.mStatus == attempt_status::Cancelled) {
    // A loser that ran long says that the server is at least that slow.
    bool wasSilent =
      aReport.mTook > aBackend.mServiceTime.Mean() * kSilentFactor;
    if (aReport.mTook > aBackend.mServiceTime.Mean()) {
      aBackend.mServiceTime.Add(aReport.mTook);
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
      --found->mOpen;
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
  mHooks.mClose(closed);
  if (turnedCold) {
    mHooks.mTurnedCold(aPermit.mServer);
  }
  for (const auto& wake : waiters) {
    wake();
  }
}

void
backend_controller::WaitForPlace(const service_id& aService,
                                 std::function<void()> aWake)
{
  mServices.UpdateIfPresent(aService, [&](service_pool& aPool) {
    aPool.mWaiters.push_back(std::move(aWake));
  });
}

std::optional<connection_id>
backend_controller::BorrowIdle(const server_id& aServer)
{
  std::optional<connection_id> borrowed;
  auto service = mServiceOf.Get(aServer);
  if (!service) {
    return borrowed;
  }
  mServices.UpdateIfPresent(*service, [&](service_pool& aPool) {
    auto found = FindBackend(aPool, aServer);
    if (found != aPool.mBackends.end() && !found->mIdle.empty()) {
      borrowed = found->mIdle.back();
      found->mIdle.pop_back();
    }
  });
  return borrowed;
}

void
backend_controller::ReturnIdle(const server_id& aServer,
                               connection_id aConnection)
{
  bool isKept = false;
  auto service = mServiceOf.Get(aServer);
  if (service) {
    mServices.UpdateIfPresent(*service, [&](service_pool& aPool) {
      auto found = FindBackend(aPool, aServer);
      isKept = found != aPool.mBackends.end();
      if (isKept) {
        found->mIdle.push_back(aConnection);
      }
    });
  }
  if (!isKept) {
    mHooks.mClose({ aConnection });
  }
}

void
backend_controller::LoseBorrowed(const server_id& aServer)
{
  auto service = mServiceOf.Get(aServer);
  if (!service) {
    return;
  }
  mServices.UpdateIfPresent(*service, [&](service_pool& aPool) {
    auto found = FindBackend(aPool, aServer);
    if (found != aPool.mBackends.end() && found->mOpen > 0) {
      --found->mOpen;
    }
  });
}

void
backend_controller::CloseIdle()
{
  std::vector<connection_id> closed;
  mServices.ForEach([&](const service_id& /*aName*/, service_pool& aPool) {
    for (backend& entry : aPool.mBackends) {
      closed.insert(closed.end(), entry.mIdle.begin(), entry.mIdle.end());
      entry.mOpen -= static_cast<std::uint32_t>(entry.mIdle.size());
      entry.mIdle.clear();
    }
  });
  mHooks.mClose(closed);
}

void
backend_controller::CloseSurplus(steady_time aNow)
{
  std::vector<connection_id> closed;
  mServices.ForEach([&](const service_id& /*aName*/, service_pool& aPool) {
    for (backend& entry : aPool.mBackends) {
      std::vector<connection_id> surplus = TakeSurplus(entry, aNow);
      closed.insert(closed.end(), surplus.begin(), surplus.end());
    }
  });
  mHooks.mClose(closed);
}

bool
backend_controller::HasItsShares(steady_time aNow) const
{
  bool hasAll = true;
  mServices.ForEach(
    [&](const service_id& /*aName*/, const service_pool& aPool) {
      for (const backend& entry : aPool.mBackends) {
        bool waits = Share(entry, aNow) == 0 && entry.mShare.HasGain(aNow);
        hasAll = hasAll && !waits;
      }
    });
  return hasAll;
}

std::vector<service_snapshots>
backend_controller::Snapshots(const std::vector<service_id>& aServices)
{
  auto domainsOut = DomainsOut();
  std::vector<service_snapshots> all;
  all.reserve(aServices.size());
  for (const service_id& service : aServices) {
    service_snapshots held{ service, {} };
    mServices.UpdateIfPresent(service, [&](service_pool& aPool) {
      for (const backend& entry : aPool.mBackends) {
        if (CanAnswer(entry, *domainsOut)) {
          held.mSnapshots.insert(held.mSnapshots.end(),
                                 entry.mRecord.mSnapshots.begin(),
                                 entry.mRecord.mSnapshots.end());
        }
      }
    });
    std::sort(held.mSnapshots.begin(), held.mSnapshots.end());
    auto last = std::unique(held.mSnapshots.begin(), held.mSnapshots.end());
    held.mSnapshots.erase(last, held.mSnapshots.end());
    all.push_back(std::move(held));
  }
  return all;
}

std::optional<microseconds>
backend_controller::SlowAfter(const service_id& aService)
{
  std::optional<microseconds> slow;
  mServices.UpdateIfPresent(aService, [&](service_pool& aPool) {
    if (aPool.mTail.IsSettled()) {
      slow = aPool.mTail.Value();
    }
  });
  return slow;
}

std::vector<server_id>
backend_controller::Sponsored() const
{
  std::vector<server_id> sponsored;
  mServices.ForEach(
    [&](const service_id& /*aName*/, const service_pool& aPool) {
      for (const backend& entry : aPool.mBackends) {
        bool isOurs = entry.mRecord.mSponsor == mConfig.mSelf &&
                      entry.mRecord.mState != server_state::Gone;
        if (isOurs) {
          sponsored.push_back(entry.mRecord.mServer);
        }
      }
    });
  return sponsored;
}

std::vector<backend_view>
backend_controller::Views(steady_time aNow) const
{
  std::vector<backend_view> views;
  mServices.ForEach(
    [&](const service_id& /*aName*/, const service_pool& aPool) {
      for (const backend& entry : aPool.mBackends) {
        views.push_back({ entry.mRecord,
                          Share(entry, aNow),
                          entry.mOpen,
                          entry.mOutstanding,
                          Allowed(entry, aNow),
                          entry.mServiceTime.Mean() });
      }
    });
  return views;
}

std::optional<server_record>
backend_controller::Record(const server_id& aServer) const
{
  std::optional<server_record> record;
  auto service = mServiceOf.Get(aServer);
  if (!service) {
    return record;
  }
  mServices.ForEach([&](const service_id& aName, const service_pool& aPool) {
    if (aName != *service) {
      return;
    }
    auto found = FindBackend(aPool, aServer);
    if (found != aPool.mBackends.end()) {
      record = found->mRecord;
    }
  });
  return record;
}

}
