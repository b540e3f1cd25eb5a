#include "controllers/control_group.h"

#include "core/log_event.h"
#include "decisions/group/raft_message_queue.h"

#include <algorithm>
#include <memory>

namespace hibiscusspool {

namespace {

constexpr milliseconds kReadRetryInterval{ 400 };
/** Time between attempts to transfer leadership while this member's failure
 * domain is out. */
constexpr milliseconds kTransferRetryInterval{ 5000 };
/** Interval between retries of a failed write, which cost little while the disk
 * is full. */
constexpr milliseconds kDiskRetryInterval{ 100 };
/** Interval between attempts to store a snapshot that the disk refused. */
constexpr milliseconds kStoreRetryInterval{ 1000 };
/** Interval between log lines about commands that the log has no room for. */
constexpr milliseconds kRefusalLogInterval{ 1000 };
/** Maximum bytes of received messages that wait for the group's thread. */
constexpr std::uint64_t kMaxReceivedBytes = 16U << 20U;

}

control_group::control_group(control_group_config aConfig,
                             control_group_hooks aHooks,
                             control_state aState,
                             raft_node aNode)
  : mConfig(std::move(aConfig))
  , mHooks(std::move(aHooks))
  , mState(std::move(aState))
  , mNode(std::move(aNode))
{
  UpdateStatus();
}

result<std::unique_ptr<control_group>, group_error>
control_group::Create(control_group_config aConfig,
                      control_group_hooks aHooks,
                      raft_persistent_state aPersisted,
                      steady_time aNow)
{
  control_state state(aConfig.mLimits);
  if (aPersisted.mSnapshot.mIndex > 0) {
    auto decoded = aHooks.mDecodeState(aPersisted.mSnapshot.mState);
    if (!decoded) {
      return Fail(group_error::BadLog,
                  "The stored snapshot of the control log can't be decoded.");
    }
    state = std::move(*decoded);
  }
  auto node = raft_node::Create(aConfig.mRaft, std::move(aPersisted), aNow);
  if (!node) {
    return Fail(node.error().mCode == raft_error::BadLog
                  ? group_error::BadLog
                  : group_error::BadConfig,
                node.error().mDetail);
  }
  return std::unique_ptr<control_group>(
    new control_group(std::move(aConfig),
                      std::move(aHooks),
                      std::move(state),
                      std::move(node.value())));
}

void
control_group::Enqueue(event aEvent)
{
  {
    std::lock_guard guard(mQueueLock);
    mQueue.push_back(std::move(aEvent));
  }
  mQueueChanged.notify_one();
}

void
control_group::Propose(change_command aCommand,
                       propose_callback aCallback,
                       steady_time aDeadline,
                       std::optional<proposal_age> aAge)
{
  {
    std::lock_guard guard(mQueueLock);
    if (!mIsStopping && !mIsStalled && mQueue.size() < mConfig.mMaxPending) {
      mQueue.emplace_back(propose_event{
        std::move(aCommand), std::move(aCallback), aDeadline, aAge });
      mQueueChanged.notify_one();
      return;
    }
  }
  aCallback({ propose_status::Busy, {}, {} });
}

void
control_group::Receive(std::vector<raft_message> aMessages)
{
  std::uint64_t bytes = 0;
  for (const raft_message& message : aMessages) {
    bytes += PayloadBytes(message);
  }
  std::lock_guard guard(mQueueLock);
  // Raft tolerates lost messages: senders repeat those that still matter.
  bool hasRoom =
    mReceivedBytes == 0 || mReceivedBytes + bytes <= kMaxReceivedBytes;
  if (!mIsStalled && hasRoom) {
    mReceivedBytes += bytes;
    mQueue.emplace_back(receive_event{ std::move(aMessages) });
    mQueueChanged.notify_one();
  }
}

void
control_group::ReadBarrier(read_callback aCallback)
{
  Enqueue(read_event{ std::move(aCallback) });
}

void
control_group::Bootstrap(std::vector<raft_peer> aVoters)
{
  Enqueue(bootstrap_event{ std::move(aVoters) });
}

void
control_group::SetKnownHosts(std::set<host_id> aHosts)
{
  Enqueue(known_hosts_event{ std::move(aHosts) });
}

void
control_group::SetFailureDomains(std::map<host_id, failure_domain_id> aDomains)
{
  Enqueue(failure_domains_event{ std::move(aDomains) });
}

void
control_group::TransferLeadership()
{
  Enqueue(transfer_event{});
}

void
control_group::Stop()
{
  {
    std::lock_guard guard(mQueueLock);
    mIsStopping = true;
  }
  mQueueChanged.notify_one();
}

void
control_group::Run()
{
  while (true) {
    std::vector<event> events;
    steady_time readsDue = mHooks.mSteadyNow() + kReadRetryInterval;
    {
      std::unique_lock guard(mQueueLock);
      mQueueChanged.wait_until(guard, std::min(mNode.NextDue(), readsDue), [&] {
        return !mQueue.empty() || mIsStopping || mNode.HasUndelivered();
      });
      if (mIsStopping) {
        break;
      }
      events.swap(mQueue);
      mReceivedBytes = 0;
    }
    steady_time now = mHooks.mSteadyNow();
    for (event& next : events) {
      std::visit([&](auto& aEvent) { Handle(aEvent, now); }, next);
    }
    mNode.Tick(now);
    if (mNode.Role() == raft_role::Leader) {
      mRounds.OnRound({ mNode.Term(), mNode.HeartbeatRound() }, ElapsedNow());
    }
    TransferIfDomainOut(now);
    RetryReads(now);
    if (!ExecuteActions(mNode.TakeActions())) {
      break;
    }
    mReceivedStates.clear();
    CompactIfDue();
    bool roleChanged = UpdateRole();
    UpdateStatus();
    if (roleChanged) {
      mHooks.mOnRoleChanged();
    }
    SetContact(ContactOf(mHooks.mSteadyNow()));
  }
  FailPendingOnStop();
}

void
control_group::FailPendingOnStop()
{
  std::vector<event> events;
  {
    std::lock_guard guard(mQueueLock);
    events.swap(mQueue);
  }
  for (event& next : events) {
    if (auto* proposal = std::get_if<propose_event>(&next)) {
      proposal->mCallback({ propose_status::NotLeader, {}, {} });
    }
  }
  FailProposals();
}

void
control_group::FailProposals()
{
  host_id leader = mNode.Leader().mHost;
  for (auto& [index, proposal] : std::exchange(mProposals, {})) {
    proposal.mCallback({ propose_status::NotLeader, leader, {} });
  }
  for (auto& [name, callback] : std::exchange(mClaimWaiters, {})) {
    callback({ propose_status::NotLeader, leader, {} });
  }
}

void
control_group::Handle(propose_event& aEvent, steady_time aNow)
{
  aEvent.mCommand.mProposedAt = mHooks.mWallNow();
  bool isFull = mProposals.size() >= mConfig.mMaxPending;
  if (isFull || IsOutdated(aEvent, aNow)) {
    aEvent.mCallback({ propose_status::Busy, {}, {} });
    return;
  }
  std::string payload = mHooks.mEncodeCommand(aEvent.mCommand);
  bool isLeading = mNode.Role() == raft_role::Leader;
  if (isLeading && !CheckRoom(payload.size(), aNow)) {
    aEvent.mCallback({ propose_status::Busy, {}, {} });
    return;
  }
  auto appended = mNode.Propose(std::move(payload), aNow);
  if (!appended) {
    aEvent.mCallback({ propose_status::NotLeader, mNode.Leader().mHost, {} });
    return;
  }
  mProposals[appended.value().mIndex] = { appended.value().mTerm,
                                          std::move(aEvent.mCallback) };
}

bool
control_group::IsOutdated(const propose_event& aEvent, steady_time aNow) const
{
  if (aNow >= aEvent.mDeadline) {
    return true;
  }
  // Only a leader knows how old its rounds are; other members refuse anyway.
  bool isLeading = mNode.Role() == raft_role::Leader;
  if (!aEvent.mAge || !isLeading) {
    return false;
  }
  auto age = mRounds.AgeOf(aEvent.mAge->mHeard, ElapsedNow());
  if (age && *age <= aEvent.mAge->mMax) {
    return false;
  }
  log_event("proposal_outdated", log_event::severity::Warning)
    .Add("term", aEvent.mAge->mHeard.mTerm)
    .Add("round", aEvent.mAge->mHeard.mNumber)
    .Add("age_ms", age ? age->count() : -1)
    .Add("max_age_ms", aEvent.mAge->mMax.count());
  return true;
}

steady_time
control_group::ElapsedNow() const
{
  return mHooks.mElapsedNow ? mHooks.mElapsedNow() : mHooks.mSteadyNow();
}

void
control_group::Handle(receive_event& aEvent, steady_time aNow)
{
  for (const raft_message& message : aEvent.mMessages) {
    // A snapshot replaces the log, so one that can't be used must not get
    // there.
    if (IsDecodable(message)) {
      mNode.Step(message, aNow);
    }
  }
}

bool
control_group::IsDecodable(const raft_message& aMessage)
{
  if (!aMessage.mSnapshot) {
    return true;
  }
  auto state = mHooks.mDecodeState(aMessage.mSnapshot->mState);
  if (!state) {
    log_event("snapshot_refused", log_event::severity::Error)
      .Add("index", aMessage.mSnapshot->mIndex)
      .Add("from", aMessage.mFrom.mHost.mValue);
    return false;
  }
  mReceivedStates.insert_or_assign(aMessage.mSnapshot->mIndex,
                                   std::move(*state));
  return true;
}

void
control_group::Handle(read_event& aEvent, steady_time aNow)
{
  std::uint64_t token = mNextToken++;
  mPendingReads[token] = { aNow, std::move(aEvent.mCallback) };
  mNode.RequestRead(token);
}

void
control_group::Handle(bootstrap_event& aEvent, steady_time aNow)
{
  mNode.Bootstrap(std::move(aEvent.mVoters), aNow);
}

void
control_group::Handle(transfer_event& /*aEvent*/, steady_time aNow)
{
  mNode.TransferLeadership({}, aNow);
}

void
control_group::Handle(known_hosts_event& aEvent, steady_time /*aNow*/)
{
  mNode.SetKnownHosts(std::move(aEvent.mHosts));
}

void
control_group::Handle(failure_domains_event& aEvent, steady_time /*aNow*/)
{
  mNode.SetFailureDomains(std::move(aEvent.mDomains));
}

void
control_group::BeginStall()
{
  log_event("disk_stalled", log_event::severity::Error)
    .Add("commit", mNode.CommitIndex());
  std::vector<event> kept;
  std::vector<propose_callback> refused;
  {
    std::lock_guard guard(mQueueLock);
    mIsStalled = true;
    for (event& next : std::exchange(mQueue, {})) {
      if (auto* proposal = std::get_if<propose_event>(&next)) {
        refused.push_back(std::move(proposal->mCallback));
      } else if (!std::holds_alternative<receive_event>(next)) {
        kept.push_back(std::move(next));
      }
    }
    mQueue = std::move(kept);
    mReceivedBytes = 0;
  }
  {
    std::lock_guard guard(mStateLock);
    mStatus.mRole = raft_role::Follower;
    mStatus.mLeader = {};
  }
  SetContact(group_contact::Stalled);
  for (const propose_callback& callback : refused) {
    callback({ propose_status::Busy, {}, {} });
  }
  // The appended entries may still be committed later, so their outcome is not
  // known; callers have to retry.
  FailProposals();
}

bool
control_group::RetryUntilWritten(const std::function<bool()>& aWrite)
{
  if (aWrite()) {
    return true;
  }
  steady_time start = mHooks.mSteadyNow();
  BeginStall();
  // No message may depend on data that isn't written, so this member sends none
  // until the write succeeds, and the others elect another leader.
  bool isWritten = false;
  while (!isWritten) {
    {
      std::unique_lock guard(mQueueLock);
      if (mQueueChanged.wait_for(
            guard, kDiskRetryInterval, [&] { return mIsStopping; })) {
        return false;
      }
    }
    steady_time now = mHooks.mSteadyNow();
    if (mState.Index() > mNode.Snapshot().mIndex && now >= mNextStoreAt) {
      // A log that fills the disk gives way to a snapshot.
      Compact(now);
    }
    isWritten = aWrite();
  }
  {
    std::lock_guard guard(mQueueLock);
    mIsStalled = false;
  }
  auto duration =
    std::chrono::duration_cast<milliseconds>(mHooks.mSteadyNow() - start);
  log_event("disk_regained").Add("stalled_ms", duration.count());
  return true;
}

bool
control_group::ExecuteActions(raft_actions aActions)
{
  if (aActions.mInstallSnapshot &&
      !InstallSnapshot(*aActions.mInstallSnapshot)) {
    return false;
  }
  if (!RetryUntilWritten([&] { return mHooks.mPersist(aActions); })) {
    return false;
  }
  if (!aActions.mMessages.empty()) {
    mHooks.mSend(std::move(aActions.mMessages));
  }
  for (const raft_entry& entry : aActions.mCommitted) {
    Apply(entry);
  }
  ConfirmReads(aActions.mReads);
  CompleteReads();
  return true;
}

bool
control_group::InstallSnapshot(const raft_snapshot& aSnapshot)
{
  // Storing a snapshot drops the old log, so all of it that is still needed is
  // stored here: the vote, and the entries after the snapshot.
  if (!RetryUntilWritten([&] {
        return mHooks.mStoreSnapshot(aSnapshot, mNode.HardState(), mNode.Log());
      })) {
    return false;
  }
  {
    std::lock_guard guard(mStateLock);
    mState = std::move(mReceivedStates.at(aSnapshot.mIndex));
  }
  // The received snapshot is on disk, and replaces one that is not.
  mHasUnstoredSnapshot = false;
  mHooks.mOnStateReplaced(aSnapshot.mIndex);
  return true;
}

void
control_group::Apply(const raft_entry& aEntry)
{
  change_effects effects;
  std::optional<change_command> command;
  if (!aEntry.mPayload.empty()) {
    command = mHooks.mDecodeCommand(aEntry.mPayload);
    if (!command) {
      log_event("entry_undecodable", log_event::severity::Error)
        .Add("index", aEntry.mIndex)
        .Add("term", aEntry.mTerm)
        .Add("bytes", aEntry.mPayload.size());
    }
  }
  {
    std::lock_guard guard(mStateLock);
    if (command) {
      effects = mState.Apply(aEntry.mIndex, *command);
    } else {
      mState.Advance(aEntry.mIndex);
    }
  }
  std::vector<std::string> settled = std::move(effects.mSettledClaims);
  mHooks.mPublish(aEntry.mIndex, std::move(effects.mRecordChanges));
  CompleteProposal(aEntry, effects);
  CompleteClaimWaiters(settled);
}

void
control_group::CompleteProposal(const raft_entry& aEntry,
                                change_effects& aEffects)
{
  auto found = mProposals.find(aEntry.mIndex);
  if (found == mProposals.end()) {
    return;
  }
  pending_proposal proposal = std::move(found->second);
  mProposals.erase(found);
  if (proposal.mTerm != aEntry.mTerm) {
    proposal.mCallback({ propose_status::NotLeader, mNode.Leader().mHost, {} });
    return;
  }
  bool waits = aEffects.mOutcomes.size() == 1 &&
               aEffects.mOutcomes[0].mVerdict == change_verdict::InProgress;
  if (waits) {
    auto command = mHooks.mDecodeCommand(aEntry.mPayload);
    const auto* claim = std::get_if<claim_record>(&command->mChanges.front());
    mClaimWaiters.emplace(ClaimName(claim->mTeam, claim->mKey),
                          std::move(proposal.mCallback));
    return;
  }
  proposal.mCallback(
    { propose_status::Applied, {}, std::move(aEffects.mOutcomes) });
}

void
control_group::CompleteClaimWaiters(const std::vector<std::string>& aSettled)
{
  for (const std::string& name : aSettled) {
    // A released claim has no record; the waiter is then told to propose its
    // claim again.
    change_outcome outcome;
    outcome.mVerdict = change_verdict::InProgress;
    {
      std::lock_guard guard(mStateLock);
      if (const claim_record* claim = mState.FindClaim(name)) {
        outcome = OutcomeOf(*claim);
      }
    }
    auto [first, last] = mClaimWaiters.equal_range(name);
    for (auto waiter = first; waiter != last; ++waiter) {
      waiter->second({ propose_status::Applied, {}, { outcome } });
    }
    mClaimWaiters.erase(first, last);
  }
}

void
control_group::ConfirmReads(const std::vector<raft_confirmed_read>& aReads)
{
  for (const raft_confirmed_read& read : aReads) {
    auto found = mPendingReads.find(read.mToken);
    if (found == mPendingReads.end()) {
      continue;
    }
    mConfirmedReads.emplace(read.mIndex, std::move(found->second.mCallback));
    mPendingReads.erase(found);
  }
}

void
control_group::CompleteReads()
{
  // Read without the lock: only this thread changes the state's index.
  log_index applied = mState.Index();
  auto end = mConfirmedReads.upper_bound(applied);
  for (auto completed = mConfirmedReads.begin(); completed != end;
       ++completed) {
    completed->second(completed->first);
  }
  mConfirmedReads.erase(mConfirmedReads.begin(), end);
}

void
control_group::RetryReads(steady_time aNow)
{
  // Reads that were requested before this leader was known were dropped.
  bool leaderChanged = mNode.Leader() != mReadLeader;
  mReadLeader = mNode.Leader();
  std::vector<std::uint64_t> stale;
  for (const auto& [token, read] : mPendingReads) {
    if (leaderChanged || aNow - read.mRequestedAt > kReadRetryInterval) {
      stale.push_back(token);
    }
  }
  for (std::uint64_t token : stale) {
    // A new token, so that a late response to the old request is ignored.
    auto node = mPendingReads.extract(token);
    node.key() = mNextToken++;
    node.mapped().mRequestedAt = aNow;
    mNode.RequestRead(node.key());
    mPendingReads.insert(std::move(node));
  }
}

bool
control_group::UpdateRole()
{
  bool isLeading = mNode.Role() == raft_role::Leader;
  if (isLeading == mIsLeader) {
    return false;
  }
  mIsLeader = isLeading;
  log_event("role_changed")
    .Add("role", NameOf(mNode.Role()))
    .Add("term", mNode.Term())
    .Add("leader", mNode.Leader().mHost.mValue);
  if (!isLeading) {
    // The next leader may still commit these proposals; a caller that repeats
    // one gets the first outcome.
    FailProposals();
  }
  return true;
}

void
control_group::TransferIfDomainOut(steady_time aNow)
{
  if (mNode.Role() != raft_role::Leader || aNow < mNextTransferAt) {
    return;
  }
  const auto& domains = mState.FailureDomains();
  auto domain = domains.find(mConfig.mFailureDomain);
  if (domain == domains.end() ||
      domain->second.mState == failure_domain_state::In) {
    return;
  }
  mNextTransferAt = aNow + kTransferRetryInterval;
  mNode.TransferLeadership({}, aNow);
}

log_usage
control_group::LogUsage(steady_time aNow) const
{
  log_usage usage;
  usage.mAppliedEntries = mState.Index() - mNode.Snapshot().mIndex;
  usage.mMemoryBytes = mNode.LogBytes();
  usage.mDiskBytes = mHooks.mLogBytesOnDisk ? mHooks.mLogBytesOnDisk() : 0;
  usage.mSnapshotBytes = mNode.Snapshot().mState.size();
  usage.mIsReplicated = mNode.IsReplicated(mState.Index(), aNow);
  return usage;
}

bool
control_group::CheckRoom(std::uint64_t aBytes, steady_time aNow)
{
  log_usage usage = LogUsage(aNow);
  if (HasRoomFor(usage, mConfig.mLog, aBytes)) {
    return true;
  }
  if (aNow >= mNextRefusalLogAt) {
    mNextRefusalLogAt = aNow + kRefusalLogInterval;
    log_event("proposal_refused", log_event::severity::Warning)
      .Add("cause", "log_full")
      .Add("bytes", aBytes)
      .Add("log_bytes", std::max(usage.mMemoryBytes, usage.mDiskBytes))
      .Add("max_log_bytes", mConfig.mLog.mMaxBytes);
  }
  return false;
}

void
control_group::CompactIfDue()
{
  // While entries are still delivered, the snapshot would be followed by a long
  // log that has to be written with it.
  if (mNode.HasUndelivered()) {
    return;
  }
  steady_time now = mHooks.mSteadyNow();
  bool isDue = mHasUnstoredSnapshot
                 ? now >= mNextStoreAt
                 : IsCompactionDue(LogUsage(now), mConfig.mLog);
  if (isDue) {
    Compact(now);
  }
}

void
control_group::Compact(steady_time aNow)
{
  log_index applied = mState.Index();
  if (applied > mNode.Snapshot().mIndex) {
    mNode.Compact(applied, mHooks.mEncodeState(mState));
  }
  // If storing fails, the log on disk still holds the same state.
  mHasUnstoredSnapshot =
    !mHooks.mStoreSnapshot(mNode.Snapshot(), mNode.HardState(), mNode.Log());
  mNextStoreAt = aNow + kStoreRetryInterval;
  log_event(mHasUnstoredSnapshot ? "snapshot_not_stored" : "snapshot_made")
    .Add("index", applied)
    .Add("bytes", mNode.Snapshot().mState.size());
}

void
control_group::UpdateStatus()
{
  steady_time now = mHooks.mSteadyNow();
  std::vector<raft_peer> peers = mNode.CommittedPeers();
  bool isLeading = mNode.Role() == raft_role::Leader;
  raft_strength strength = isLeading ? mNode.Strength(now) : raft_strength{};
  LogMembers(peers);
  LogStrength(strength);
  std::lock_guard guard(mStateLock);
  mStatus.mRole = mNode.Role();
  mStatus.mTerm = mNode.Term();
  mStatus.mLeader = mNode.Leader().mHost;
  mStatus.mRound = mNode.LatestRound();
  mStatus.mSelf = mNode.Self();
  mStatus.mCommit = mNode.CommitIndex();
  mStatus.mApplied = mState.Index();
  mStatus.mPeers = std::move(peers);
  mStatus.mStrength = strength;
  mStatus.mClaims = mState.ClaimCount();
  mStatus.mServers = mState.ServerCount();
  mStatus.mIsEmpty = mNode.LastIndex() == 0 && mNode.Term() == 0;
  mStatus.mActiveHosts = mNode.ActiveHosts(now);
}

void
control_group::LogMembers(const std::vector<raft_peer>& aPeers)
{
  if (aPeers == mLoggedPeers) {
    return;
  }
  auto voters = std::count_if(aPeers.begin(),
                              aPeers.end(),
                              [](const auto& aPeer) { return aPeer.mIsVoter; });
  for (const member_change& change : CompareMembers(mLoggedPeers, aPeers)) {
    log_event("member_changed")
      .Add("member", change.mMember.mHost.mValue)
      .Add("disk", change.mMember.mDisk.mValue)
      .Add("change", NameOf(change.mKind))
      .Add("voters", voters)
      .Add("members", aPeers.size())
      .Add("term", mNode.Term())
      .Add("commit", mNode.CommitIndex());
  }
  mLoggedPeers = aPeers;
}

void
control_group::LogStrength(const raft_strength& aStrength)
{
  if (aStrength == mLoggedStrength) {
    return;
  }
  mLoggedStrength = aStrength;
  if (mNode.Role() != raft_role::Leader) {
    return;
  }
  bool isAtRisk = aStrength.mVoters > 1 && aStrength.Spare() == 0;
  log_event("group_strength",
            isAtRisk ? log_event::severity::Warning : log_event::severity::Info)
    .Add("voters", aStrength.mVoters)
    .Add("reachable", aStrength.mReachableVoters)
    .Add("quorum", aStrength.mQuorum)
    .Add("spare", aStrength.Spare())
    .Add("learners", aStrength.mLearners)
    .Add("term", mNode.Term());
}

group_contact
control_group::ContactOf(steady_time aNow) const
{
  if (!mNode.IsCutOff(aNow)) {
    return group_contact::InTouch;
  }
  return mNode.IsVoter(mNode.Self()) ? group_contact::CutOff
                                     : group_contact::Joining;
}

void
control_group::SetContact(group_contact aContact)
{
  if (aContact == mContact) {
    return;
  }
  mContact = aContact;
  {
    std::lock_guard guard(mStateLock);
    mStatus.mContact = aContact;
  }
  log_event("group_contact")
    .Add("contact", NameOf(aContact))
    .Add("term", mNode.Term())
    .Add("leader", mNode.Leader().mHost.mValue)
    .Add("commit", mNode.CommitIndex());
  if (mHooks.mOnContactChanged) {
    mHooks.mOnContactChanged(aContact);
  }
}

control_group_status
control_group::Status() const
{
  std::lock_guard guard(mStateLock);
  return mStatus;
}

host_id
control_group::Leader() const
{
  std::lock_guard guard(mStateLock);
  return mStatus.mLeader;
}

group_contact
control_group::Contact() const
{
  std::lock_guard guard(mStateLock);
  return mStatus.mContact;
}

std::pair<log_index, std::vector<record_change>>
control_group::Records() const
{
  std::lock_guard guard(mStateLock);
  return { mState.Index(), mState.Records() };
}

}
