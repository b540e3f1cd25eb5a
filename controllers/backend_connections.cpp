#include "controllers/backend_controller.h"

#include <algorithm>

namespace hibiscusspool {

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
  if (warm >= mConfig.mRampDuration) {
    return allowed;
  }
  // The ramp leads from one attempt to the whole share.
  auto steps = static_cast<std::uint32_t>(
    (share * warm.count()) /
    std::max<std::int64_t>(1, mConfig.mRampDuration.count()));
  return std::min(allowed, std::max(1U, steps));
}

void
backend_controller::DealPool(service_pool& aPool,
                             const std::vector<host_id>& aHosts,
                             const server_id& aFresh,
                             steady_time aNow) const
{
  std::vector<server_capacity> connections;
  std::vector<server_capacity> coldSlots;
  for (const backend& entry : aPool.mBackends) {
    const server_record& record = entry.mRecord;
    connections.push_back({ record.mServer, record.mConnections });
    coldSlots.push_back({ record.mServer, record.mColdSlots });
  }
  auto shares = AllocateShares(connections, aHosts, mConfig.mSelf);
  auto coldShares = AllocateShares(coldSlots, aHosts, mConfig.mSelf);
  for (std::size_t place = 0; place < aPool.mBackends.size(); ++place) {
    backend& entry = aPool.mBackends[place];
    if (entry.mRecord.mServer == aFresh) {
      entry.mShare.SetInitial(shares[place]);
      entry.mColdShare.SetInitial(coldShares[place]);
      continue;
    }
    entry.mShare.SetTarget(shares[place], aNow, mConfig.mHandoverDelay);
    entry.mColdShare.SetTarget(coldShares[place], aNow, mConfig.mHandoverDelay);
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
  while (!aBackend.mIdle.empty() &&
         aBackend.mOpenConnections > Share(aBackend, aNow)) {
    // The connections that were unused for longest stand in front.
    surplus.push_back(aBackend.mIdle.front());
    aBackend.mIdle.erase(aBackend.mIdle.begin());
    --aBackend.mOpenConnections;
  }
  return surplus;
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
      closed.insert(closed.end(), entry.mIdle.begin(), entry.mIdle.end());
      entry.mOpenConnections -= static_cast<std::uint32_t>(entry.mIdle.size());
      entry.mIdle.clear();
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
        bool waits =
          Share(entry, aNow) == 0 && entry.mShare.HasPendingIncrease(aNow);
        hasAll = hasAll && !waits;
      }
    });
  return hasAll;
}

}
