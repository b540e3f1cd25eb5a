#pragma once

#include "core/failure.h"
#include "decisions/control_state.h"
#include "decisions/raft_node.h"

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

/** The answer to a proposal; a proposal that is not judged may be sent again.
 */
struct propose_result
{
  propose_status mStatus = propose_status::NotLeader;
  host_id mLeader;
  std::vector<change_outcome> mOutcomes;
};

using propose_callback = std::function<void(propose_result)>;
using read_callback = std::function<void(log_index)>;

/** What the group needs from the layers above; none is called under a lock. */
struct control_group_hooks
{
  std::function<steady_time()> mSteadyNow;
  std::function<wall_ms()> mWallNow;
  std::function<std::string(const change_command&)> mEncodeCommand;
  std::function<std::optional<change_command>(const std::string&)>
    mDecodeCommand;
  std::function<std::string(const control_state&)> mEncodeState;
  std::function<std::optional<control_state>(const std::string&)> mDecodeState;
  /** Syncs hard state and entries; false when the disk failed. */
  std::function<bool(const raft_actions&)> mPersist;
  std::function<bool(const raft_snapshot&,
                     const raft_hard_state&,
                     const std::deque<raft_entry>&)>
    mStoreSnapshot;
  std::function<void(std::vector<raft_message>)> mSend;
  /** Hands on the facts of one applied entry. */
  std::function<void(log_index, std::vector<record_change>)> mPublish;
  /** Tells that the facts were replaced as a whole. */
  std::function<void(log_index)> mOnStateReplaced;
  /** This member began or ceased to lead, and the status says so. */
  std::function<void()> mOnRoleChanged;
};

struct control_group_config
{
  raft_config mRaft;
  control_limits mLimits;
  failure_domain_id mFailureDomain;
  /** Entries in the log before a snapshot takes their place. */
  log_index mSnapshotThreshold = 4096;
  std::size_t mMaxPending = 20'000;
};

struct control_group_status
{
  raft_role mRole = raft_role::Follower;
  raft_term mTerm = 0;
  host_id mLeader;
  raft_peer_id mSelf;
  log_index mCommit = 0;
  log_index mApplied = 0;
  std::vector<raft_peer> mPeers;
  std::size_t mClaims = 0;
  std::size_t mServers = 0;
  /** The member holds nothing and has never voted. */
  bool mIsEmpty = false;
  /** Control hosts that this leader has heard lately, with itself. */
  std::set<host_id> mActiveHosts;
};

enum class group_error
{
  BadStart,
  BadSnapshot,
};

template<>
inline constexpr name_table<group_error, 2> kNames<group_error>{ {
  { group_error::BadStart, "bad_start" },
  { group_error::BadSnapshot, "bad_snapshot" },
} };

/**
 * A control host's part in the replicated log. Its own thread takes events
 * from a queue, lets `raft_node` decide, persists once for all of them
 * (grouped commit), sends, applies, and answers.
 */
class control_group
{
  struct propose_event
  {
    change_command mCommand;
    propose_callback mReply;
  };
  struct receive_event
  {
    std::vector<raft_message> mMessages;
  };
  struct confirm_event
  {
    read_callback mReply;
  };
  struct bootstrap_event
  {
    std::vector<raft_peer> mVoters;
  };
  struct transfer_event
  {};
  using event = std::variant<propose_event,
                             receive_event,
                             confirm_event,
                             bootstrap_event,
                             transfer_event>;

  struct pending_proposal
  {
    raft_term mTerm = 0;
    propose_callback mReply;
  };
  struct pending_confirm
  {
    steady_time mAskedAt;
    read_callback mReply;
  };

  control_group_config mConfig;
  control_group_hooks mHooks;

  std::mutex mQueueLock;
  std::condition_variable mQueueFilled;
  std::vector<event> mQueue;
  bool mIsStopping = false;
  /** The disk refuses writes: no proposals and no messages are taken. */
  bool mIsStalled = false;

  mutable std::mutex mStateLock;
  control_state mState;
  control_group_status mStatus;

  // All below belongs to the thread that runs the group.
  raft_node mNode;
  std::map<log_index, pending_proposal> mProposals;
  std::map<std::uint64_t, pending_confirm> mConfirms;
  std::multimap<log_index, read_callback> mReadyConfirms;
  std::multimap<std::string, propose_callback> mClaimWaiters;
  std::uint64_t mNextToken = 1;
  /** The leader that the waiting confirmations were sent to. */
  raft_peer_id mAskedLeader;
  bool mIsLeader = false;
  steady_time mTransferDue;

  control_group(control_group_config aConfig,
                control_group_hooks aHooks,
                control_state aState,
                raft_node aNode);

  void Push(event aEvent);
  void Handle(propose_event& aEvent, steady_time aNow);
  void Handle(receive_event& aEvent, steady_time aNow);
  void Handle(confirm_event& aEvent, steady_time aNow);
  void Handle(bootstrap_event& aEvent, steady_time aNow);
  void Handle(transfer_event& aEvent, steady_time aNow);
  bool IsStopping();
  void BeginStall();
  /** Tries until the disk takes it; false when the group stops meanwhile. */
  bool WriteUntilTaken(const std::function<bool()>& aWrite);
  bool Carry(raft_actions aActions);
  bool Install(const raft_snapshot& aSnapshot);
  void Apply(const raft_entry& aEntry);
  void Answer(const raft_entry& aEntry, change_effects& aEffects);
  void AnswerClaimWaiters(const std::vector<std::string>& aSettled);
  void AnswerConfirms(const std::vector<raft_confirmed_read>& aReads);
  void AnswerReadyConfirms();
  void RetryConfirms(steady_time aNow);
  /** True when this member began or ceased to lead. */
  bool NoteRole();
  void AnswerAllAtEnd();
  void FailProposals();
  void LeaveIfOut(steady_time aNow);
  void CompactIfLong();
  void UpdateStatus();

public:
  control_group(const control_group&) = delete;
  control_group& operator=(const control_group&) = delete;

  static result<std::unique_ptr<control_group>, group_error> Create(
    control_group_config aConfig,
    control_group_hooks aHooks,
    raft_persistent_state aPersisted,
    steady_time aNow);

  /** Has a command judged; the reply comes once it is committed and applied. */
  void Propose(change_command aCommand, propose_callback aReply);
  void Receive(std::vector<raft_message> aMessages);
  /** Replies once this host has applied all that was committed before. */
  void ReadBarrier(read_callback aReply);
  void Bootstrap(std::vector<raft_peer> aVoters);
  /** Hands leadership to another member, if this one has it. */
  void TransferLeadership();

  /**
   * Runs until `Stop`, and waits while the disk refuses writes. Fails when a
   * leader sends a snapshot that can't be decoded.
   */
  result<void, group_error> Run();
  void Stop();

  [[nodiscard]] control_group_status Status() const;
  /** True while this member hears a leader or is it. */
  [[nodiscard]] bool KnowsLeader() const;
  /** The index and the facts that are applied now. */
  [[nodiscard]] std::pair<log_index, std::vector<record_change>> Records()
    const;
  /** Runs `aBody(const control_state&)` under the state's lock. */
  template<typename body>
  auto ReadState(body&& aBody) const
  {
    std::lock_guard guard(mStateLock);
    return std::forward<body>(aBody)(mState);
  }
};

}
