#include "decisions/group/membership.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** The state that a connected daemon of a known incarnation should have. */
entry_host_state
NextState(const connected_daemon& aDaemon, const entry_host_record& aKnown)
{
  if (aKnown.mState == entry_host_state::Serving) {
    return entry_host_state::Serving;
  }
  // The report counts only if the daemon has applied its own joining record.
  bool hasJoined = aKnown.mState == entry_host_state::Joining &&
                   aDaemon.mHasShares &&
                   aDaemon.mAppliedIndex >= aKnown.mVersion;
  return hasJoined ? entry_host_state::Serving : entry_host_state::Joining;
}

/** True if the id has been missing for longer than allowed. */
template<typename id>
bool
IsMissingFor(std::map<id, steady_time>& aMissingSince,
             const id& aId,
             milliseconds aAllowed,
             steady_time aNow)
{
  auto [since, isNew] = aMissingSince.emplace(aId, aNow);
  return aNow - since->second > aAllowed;
}

}

std::vector<record_change>
membership::ProposedChanges(const std::vector<connected_daemon>& aConnected,
                            const membership_view& aView,
                            steady_time aNow)
{
  std::vector<record_change> changes;
  for (const connected_daemon& daemon : aConnected) {
    steady_time& latest = mLastContact[daemon.mHost.mHost];
    latest = std::max(latest, daemon.mLastMessageAt);
  }
  AddConnectedDaemons(aConnected, aView, aNow, changes);
  AddSilentDaemons(aView, aNow, changes);
  AddOrphanedServers(aView, aNow, changes);
  return changes;
}

void
membership::AddConnectedDaemons(const std::vector<connected_daemon>& aConnected,
                                const membership_view& aView,
                                steady_time aNow,
                                std::vector<record_change>& aChanges) const
{
  for (const connected_daemon& daemon : aConnected) {
    if (aNow - daemon.mLastMessageAt > mConfig.mDaemonTimeout) {
      continue;
    }
    auto found = aView.mEntryHosts.find(daemon.mHost.mHost);
    entry_host_state state = entry_host_state::Joining;
    if (found != aView.mEntryHosts.end() &&
        found->second.mIncarnation == daemon.mHost.mIncarnation) {
      const entry_host_record& existing = found->second;
      state = NextState(daemon, existing);
      bool isUpToDate =
        existing.mState == entry_host_state::Leaving ||
        (existing.mState == state && existing.mControlHost == mConfig.mSelf);
      if (isUpToDate) {
        continue;
      }
    }
    entry_host_record connected = daemon.mHost;
    connected.mState = state;
    connected.mControlHost = mConfig.mSelf;
    aChanges.emplace_back(std::move(connected));
  }
}

void
membership::AddSilentDaemons(const membership_view& aView,
                             steady_time aNow,
                             std::vector<record_change>& aChanges)
{
  for (const auto& [host, existing] : aView.mEntryHosts) {
    if (existing.mState == entry_host_state::Silent) {
      mControlHostLostSince.erase(host);
      continue;
    }
    bool isOwn = existing.mControlHost == mConfig.mSelf;
    bool isMissing = false;
    if (isOwn) {
      // After a restart, daemons have the whole time-out to reconnect.
      steady_time latest = std::max(mLastContact[host], mStartedAt);
      isMissing = aNow - latest > mConfig.mDaemonTimeout;
      mControlHostLostSince.erase(host);
    } else if (aView.mIsLeader &&
               !aView.mActiveControlHosts.contains(existing.mControlHost)) {
      isMissing =
        IsMissingFor(mControlHostLostSince, host, mConfig.mDaemonTimeout, aNow);
    } else {
      mControlHostLostSince.erase(host);
    }
    if (isMissing) {
      entry_host_record silent = existing;
      silent.mState = entry_host_state::Silent;
      aChanges.emplace_back(std::move(silent));
    }
  }
}

void
membership::AddOrphanedServers(const membership_view& aView,
                               steady_time aNow,
                               std::vector<record_change>& aChanges)
{
  if (!aView.mIsLeader) {
    mOrphanedSince.clear();
    return;
  }
  for (const auto& [server, existing] : aView.mServers) {
    auto leaseHolder = aView.mEntryHosts.find(existing.mLeaseHolder);
    bool hasLeaseHolder =
      aView.mActiveControlHosts.contains(existing.mLeaseHolder) ||
      (leaseHolder != aView.mEntryHosts.end() &&
       leaseHolder->second.mState != entry_host_state::Silent);
    if (hasLeaseHolder || existing.mState == server_state::Gone) {
      mOrphanedSince.erase(server);
      continue;
    }
    if (IsMissingFor(mOrphanedSince, server, mConfig.mOrphanTimeout, aNow)) {
      server_record gone = existing;
      gone.mState = server_state::Gone;
      aChanges.emplace_back(std::move(gone));
    }
  }
}

std::vector<entry_host_record>
ServingHosts(std::vector<entry_host_record> aHosts,
             const failure_domain_id& aPreferred)
{
  std::erase_if(aHosts, [](const entry_host_record& aHost) {
    return aHost.mState != entry_host_state::Serving;
  });
  std::stable_partition(
    aHosts.begin(), aHosts.end(), [&](const entry_host_record& aHost) {
      return aHost.mFailureDomain == aPreferred;
    });
  return aHosts;
}

}
