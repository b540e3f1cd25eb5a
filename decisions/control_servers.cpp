#include "decisions/control_state.h"

#include "decisions/change_evaluation.h"

namespace hibiscusspool {

change_outcome
control_state::Put(const entry_host_record& aWish,
                   const std::optional<log_index>& /*aIfVersion*/,
                   change_effects& aEffects)
{
  auto found = mEntryHosts.find(aWish.mHost);
  if (found != mEntryHosts.end()) {
    const entry_host_record& known = found->second;
    // Runs of a host are told apart by random numbers: no clock orders them.
    bool isLate = aWish.mIncarnation != known.mIncarnation &&
                  aWish.mState != entry_host_state::Joining;
    if (isLate) {
      return Refuse(change_verdict::Stale,
                    known.mVersion,
                    "Another run of this host has joined.");
    }
    bool sameRun = aWish.mIncarnation == known.mIncarnation;
    // A host that has gone over to another control host is not silent.
    if (aWish.mState == entry_host_state::Silent &&
        aWish.mControlHost != known.mControlHost) {
      return Refuse(change_verdict::Stale,
                    known.mVersion,
                    "Another control host hears this host.");
    }
    if (!sameRun || aWish.mState == entry_host_state::Silent) {
      LoseClaimsOf(known.mHost, known.mIncarnation, aEffects);
    }
    bool backFromLeaving = sameRun &&
                           known.mState == entry_host_state::Leaving &&
                           aWish.mState == entry_host_state::Serving;
    if (backFromLeaving) {
      return Refuse(change_verdict::Stale,
                    known.mVersion,
                    "This run of the host is leaving.");
    }
  }
  return Keep(mEntryHosts[aWish.mHost], aWish, mIndex, aEffects);
}

change_outcome
control_state::Put(const server_record& aWish,
                   const std::optional<log_index>& aIfVersion,
                   change_effects& aEffects)
{
  log_index current = CurrentVersion(mServers, aWish.mServer);
  // A transition that was overtaken on its way must not undo the later one.
  if (!Matches(aIfVersion, current)) {
    return VersionConflict(current);
  }
  auto found = mServers.find(aWish.mServer);
  if (found != mServers.end()) {
    const server_record& known = found->second;
    bool olderRun = aWish.mIncarnation < known.mIncarnation;
    bool sameRun = aWish.mIncarnation == known.mIncarnation;
    // Sponsors agree on the order of a server's announcements only if it
    // counts them itself.
    bool isOrdered =
      aWish.mLeaseHolder == known.mLeaseHolder || aWish.mSequence != 0;
    bool overtaken = sameRun && isOrdered && aWish.mSequence < known.mSequence;
    bool hasLeft = sameRun && known.mHasLeft && !aWish.mHasLeft;
    if (olderRun || overtaken || hasLeft) {
      return Refuse(change_verdict::Stale,
                    known.mVersion,
                    "A later announcement of this server is in force.");
    }
  }
  if (aWish.mState == server_state::Gone) {
    // Only the present sponsor may say that a server is gone: an earlier one
    // whose renewals went elsewhere must not take the record away.
    if (found == mServers.end()) {
      return Accept(mIndex);
    }
    if (found->second.mLeaseHolder != aWish.mLeaseHolder) {
      return Refuse(change_verdict::Stale,
                    found->second.mVersion,
                    "Another entry host sponsors this server.");
    }
    found->second.mHasLeft = found->second.mHasLeft || aWish.mHasLeft;
    RetireServer(found->second, aEffects);
    return Accept(mIndex);
  }
  auto holder = mServerAddresses.find(aWish.mAddress);
  bool isHeld =
    holder != mServerAddresses.end() && holder->second != aWish.mServer;
  if (isHeld) {
    server_record& present = mServers[holder->second];
    bool isLater =
      present.mStartedAt != 0 && aWish.mStartedAt > present.mStartedAt;
    if (isLater) {
      // The address was given to another server after this one had ended.
      RetireServer(present, aEffects);
      isHeld = false;
    }
  }
  if (isHeld) {
    return Refuse(change_verdict::InUse,
                  0,
                  "Address " + aWish.mAddress + " belongs to server \"" +
                    holder->second.mValue + "\".");
  }
  if (found != mServers.end()) {
    mServerAddresses.erase(found->second.mAddress);
    mGoneServers.erase({ found->second.mGoneAt, aWish.mServer });
  }
  mServerAddresses[aWish.mAddress] = aWish.mServer;
  return Keep(mServers[aWish.mServer], aWish, mIndex, aEffects);
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
control_state::ForgetGoneServers(change_effects& aEffects)
{
  wall_ms oldest = mTime - mLimits.mGoneServerKept.count();
  while (!mGoneServers.empty() && mGoneServers.begin()->first < oldest) {
    server_id server = mGoneServers.begin()->second;
    mGoneServers.erase(mGoneServers.begin());
    mServers.erase(server);
    aEffects.mRecordChanges.emplace_back(
      record_removal{ record_kind::Server, server.mValue });
  }
}

}
