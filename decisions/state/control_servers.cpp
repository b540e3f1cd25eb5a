#include "decisions/state/control_state.h"

#include "decisions/state/change_evaluation.h"

namespace hibiscusspool {

change_outcome
control_state::Put(const entry_host_record& aProposed,
                   const std::optional<log_index>& /*aIfVersion*/,
                   change_effects& aEffects)
{
  auto found = mEntryHosts.find(aProposed.mHost);
  if (found != mEntryHosts.end()) {
    const entry_host_record& existing = found->second;
    // A host draws its incarnation at random, so incarnations have no order.
    bool isStale = aProposed.mIncarnation != existing.mIncarnation &&
                   aProposed.mState != entry_host_state::Joining;
    if (isStale) {
      return Refuse(change_verdict::Stale,
                    existing.mVersion,
                    "Another incarnation of this host has joined.");
    }
    bool isSameIncarnation = aProposed.mIncarnation == existing.mIncarnation;
    // A host that has connected to another control host is not silent.
    if (aProposed.mState == entry_host_state::Silent &&
        aProposed.mControlHost != existing.mControlHost) {
      return Refuse(change_verdict::Stale,
                    existing.mVersion,
                    "This host is connected to another control host.");
    }
    if (!isSameIncarnation || aProposed.mState == entry_host_state::Silent) {
      MarkClaimsUnknown(existing.mHost, existing.mIncarnation, aEffects);
    }
    bool isBackFromLeaving = isSameIncarnation &&
                             existing.mState == entry_host_state::Leaving &&
                             aProposed.mState == entry_host_state::Serving;
    if (isBackFromLeaving) {
      return Refuse(change_verdict::Stale,
                    existing.mVersion,
                    "This incarnation of the host is leaving.");
    }
  }
  return StoreRecord(mEntryHosts[aProposed.mHost], aProposed, mIndex, aEffects);
}

change_outcome
control_state::Put(const server_record& aProposed,
                   const std::optional<log_index>& aIfVersion,
                   change_effects& aEffects)
{
  log_index current = CurrentVersion(mServers, aProposed.mServer);
  // A delayed transition must not undo a later one.
  if (!Matches(aIfVersion, current)) {
    return VersionConflict(current);
  }
  auto found = mServers.find(aProposed.mServer);
  if (found != mServers.end()) {
    const server_record& existing = found->second;
    bool isOlderIncarnation = aProposed.mIncarnation < existing.mIncarnation;
    bool isSameIncarnation = aProposed.mIncarnation == existing.mIncarnation;
    // Announcements through different lease holders have an order only if the
    // server numbers them itself.
    bool isOrdered = aProposed.mLeaseHolder == existing.mLeaseHolder ||
                     aProposed.mSequence != 0;
    bool isOvertaken = isSameIncarnation && isOrdered &&
                       aProposed.mSequence < existing.mSequence;
    bool isAfterLeaving =
      isSameIncarnation && existing.mHasLeft && !aProposed.mHasLeft;
    if (isOlderIncarnation || isOvertaken || isAfterLeaving) {
      return Refuse(change_verdict::Stale,
                    existing.mVersion,
                    "A later announcement of this server is in force.");
    }
  }
  if (aProposed.mState == server_state::Gone) {
    // Only the current lease holder may report a server as gone: a former one
    // no longer gets the renewals and must not remove the record.
    if (found == mServers.end()) {
      return Accept(mIndex);
    }
    if (found->second.mLeaseHolder != aProposed.mLeaseHolder) {
      return Refuse(change_verdict::Stale,
                    found->second.mVersion,
                    "Another entry host holds this server's lease.");
    }
    found->second.mHasLeft = found->second.mHasLeft || aProposed.mHasLeft;
    RetireServer(found->second, aEffects);
    return Accept(mIndex);
  }
  auto holder = mServerAddresses.find(aProposed.mAddress);
  bool isHeld =
    holder != mServerAddresses.end() && holder->second != aProposed.mServer;
  if (isHeld) {
    server_record& previous = mServers[holder->second];
    bool isLater =
      previous.mStartedAt != 0 && aProposed.mStartedAt > previous.mStartedAt;
    if (isLater) {
      // The address was reassigned after the previous server had ended.
      RetireServer(previous, aEffects);
      isHeld = false;
    }
  }
  if (isHeld) {
    return Refuse(change_verdict::InUse,
                  0,
                  "Address " + aProposed.mAddress + " belongs to server \"" +
                    holder->second.mValue + "\".");
  }
  if (found != mServers.end()) {
    mServerAddresses.erase(found->second.mAddress);
    mGoneServers.erase({ found->second.mGoneAt, aProposed.mServer });
  }
  mServerAddresses[aProposed.mAddress] = aProposed.mServer;
  return StoreRecord(mServers[aProposed.mServer], aProposed, mIndex, aEffects);
}

void
control_state::RetireServer(server_record& aServer, change_effects& aEffects)
{
  if (aServer.mState == server_state::Gone) {
    return;
  }
  mServerAddresses.erase(aServer.mAddress);
  aServer.mState = server_state::Gone;
  aServer.mGoneAt = mTime;
  aServer.mVersion = mIndex;
  mGoneServers.insert({ mTime, aServer.mServer });
  aEffects.mRecordChanges.emplace_back(aServer);
}

void
control_state::ExpireGoneServers(change_effects& aEffects)
{
  wall_ms cutoff = mTime - mLimits.mGoneServerRetention.count();
  while (!mGoneServers.empty() && mGoneServers.begin()->first < cutoff) {
    server_id server = mGoneServers.begin()->second;
    mGoneServers.erase(mGoneServers.begin());
    mServers.erase(server);
    aEffects.mRecordChanges.emplace_back(
      record_removal{ record_kind::Server, server.mValue });
  }
}

}
