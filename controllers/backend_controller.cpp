#include "controllers/backend_controller.h"

#include <algorithm>

#include <xxhash.h>

namespace hibiscusspool {

std::shared_ptr<const share_ring>
backend_controller::Ring() const
{
  std::lock_guard guard(mTopologyLock);
  return mRing;
}

std::shared_ptr<const std::set<failure_domain_id>>
backend_controller::DomainsOut() const
{
  std::lock_guard guard(mTopologyLock);
  return mDomainsOut;
}

void
backend_controller::SetHosts(std::vector<share_holder> aHosts, steady_time aNow)
{
  std::sort(aHosts.begin(), aHosts.end());
  auto ring = std::make_shared<const share_ring>(
    share_ring::Create(aHosts, mConfig.mSelf));
  {
    std::lock_guard guard(mTopologyLock);
    if (mHosts == aHosts) {
      return;
    }
    mHosts = std::move(aHosts);
    mRing = ring;
  }
  std::vector<connection_id> surplus;
  mServices.ForEach([&](const service_id& aName, service_pool& aPool) {
    ReallocateShares(aName, aPool, *ring, {}, aNow);
    std::vector<connection_id> taken = TakeSurplus(aPool, aNow);
    surplus.insert(surplus.end(), taken.begin(), taken.end());
  });
  mHooks.mCloseConnections(surplus);
}

void
backend_controller::SetDomainsOut(std::set<failure_domain_id> aDomains)
{
  auto domains =
    std::make_shared<const std::set<failure_domain_id>>(std::move(aDomains));
  std::lock_guard guard(mTopologyLock);
  mDomainsOut = std::move(domains);
}

void
backend_controller::DropFromService(const service_id& aService,
                                    const server_id& aServer,
                                    steady_time aNow)
{
  auto ring = Ring();
  std::vector<connection_id> idle;
  mServices.UpdateIfPresent(aService, [&](service_pool& aPool) {
    auto found = FindBackend(aPool, aServer);
    if (found != aPool.mBackends.end()) {
      idle = std::move(found->mIdleConnections);
      aPool.mBackends.erase(found);
      UpdateRolloutEffect(aPool);
      ReallocateShares(aService, aPool, *ring, {}, aNow);
      std::vector<connection_id> surplus = TakeSurplus(aPool, aNow);
      idle.insert(idle.end(), surplus.begin(), surplus.end());
    }
  });
  mHooks.mCloseConnections(idle);
}

void
backend_controller::Put(const server_record& aRecord,
                        bool aIsFirstSeen,
                        steady_time aNow)
{
  auto known = mServiceOf.Get(aRecord.mServer);
  if (known && *known != aRecord.mService) {
    DropFromService(*known, aRecord.mServer, aNow);
  }
  mServiceOf.Set(aRecord.mServer, aRecord.mService);
  auto ring = Ring();
  server_notices notices = RecallNotices(aRecord.mServer, aRecord.mIncarnation);
  rate_limit rate = RecallRate(aRecord.mServer, aRecord.mIncarnation);
  std::vector<connection_id> closed;
  std::vector<std::function<void()>> waiters;
  mServices.Update(aRecord.mService, [&](service_pool& aPool) {
    if (aPool.mBackends.empty()) {
      const std::string& name = aRecord.mService.mValue;
      aPool.mServiceTimeQuantile = quantile_tracker(mConfig.mSlowQuantile);
      aPool.mRandom.seed(mConfig.mSeed ^ XXH3_64bits(name.data(), name.size()));
    }
    auto found = FindBackend(aPool, aRecord.mServer);
    bool isNewIncarnation = found == aPool.mBackends.end() ||
                            found->mRecord.mIncarnation != aRecord.mIncarnation;
    if (isNewIncarnation && found != aPool.mBackends.end()) {
      closed = std::move(found->mIdleConnections);
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
      // A server that is already ready when first seen needs no ramp.
      found->mReadySince = aNow - mConfig.mRampDuration;
      found->mNotices = notices;
      found->mRate = rate;
    }
    bool turnsReady = found->mRecord.mState == server_state::Cold &&
                      aRecord.mState == server_state::Ready &&
                      !isNewIncarnation;
    bool capacityChanges =
      found->mRecord.mConnections != aRecord.mConnections ||
      found->mRecord.mColdSlots != aRecord.mColdSlots;
    if (turnsReady) {
      found->mReadySince = aNow;
      found->mIsTreatedAsCold = false;
      found->mConsecutiveOverloads = 0;
      found->mLimit.Restart();
    }
    bool restartedCold = !isNewIncarnation && aRecord.mColdEpoch != 0 &&
                         found->mRecord.mColdEpoch != aRecord.mColdEpoch;
    if (restartedCold) {
      found->mIsTreatedAsCold = true;
      found->mLimit.Restart();
    }
    found->mRecord = aRecord;
    found->mIsTarget =
      aPool.mRollout &&
      aRecord.mSoftwareVersion == aPool.mRollout->mRecord.mTargetVersion;
    UpdateRolloutEffect(aPool);
    if (isNewIncarnation || capacityChanges) {
      bool isFirstSeen = isNewIncarnation && aIsFirstSeen;
      ReallocateShares(aRecord.mService,
                       aPool,
                       *ring,
                       isFirstSeen ? aRecord.mServer : server_id{},
                       aNow);
    }
    if (!CanAnswer(*found, {})) {
      std::vector<connection_id> unused = TakeIdle(*found);
      closed.insert(closed.end(), unused.begin(), unused.end());
    }
    std::vector<connection_id> surplus = TakeSurplus(aPool, aNow);
    closed.insert(closed.end(), surplus.begin(), surplus.end());
    waiters = std::exchange(aPool.mWaiters, {});
  });
  mHooks.mCloseConnections(closed);
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

void
backend_controller::NotifyOnCapacity(const service_id& aService,
                                     std::function<void()> aCallback)
{
  mServices.UpdateIfPresent(aService, [&](service_pool& aPool) {
    aPool.mWaiters.push_back(std::move(aCallback));
  });
}

std::vector<fan_out_service>
backend_controller::AnsweringDomains(const std::vector<service_id>& aServices,
                                     steady_time aNow)
{
  auto domainsOut = DomainsOut();
  std::vector<fan_out_service> all;
  all.reserve(aServices.size());
  for (const service_id& service : aServices) {
    fan_out_service entry{ service, {} };
    mServices.UpdateIfPresent(service, [&](service_pool& aPool) {
      for (const backend& server : aPool.mBackends) {
        const failure_domain_id& domain = server.mRecord.mFailureDomain;
        bool isKnown =
          std::find(entry.mDomains.begin(), entry.mDomains.end(), domain) !=
          entry.mDomains.end();
        if (!isKnown && CanAnswer(server, *domainsOut) &&
            MayAsk(server, aNow) && !ShouldAvoid(server, aNow)) {
          entry.mDomains.push_back(domain);
        }
      }
    });
    all.push_back(std::move(entry));
  }
  return all;
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
backend_controller::SlowThreshold(const service_id& aService)
{
  std::optional<microseconds> threshold;
  mServices.UpdateIfPresent(aService, [&](service_pool& aPool) {
    if (aPool.mServiceTimeQuantile.HasEnoughSamples()) {
      threshold = aPool.mServiceTimeQuantile.Value();
    }
  });
  return threshold;
}

std::vector<server_id>
backend_controller::LeasedServers() const
{
  std::vector<server_id> leased;
  mServices.ForEach(
    [&](const service_id& /*aName*/, const service_pool& aPool) {
      for (const backend& entry : aPool.mBackends) {
        bool isOwn = entry.mRecord.mLeaseHolder == mConfig.mSelf &&
                     entry.mRecord.mState != server_state::Gone;
        if (isOwn) {
          leased.push_back(entry.mRecord.mServer);
        }
      }
    });
  return leased;
}

std::vector<backend_status>
backend_controller::Statuses(steady_time aNow) const
{
  std::vector<backend_status> statuses;
  mServices.ForEach(
    [&](const service_id& /*aName*/, const service_pool& aPool) {
      for (const backend& entry : aPool.mBackends) {
        statuses.push_back({ entry.mRecord,
                             Share(entry, aNow),
                             entry.mOpenConnections,
                             entry.mOutstanding,
                             ConcurrencyLimit(entry, aNow),
                             entry.mServiceTime.Mean(),
                             entry.mRate.Announced().IsLimited(),
                             entry.mRate.Announced().PerSecond(),
                             entry.mRate.Announced().IsLimited()
                               ? entry.mRate.Quota(true, aNow).mRequests
                               : 0 });
      }
    });
  return statuses;
}

std::optional<server_record>
backend_controller::FindServer(const server_id& aServer) const
{
  std::optional<server_record> record;
  auto service = mServiceOf.Get(aServer);
  if (!service) {
    return record;
  }
  mServices.ForEach([&](const service_id& aService, const service_pool& aPool) {
    if (aService != *service) {
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
