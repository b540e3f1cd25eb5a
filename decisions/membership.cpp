#include "decisions/membership.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** The state that a heard daemon of a known run should have. */
entry_host_state
NextState(const connected_daemon& aDaemon, const entry_host_record& aKnown)
{
  if (aKnown.mState == entry_host_state::Serving) {
    return entry_host_state::Serving;
  }
  // Only a daemon that knows that it joined can say that it is done.
  bool isDone = aKnown.mState == entry_host_state::Joining &&
                aDaemon.mHasShares && aDaemon.mAppliedIndex >= aKnown.mVersion;
  return isDone ? entry_host_state::Serving : entry_host_state::Joining;
}

/** True once something has been missed for longer than allowed. */
template<typename id>
bool
IsMissedFor(std::map<id, steady_time>& aSince,
            const id& aName,
            milliseconds aAllowed,
            steady_time aNow)
{
  auto [since, isNew] = aSince.emplace(aName, aNow);
  return aNow - since->second > aAllowed;
}

}

std::vector<record_change>
membership::ProposedChanges(const std::vector<connected_daemon>& aHeard,
                            const membership_view& aView,
                            steady_time aNow)
{
  std::vector<record_change> wishes;
  for (const connected_daemon& daemon : aHeard) {
    steady_time& latest = mLastHeard[daemon.mHost.mHost];
    latest = std::max(latest, daemon.mHeardAt);
  }
  AddArrivals(aHeard, aView, aNow, wishes);
  AddSilent(aView, aNow, wishes);
  AddOrphans(aView, aNow, wishes);
  return wishes;
}

void
membership::AddArrivals(const std::vector<connected_daemon>& aHeard,
                        const membership_view& aView,
                        steady_time aNow,
                        std::vector<record_change>& aWishes) const
{
  for (const connected_daemon& daemon : aHeard) {
    if (aNow - daemon.mHeardAt > mConfig.mSilence) {
      continue;
    }
    auto found = aView.mEntryHosts.find(daemon.mHost.mHost);
    entry_host_state state = entry_host_state::Joining;
    if (found != aView.mEntryHosts.end() &&
        found->second.mIncarnation == daemon.mHost.mIncarnation) {
      const entry_host_record& known = found->second;
      state = NextState(daemon, known);
      bool isSettled =
        known.mState == entry_host_state::Leaving ||
        (known.mState == state && known.mControlHost == mConfig.mSelf);
      if (isSettled) {
        continue;
      }
    }
    entry_host_record arrival = daemon.mHost;
    arrival.mState = state;
    arrival.mControlHost = mConfig.mSelf;
    aWishes.emplace_back(std::move(arrival));
  }
}

void
membership::AddSilent(const membership_view& aView,
                      steady_time aNow,
                      std::vector<record_change>& aWishes)
{
  for (const auto& [host, known] : aView.mEntryHosts) {
    if (known.mState == entry_host_state::Silent) {
      mLostSince.erase(host);
      continue;
    }
    bool isOwn = known.mControlHost == mConfig.mSelf;
    bool isMissed = false;
    if (isOwn) {
      // After a restart the streams have a silence's time to come back.
      steady_time latest = std::max(mLastHeard[host], mStartedAt);
      isMissed = aNow - latest > mConfig.mSilence;
      mLostSince.erase(host);
    } else if (aView.mIsLeader &&
               !aView.mActiveControlHosts.contains(known.mControlHost)) {
      isMissed = IsMissedFor(mLostSince, host, mConfig.mSilence, aNow);
    } else {
      mLostSince.erase(host);
    }
    if (isMissed) {
      entry_host_record silent = known;
      silent.mState = entry_host_state::Silent;
      aWishes.emplace_back(std::move(silent));
    }
  }
}

void
membership::AddOrphans(const membership_view& aView,
                       steady_time aNow,
                       std::vector<record_change>& aWishes)
{
  if (!aView.mIsLeader) {
    mOrphanSince.clear();
    return;
  }
  for (const auto& [server, known] : aView.mServers) {
    auto sponsor = aView.mEntryHosts.find(known.mLeaseHolder);
    bool hasSponsor = aView.mActiveControlHosts.contains(known.mLeaseHolder) ||
                      (sponsor != aView.mEntryHosts.end() &&
                       sponsor->second.mState != entry_host_state::Silent);
    if (hasSponsor || known.mState == server_state::Gone) {
      mOrphanSince.erase(server);
      continue;
    }
    if (IsMissedFor(mOrphanSince, server, mConfig.mServerLapse, aNow)) {
      server_record gone = known;
      gone.mState = server_state::Gone;
      aWishes.emplace_back(std::move(gone));
      mOrphanSince.erase(server);
    }
  }
}

std::vector<entry_host_record>
ServingHosts(std::vector<entry_host_record> aHosts,
             const failure_domain_id& aNearby)
{
  std::erase_if(aHosts, [](const entry_host_record& aHost) {
    return aHost.mState != entry_host_state::Serving;
  });
  std::stable_partition(
    aHosts.begin(), aHosts.end(), [&](const entry_host_record& aHost) {
      return aHost.mFailureDomain == aNearby;
    });
  return aHosts;
}

}
