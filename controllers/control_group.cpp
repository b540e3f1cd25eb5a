#include "controllers/control_group.h"

#include "core/log_event.h"

#include <memory>

namespace hibiscusspool {

namespace {

constexpr milliseconds kConfirmRetry{ 400 };
constexpr milliseconds kTransferInterval{ 5000 };
/** A full disk is tried again after this time; a write that fails is cheap. */
constexpr milliseconds kDiskRetry{ 100 };

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
      return Fail(group_error::BadStart, "The snapshot can't be decoded.");
    }
    state = std::move(*decoded);
  }
  auto node = raft_node::Create(aConfig.mRaft, std::move(aPersisted), aNow);
  if (!node) {
    return Fail(group_error::BadStart, node.error().mDetail);
  }
  return std::unique_ptr<control_group>(
    new control_group(std::move(aConfig),
                      std::move(aHooks),
                      std::move(state),
                      std::move(node.value())));
}

void
control_group::Push(event aEvent)
{
  {
    std::lock_guard guard(mQueueLock);
    mQueue.push_back(std::move(aEvent));
  }
  mQueueFilled.notify_one();
}

void
control_group::Propose(change_command aCommand, propose_callback aReply)
{
  {
    std::lock_guard guard(mQueueLock);
    if (!mIsStopping && !mIsStalled && mQueue.size() < mConfig.mMaxPending) {
      mQueue.emplace_back(
        propose_event{ std::move(aCommand), std::move(aReply) });
      mQueueFilled.notify_one();
      return;
    }
  }
  aReply({ propose_status::Busy, {}, {} });
}

void
control_group::Receive(std::vector<raft_message> aMessages)
{
  std::lock_guard guard(mQueueLock);
  // Messages may be lost; their senders repeat what still matters.
  if (!mIsStalled) {
    mQueue.emplace_back(receive_event{ std::move(aMessages) });
    mQueueFilled.notify_one();
  }
}

void
control_group::ReadBarrier(read_callback aReply)
{
  Push(confirm_event{ std::move(aReply) });
}

void
control_group::Bootstrap(std::vector<raft_peer> aVoters)
{
  Push(bootstrap_event{ std::move(aVoters) });
}

void
control_group::TransferLeadership()
{
  Push(transfer_event{});
}

void
control_group::Stop()
{
  {
    std::lock_guard guard(mQueueLock);
    mIsStopping = true;
  }
  mQueueFilled.notify_one();
}

result<void, group_error>
control_group::Run()
{
  while (true) {
    std::vector<event> events;
    steady_time confirmsDue = mHooks.mSteadyNow() + kConfirmRetry;
    {
      std::unique_lock guard(mQueueLock);
      mQueueFilled.wait_until(guard,
                              std::min(mNode.NextDue(), confirmsDue),
                              [&] { return !mQueue.empty() || mIsStopping; });
      if (mIsStopping) {
        break;
      }
      events.swap(mQueue);
    }
    steady_time now = mHooks.mSteadyNow();
    for (event& next : events) {
      std::visit([&](auto& aEvent) { Handle(aEvent, now); }, next);
    }
    mNode.Tick(now);
    LeaveIfOut(now);
    RetryConfirms(now);
    bool isCarried = Carry(mNode.TakeActions());
    if (!isCarried && IsStopping()) {
      break;
    }
    if (!isCarried) {
      return Fail(group_error::BadSnapshot,
                  "The leader's snapshot can't be decoded.");
    }
    CompactIfLong();
    bool roleChanged = NoteRole();
    UpdateStatus();
    if (roleChanged) {
      mHooks.mOnRoleChanged();
    }
  }
  AnswerAllAtEnd();
  return boost::outcome_v2::success();
}

void
control_group::AnswerAllAtEnd()
{
  std::vector<event> events;
  {
    std::lock_guard guard(mQueueLock);
    events.swap(mQueue);
  }
  for (event& next : events) {
    if (auto* proposal = std::get_if<propose_event>(&next)) {
      proposal->mReply({ propose_status::NotLeader, {}, {} });
    }
  }
  FailProposals();
}

void
control_group::FailProposals()
{
  host_id leader = mNode.Leader().mHost;
  for (auto& [index, proposal] : std::exchange(mProposals, {})) {
    proposal.mReply({ propose_status::NotLeader, leader, {} });
  }
  for (auto& [name, reply] : std::exchange(mClaimWaiters, {})) {
    reply({ propose_status::NotLeader, leader, {} });
  }
}

void
control_group::Handle(propose_event& aEvent, steady_time aNow)
{
  aEvent.mCommand.mProposedAt = mHooks.mWallNow();
  bool isFull = mProposals.size() >= mConfig.mMaxPending;
  if (isFull) {
    aEvent.mReply({ propose_status::Busy, {}, {} });
    return;
  }
  auto position = mNode.Propose(mHooks.mEncodeCommand(aEvent.mCommand), aNow);
  if (!position) {
    aEvent.mReply({ propose_status::NotLeader, mNode.Leader().mHost, {} });
    return;
  }
  mProposals[position.value().mIndex] = { position.value().mTerm,
                                          std::move(aEvent.mReply) };
}

void
control_group::Handle(receive_event& aEvent, steady_time aNow)
{
  for (const raft_message& message : aEvent.mMessages) {
    mNode.Step(message, aNow);
  }
}

void
control_group::Handle(confirm_event& aEvent, steady_time aNow)
{
  std::uint64_t token = mNextToken++;
  mConfirms[token] = { aNow, std::move(aEvent.mReply) };
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

bool
control_group::IsStopping()
{
  std::lock_guard guard(mQueueLock);
  return mIsStopping;
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
        refused.push_back(std::move(proposal->mReply));
      } else if (!std::holds_alternative<receive_event>(next)) {
        kept.push_back(std::move(next));
      }
    }
    mQueue = std::move(kept);
  }
  {
    std::lock_guard guard(mStateLock);
    mStatus.mRole = raft_role::Follower;
    mStatus.mLeader = {};
  }
  for (const propose_callback& reply : refused) {
    reply({ propose_status::Busy, {}, {} });
  }
  // What was appended may be committed later; its caller has to ask again.
  FailProposals();
}

bool
control_group::WriteUntilTaken(const std::function<bool()>& aWrite)
{
  if (aWrite()) {
    return true;
  }
  steady_time since = mHooks.mSteadyNow();
  BeginStall();
  // Nothing may leave this host that rests on what isn't written, so that it
  // is silent meanwhile and the others elect another leader.
  bool isWritten = false;
  while (!isWritten) {
    {
      std::unique_lock guard(mQueueLock);
      if (mQueueFilled.wait_for(
            guard, kDiskRetry, [&] { return mIsStopping; })) {
        return false;
      }
    }
    isWritten = aWrite();
  }
  {
    std::lock_guard guard(mQueueLock);
    mIsStalled = false;
  }
  auto lasted =
    std::chrono::duration_cast<milliseconds>(mHooks.mSteadyNow() - since);
  log_event("disk_regained").Add("stalled_ms", lasted.count());
  return true;
}

bool
control_group::Carry(raft_actions aActions)
{
  if (aActions.mInstallSnapshot && !Install(*aActions.mInstallSnapshot)) {
    return false;
  }
  if (!WriteUntilTaken([&] { return mHooks.mPersist(aActions); })) {
    return false;
  }
  if (!aActions.mMessages.empty()) {
    mHooks.mSend(std::move(aActions.mMessages));
  }
  for (const raft_entry& entry : aActions.mCommitted) {
    Apply(entry);
  }
  AnswerConfirms(aActions.mReads);
  AnswerReadyConfirms();
  return true;
}

bool
control_group::Install(const raft_snapshot& aSnapshot)
{
  auto state = mHooks.mDecodeState(aSnapshot.mState);
  if (!state) {
    log_event("snapshot_refused", log_event::severity::Error)
      .Add("index", aSnapshot.mIndex);
    return false;
  }
  // The tail comes with the actions that follow; the vote must not be lost.
  if (!WriteUntilTaken([&] {
        return mHooks.mStoreSnapshot(aSnapshot, mNode.HardState(), {});
      })) {
    return false;
  }
  {
    std::lock_guard guard(mStateLock);
    mState = std::move(*state);
  }
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
  Answer(aEntry, effects);
  AnswerClaimWaiters(settled);
}

void
control_group::Answer(const raft_entry& aEntry, change_effects& aEffects)
{
  auto found = mProposals.find(aEntry.mIndex);
  if (found == mProposals.end()) {
    return;
  }
  pending_proposal proposal = std::move(found->second);
  mProposals.erase(found);
  if (proposal.mTerm != aEntry.mTerm) {
    proposal.mReply({ propose_status::NotLeader, mNode.Leader().mHost, {} });
    return;
  }
  bool waits = aEffects.mOutcomes.size() == 1 &&
               aEffects.mOutcomes[0].mVerdict == change_verdict::InProgress;
  if (waits) {
    auto command = mHooks.mDecodeCommand(aEntry.mPayload);
    const auto* wish = std::get_if<claim_record>(&command->mChanges.front());
    mClaimWaiters.emplace(ClaimName(wish->mTeam, wish->mKey),
                          std::move(proposal.mReply));
    return;
  }
  proposal.mReply(
    { propose_status::Applied, {}, std::move(aEffects.mOutcomes) });
}

void
control_group::AnswerClaimWaiters(const std::vector<std::string>& aSettled)
{
  for (const std::string& name : aSettled) {
    // A released claim has no record; the waiter then asks for it anew.
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
control_group::AnswerConfirms(const std::vector<raft_confirmed_read>& aReads)
{
  for (const raft_confirmed_read& read : aReads) {
    auto found = mConfirms.find(read.mToken);
    if (found == mConfirms.end()) {
      continue;
    }
    mReadyConfirms.emplace(read.mIndex, std::move(found->second.mReply));
    mConfirms.erase(found);
  }
}

void
control_group::AnswerReadyConfirms()
{
  // The state's index belongs to this thread, which alone changes it.
  log_index applied = mState.Index();
  auto end = mReadyConfirms.upper_bound(applied);
  for (auto ready = mReadyConfirms.begin(); ready != end; ++ready) {
    ready->second(ready->first);
  }
  mReadyConfirms.erase(mReadyConfirms.begin(), end);
}

void
control_group::RetryConfirms(steady_time aNow)
{
  // What was asked before this leader was known went nowhere.
  bool isNewLeader = mNode.Leader() != mAskedLeader;
  mAskedLeader = mNode.Leader();
  std::vector<std::uint64_t> stale;
  for (const auto& [token, confirm] : mConfirms) {
    if (isNewLeader || aNow - confirm.mAskedAt > kConfirmRetry) {
      stale.push_back(token);
    }
  }
  for (std::uint64_t token : stale) {
    // A fresh token, so that a late answer to the first one is no answer.
    auto node = mConfirms.extract(token);
    node.key() = mNextToken++;
    node.mapped().mAskedAt = aNow;
    mNode.RequestRead(node.key());
    mConfirms.insert(std::move(node));
  }
}

bool
control_group::NoteRole()
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
    // What was proposed may still be committed by the next leader; whoever
    // sends it again gets the first outcome.
    FailProposals();
  }
  return true;
}

void
control_group::LeaveIfOut(steady_time aNow)
{
  if (mNode.Role() != raft_role::Leader || aNow < mTransferDue) {
    return;
  }
  const auto& domains = mState.FailureDomains();
  auto own = domains.find(mConfig.mFailureDomain);
  if (own == domains.end() || own->second.mState == failure_domain_state::In) {
    return;
  }
  mTransferDue = aNow + kTransferInterval;
  mNode.TransferLeadership({}, aNow);
}

void
control_group::CompactIfLong()
{
  log_index applied = mState.Index();
  if (applied < mNode.Snapshot().mIndex + mConfig.mSnapshotThreshold) {
    return;
  }
  mNode.Compact(applied, mHooks.mEncodeState(mState));
  // Without it the disk still holds the log, which says the same.
  bool isStored =
    mHooks.mStoreSnapshot(mNode.Snapshot(), mNode.HardState(), mNode.Log());
  log_event(isStored ? "snapshot_made" : "snapshot_not_stored")
    .Add("index", applied);
}

void
control_group::UpdateStatus()
{
  steady_time now = mHooks.mSteadyNow();
  std::lock_guard guard(mStateLock);
  mStatus.mRole = mNode.Role();
  mStatus.mTerm = mNode.Term();
  mStatus.mLeader = mNode.Leader().mHost;
  mStatus.mSelf = mNode.Self();
  mStatus.mCommit = mNode.CommitIndex();
  mStatus.mApplied = mState.Index();
  mStatus.mPeers = mNode.CommittedPeers();
  mStatus.mClaims = mState.ClaimCount();
  mStatus.mServers = mState.ServerCount();
  mStatus.mIsEmpty = mNode.LastIndex() == 0 && mNode.Term() == 0;
  mStatus.mActiveHosts = mNode.ActiveHosts(now);
}

control_group_status
control_group::Status() const
{
  std::lock_guard guard(mStateLock);
  return mStatus;
}

bool
control_group::KnowsLeader() const
{
  std::lock_guard guard(mStateLock);
  return !mStatus.mLeader.IsEmpty();
}

std::pair<log_index, std::vector<record_change>>
control_group::Records() const
{
  std::lock_guard guard(mStateLock);
  return { mState.Index(), mState.Records() };
}

}
