#include "controllers/backend_controller.h"

#include <algorithm>

namespace hibiscusspool {

std::uint32_t
backend_controller::Share(const backend& aBackend, steady_time aNow) const
{
  return aBackend.mShare.Usable(aNow);
}

std::uint32_t
backend_controller::ConcurrencyLimit(const backend& aBackend,
                                     steady_time aNow) const
{
  std::uint32_t share = Share(aBackend, aNow);
  std::uint32_t cold = aBackend.mColdShare.Usable(aNow);
  if (IsCold(aBackend)) {
    return std::min(share, cold);
  }
  std::uint32_t allowed = std::min(share, aBackend.mLimit.Allowed());
  auto warmedFor =
    std::chrono::duration_cast<milliseconds>(aNow - aBackend.mReadySince);
  if (warmedFor >= mConfig.mRampDuration) {
    return allowed;
  }
  // During the ramp, the limit grows linearly from one attempt to the share.
  auto steps = static_cast<std::uint32_t>(
    (share * warmedFor.count()) /
    std::max<std::int64_t>(1, mConfig.mRampDuration.count()));
  return std::min(allowed, std::max(1U, steps));
}

void
backend_controller::ReallocateShares(const service_id& aService,
                                     service_pool& aPool,
                                     const share_ring& aRing,
                                     const server_id& aNewServer,
                                     steady_time aNow) const
{
  std::vector<server_capacity> connections;
  std::vector<server_capacity> coldSlots;
  for (const backend& entry : aPool.mBackends) {
    const server_record& record = entry.mRecord;
    connections.push_back(
      { record.mServer, record.mConnections, record.mFailureDomain });
    coldSlots.push_back(
      { record.mServer, record.mColdSlots, record.mFailureDomain });
  }
  aPool.mDividedSince = aNow;
  auto shares = aRing.Allocate(aService, connections);
  auto coldShares = aRing.Allocate(aService, coldSlots);
  for (std::size_t index = 0; index < aPool.mBackends.size(); ++index) {
    backend& entry = aPool.mBackends[index];
    if (entry.mRecord.mServer == aNewServer) {
      entry.mShare.SetInitial(shares[index]);
      entry.mColdShare.SetInitial(coldShares[index]);
      continue;
    }
    entry.mShare.SetTarget(shares[index], aNow, mConfig.mHandoverDelay);
    entry.mColdShare.SetTarget(coldShares[index], aNow, mConfig.mHandoverDelay);
  }
  DivideRates(aService, aPool, aRing, aNow);
}

std::vector<connection_id>
backend_controller::TakeIdle(backend& aBackend)
{
  aBackend.mOpenConnections -=
    static_cast<std::uint32_t>(aBackend.mIdleConnections.size());
  return std::exchange(aBackend.mIdleConnections, {});
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
  while (!aBackend.mIdleConnections.empty() &&
         aBackend.mOpenConnections > Share(aBackend, aNow)) {
    // The connections that have been idle longest are at the front.
    surplus.push_back(aBackend.mIdleConnections.front());
    aBackend.mIdleConnections.erase(aBackend.mIdleConnections.begin());
    --aBackend.mOpenConnections;
  }
  return surplus;
}

std::optional<connection_id>
backend_controller::BorrowIdle(const server_id& aServer, steady_time aNow)
{
  std::optional<connection_id> borrowed;
  auto service = mServiceOf.Get(aServer);
  if (!service) {
    return borrowed;
  }
  mServices.UpdateIfPresent(*service, [&](service_pool& aPool) {
    auto found = FindBackend(aPool, aServer);
    bool isUsable = found != aPool.mBackends.end() &&
                    !found->mIdleConnections.empty() &&
                    found->mNotices.Willingness(mConfig.mNoticeLimits, aNow) !=
                      server_willingness::Unwilling;
    if (isUsable) {
      borrowed = found->mIdleConnections.back();
      found->mIdleConnections.pop_back();
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
        found->mIdleConnections.push_back(aConnection);
      }
    });
  }
  if (!isKept) {
    mHooks.mCloseConnections({ aConnection });
  }
}

void
backend_controller::DiscardBorrowed(const server_id& aServer)
{
  auto service = mServiceOf.Get(aServer);
  if (!service) {
    return;
  }
  mServices.UpdateIfPresent(*service, [&](service_pool& aPool) {
    auto found = FindBackend(aPool, aServer);
    if (found != aPool.mBackends.end() && found->mOpenConnections > 0) {
      --found->mOpenConnections;
    }
  });
}

void
backend_controller::CloseIdle()
{
  std::vector<connection_id> closed;
  mServices.ForEach([&](const service_id& /*aName*/, service_pool& aPool) {
    for (backend& entry : aPool.mBackends) {
      std::vector<connection_id> idle = TakeIdle(entry);
      closed.insert(closed.end(), idle.begin(), idle.end());
    }
  });
  mHooks.mCloseConnections(closed);
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
  mHooks.mCloseConnections(closed);
}

bool
backend_controller::HasAllShares(steady_time aNow) const
{
  bool hasAll = true;
  mServices.ForEach(
    [&](const service_id& /*aName*/, const service_pool& aPool) {
      for (const backend& entry : aPool.mBackends) {
        bool isWaiting =
          Share(entry, aNow) == 0 && entry.mShare.HasPendingIncrease(aNow);
        hasAll = hasAll && !isWaiting;
      }
    });
  return hasAll;
}

}
