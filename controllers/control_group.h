#pragma once

#include "core/failure.h"
#include "decisions/group/log_bounds.h"
#include "decisions/group/raft_node.h"
#include "decisions/group/round_history.h"
#include "decisions/state/control_state.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusspool {

enum class propose_status
{
  Applied,
  NotLeader,
  Busy,
};

template<>
inline constexpr name_table<propose_status, 3> kNames<propose_status>{ {
  { propose_status::Applied, "judged" },
  { propose_status::NotLeader, "not_leader" },
  { propose_status::Busy, "busy" },
} };

/** Whether a member can confirm anything. */
enum class group_contact
{
  InTouch,
  /** It has no vote yet, and no leader has reached it. */
  Joining,
  /** No leader reaches it. */
  CutOff,
  /** Its disk rejects writes. */
  Stalled,
};

template<>
inline constexpr name_table<group_contact, 4> kNames<group_contact>{ {
  { group_contact::InTouch, "in_touch" },
  { group_contact::Joining, "joining" },
  { group_contact::CutOff, "cut_off" },
  { group_contact::Stalled, "stalled" },
} };

/** The result of a proposal; one that was not applied may be repeated. */
struct propose_result
{
  propose_status mStatus = propose_status::NotLeader;
  host_id mLeader;
  std::vector<change_outcome> mOutcomes;
};

using propose_callback = std::function<void(propose_result)>;

/** How old a proposal may be that was sent by another control host. */
struct proposal_age
{
  /** The latest round of the leader that the sender had heard of. */
  leader_round mHeard;
  /** The longest time from that round to the proposal's arrival. */
  milliseconds mMax{ 0 };
};

using read_callback = std::function<void(log_index)>;

/** Hooks into the layers above; called without a lock held. */
struct control_group_hooks
{
  std::function<steady_time()> mSteadyNow;
  /** The steady time plus the time for which the machine was suspended; unset
   * if it never is. */
  std::function<steady_time()> mElapsedNow;
  std::function<wall_ms()> mWallNow;
  std::function<std::string(const change_command&)> mEncodeCommand;
  std::function<std::optional<change_command>(const std::string&)>
    mDecodeCommand;
  std::function<std::string(const control_state&)> mEncodeState;
  std::function<std::optional<control_state>(const std::string&)> mDecodeState;
  /** Syncs hard state and entries; false if the write failed. */
  std::function<bool(const raft_actions&)> mPersist;
  /** Stores a snapshot, the hard state and the log after the snapshot; false if
   * the write failed. */
  std::function<bool(const raft_snapshot&,
                     const raft_hard_state&,
                     const std::deque<raft_entry>&)>
    mStoreSnapshot;
  /** Bytes of the log on disk; unset if there is no disk to fill. */
  std::function<std::uint64_t()> mLogBytesOnDisk;
  std::function<void(std::vector<raft_message>)> mSend;
  /** Publishes the record changes of one applied entry. */
  std::function<void(log_index, std::vector<record_change>)> mPublish;
  /** The state was replaced by a snapshot. */
  std::function<void(log_index)> mOnStateReplaced;
  /** This member became or ceased to be leader; called after the status has
   * been updated. */
  std::function<void()> mOnRoleChanged;
  std::function<void(group_contact)> mOnContactChanged;
};

struct control_group_config
{
  raft_config mRaft;
  control_limits mLimits;
  failure_domain_id mFailureDomain;
  log_limits mLog;
  /** Maximum number of queued events, and also of proposals in progress. */
  std::size_t mMaxPending = 20'000;
};

struct control_group_status
{
  raft_role mRole = raft_role::Follower;
  raft_term mTerm = 0;
  host_id mLeader;
  raft_peer_id mSelf;
  /** The leader's latest heartbeat round that this member knows of. */
  std::uint64_t mRound = 0;
  log_index mCommit = 0;
  log_index mApplied = 0;
  std::vector<raft_peer> mPeers;
  /** The members as this leader sees them; zeros while it does not lead. */
  raft_strength mStrength;
  std::size_t mClaims = 0;
  std::size_t mServers = 0;
  /** The member has no log and has never voted. */
  bool mIsEmpty = false;
  group_contact mContact = group_contact::InTouch;
  /** Control hosts that answered this leader within the election time-out,
   * including itself. */
  std::set<host_id> mActiveHosts;
};

enum class group_error
{
  BadConfig,
  /** The stored snapshot or log can't be used. */
  BadLog,
};

template<>
inline constexpr name_table<group_error, 2> kNames<group_error>{ {
  { group_error::BadConfig, "bad_config" },
  { group_error::BadLog, "bad_log" },
} };

/**
 * A member of the control hosts' Raft group. Its own thread takes events from
 * a queue, passes them to `raft_node`, persists once for the whole batch
 * (group commit), then sends messages, applies entries and calls back.
 */
class control_group
{
  struct propose_event
  {
    change_command mCommand;
    propose_callback mCallback;
    steady_time mDeadline;
    std::optional<proposal_age> mAge;
  };
  struct receive_event
  {
    std::vector<raft_message> mMessages;
  };
  struct read_event
  {
    read_callback mCallback;
  };
  struct bootstrap_event
  {
    std::vector<raft_peer> mVoters;
  };
  struct transfer_event
  {};
  struct known_hosts_event
  {
    std::set<host_id> mHosts;
  };
  struct failure_domains_event
  {
    std::map<host_id, failure_domain_id> mDomains;
  };
  using event = std::variant<propose_event,
                             receive_event,
                             read_event,
                             bootstrap_event,
                             transfer_event,
                             known_hosts_event,
                             failure_domains_event>;

  struct pending_proposal
  {
    raft_term mTerm = 0;
    propose_callback mCallback;
  };
  struct pending_read
  {
    steady_time mRequestedAt;
    read_callback mCallback;
  };

  control_group_config mConfig;
  control_group_hooks mHooks;

  std::mutex mQueueLock;
  std::condition_variable mQueueChanged;
  std::vector<event> mQueue;
  /** Bytes of the messages in the queue. */
  std::uint64_t mReceivedBytes = 0;
  bool mIsStopping = false;
  /** The disk rejects writes: proposals and messages are not accepted. */
  bool mIsStalled = false;

  mutable std::mutex mStateLock;
  control_state mState;
  control_group_status mStatus;

  // The members below are accessed only by the thread that runs the group.
  raft_node mNode;
  round_history mRounds;
  std::map<log_index, pending_proposal> mProposals;
  std::map<std::uint64_t, pending_read> mPendingReads;
  /** Reads that wait until this member has applied the index. */
  std::multimap<log_index, read_callback> mConfirmedReads;
  /** Proposals of claims that another attempt holds, by claim name. */
  std::multimap<std::string, propose_callback> mClaimWaiters;
  /** States of the snapshots in the events at hand, by index. */
  std::map<log_index, control_state> mReceivedStates;
  std::uint64_t mNextToken = 1;
  /** The leader to which the pending reads were sent. */
  raft_peer_id mReadLeader;
  bool mIsLeader = false;
  group_contact mContact = group_contact::InTouch;
  /** The latest members and strength in the log. */
  std::vector<raft_peer> mLoggedPeers;
  raft_strength mLoggedStrength;
  steady_time mNextTransferAt;
  /** The node has compacted its log, but the snapshot is not on disk yet. */
  bool mHasUnstoredSnapshot = false;
  steady_time mNextStoreAt;
  steady_time mNextRefusalLogAt;

  control_group(control_group_config aConfig,
                control_group_hooks aHooks,
                control_state aState,
                raft_node aNode);

  void Enqueue(event aEvent);
  [[nodiscard]] steady_time ElapsedNow() const;
  /** True if a proposal waited so long that its sender has given up. */
  [[nodiscard]] bool IsOutdated(const propose_event& aEvent,
                                steady_time aNow) const;
  void Handle(propose_event& aEvent, steady_time aNow);
  void Handle(receive_event& aEvent, steady_time aNow);
  void Handle(read_event& aEvent, steady_time aNow);
  void Handle(bootstrap_event& aEvent, steady_time aNow);
  void Handle(transfer_event& aEvent, steady_time aNow);
  void Handle(known_hosts_event& aEvent, steady_time aNow);
  void Handle(failure_domains_event& aEvent, steady_time aNow);
  void BeginStall();
  /** Retries until the write succeeds; false if the group is stopped. */
  bool RetryUntilWritten(const std::function<bool()>& aWrite);
  /** False if the group is stopped meanwhile. */
  bool ExecuteActions(raft_actions aActions);
  /** Decodes the state of a snapshot message; true for other messages. */
  bool IsDecodable(const raft_message& aMessage);
  bool InstallSnapshot(const raft_snapshot& aSnapshot);
  void Apply(const raft_entry& aEntry);
  void CompleteProposal(const raft_entry& aEntry, change_effects& aEffects);
  void CompleteClaimWaiters(const std::vector<std::string>& aSettled);
  void ConfirmReads(const std::vector<raft_confirmed_read>& aReads);
  void CompleteReads();
  void RetryReads(steady_time aNow);
  /** True if this member became or ceased to be leader. */
  bool UpdateRole();
  void FailPendingOnStop();
  void FailProposals();
  void TransferIfDomainOut(steady_time aNow);
  [[nodiscard]] log_usage LogUsage(steady_time aNow) const;
  /** True if the log has room for a command; logs when it has none. */
  bool CheckRoom(std::uint64_t aBytes, steady_time aNow);
  void CompactIfDue();
  /** Replaces the applied entries by a snapshot, in memory and on disk. */
  void Compact(steady_time aNow);
  void UpdateStatus();
  /** Logs what has changed since the last call. */
  void LogMembers(const std::vector<raft_peer>& aPeers);
  void LogStrength(const raft_strength& aStrength);
  [[nodiscard]] group_contact ContactOf(steady_time aNow) const;
  /** Reports the contact if it has changed. */
  void SetContact(group_contact aContact);

public:
  control_group(const control_group&) = delete;
  control_group& operator=(const control_group&) = delete;

  static result<std::unique_ptr<control_group>, group_error> Create(
    control_group_config aConfig,
    control_group_hooks aHooks,
    raft_persistent_state aPersisted,
    steady_time aNow);

  /** Proposes a command; calls back once it is committed and applied. A command
   * that is still queued at the deadline, when its caller has given up, is
   * `Busy`: work for nobody would delay all that is queued behind it, and an
   * order that its operator has sent again elsewhere may undo a later one. The
   * same holds for one from another control host that is older than `aAge`
   * says. */
  void Propose(change_command aCommand,
               propose_callback aCallback,
               steady_time aDeadline = steady_time::max(),
               std::optional<proposal_age> aAge = std::nullopt);
  void Receive(std::vector<raft_message> aMessages);
  /** Linearizable read barrier: calls back once this host has applied all
   * entries that were committed before the call. */
  void ReadBarrier(read_callback aCallback);
  void Bootstrap(std::vector<raft_peer> aVoters);
  /** Replaces the hosts that this one asks to join, while it has no group. */
  void SetKnownHosts(std::set<host_id> aHosts);
  /** Replaces the known failure domains of control hosts, over which a leader
   * deals the votes. */
  void SetFailureDomains(std::map<host_id, failure_domain_id> aDomains);
  /** Transfers leadership to another member if this one is the leader. */
  void TransferLeadership();

  /** Runs until `Stop`, and waits while the disk rejects writes. */
  void Run();
  void Stop();

  [[nodiscard]] control_group_status Status() const;
  /** The leader, which may be this member; empty while none is known. */
  [[nodiscard]] host_id Leader() const;
  [[nodiscard]] bool KnowsLeader() const { return !Leader().IsEmpty(); }
  [[nodiscard]] group_contact Contact() const;
  /** The applied index and all records of the state. */
  [[nodiscard]] std::pair<log_index, std::vector<record_change>> Records()
    const;
  /** Calls `aBody(const control_state&)` under the state's lock. */
  template<typename body>
  auto ReadState(body&& aBody) const
  {
    std::lock_guard guard(mStateLock);
    return std::forward<body>(aBody)(mState);
  }
};

}
