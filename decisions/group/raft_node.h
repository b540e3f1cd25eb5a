#pragma once

#include "core/failure.h"
#include "decisions/group/entry_log.h"
#include "decisions/group/raft_membership.h"
#include "decisions/group/raft_types.h"

#include <map>
#include <random>
#include <set>

namespace hibiscusspool {

struct raft_config
{
  raft_peer_id mSelf;
  /** Configured hosts that may be members. */
  std::set<host_id> mKnownHosts;
  /** Any host may join; `mKnownHosts` are only the hosts to contact first, to
   * which those that address an earlier disk of this host are added. */
  bool mAllowsAnyHost = false;
  milliseconds mHeartbeatInterval{ 100 };
  /** An election starts after one to two time-outs without a leader. */
  milliseconds mElectionTimeout{ 1000 };
  std::uint64_t mSeed = 0;
};

/** The state in storage at start. */
struct raft_persistent_state
{
  raft_hard_state mHardState;
  raft_snapshot mSnapshot;
  std::vector<raft_entry> mEntries;
};

enum class raft_error
{
  BadConfig,
  BadLog,
  NotLeader,
};

template<>
inline constexpr name_table<raft_error, 3> kNames<raft_error>{ {
  { raft_error::BadConfig, "bad_config" },
  { raft_error::BadLog, "bad_log" },
  { raft_error::NotLeader, "not_leader" },
} };

/** The position of a payload in the log. */
struct raft_position
{
  raft_term mTerm = 0;
  log_index mIndex = 0;
};

/**
 * One member of a Raft group as a state machine without I/O: it takes events
 * and the current time, and returns actions; sockets, storage and locks are up
 * to the caller. Supports pre-vote, check-quorum, learners, changes of one
 * voter at a time, snapshots, read index and leadership transfer.
 */
class raft_node
{
  struct progress
  {
    log_index mMatch = 0;
    log_index mNext = 1;
    steady_time mLastContact;
    steady_time mSnapshotSentAt;
    bool mHasReplied = false;
    /** The latest heartbeat round that it has replied to. */
    std::uint64_t mRound = 0;
    /** The peer lacks entries, which are sent one message at a time. */
    bool mIsProbing = false;
    /**
     * Index before the first entry and index of the last entry of the message
     * that is in flight to a probed peer; 0 for none.
     */
    log_index mInFlightPrevious = 0;
    log_index mInFlightLast = 0;
    steady_time mInFlightSentAt;
  };

  struct pending_read
  {
    raft_peer_id mFrom;
    std::uint64_t mToken = 0;
    /** The heartbeat round whose replies confirm the read. */
    std::uint64_t mRound = 0;
  };

  /**
   * Heartbeats are more frequent by this factor during a leader's first
   * election time-out.
   */
  static constexpr int kNewLeaderHeartbeatFactor = 5;
  /** Interval between the join requests of a host that is no member, or may not
   * be one any more. */
  static constexpr milliseconds kJoinInterval{ 1000 };
  /** Maximum number of join requests that wait. */
  static constexpr std::size_t kMaxJoining = 16;

  raft_config mConfig;
  std::mt19937_64 mRandom;
  raft_hard_state mHardState;
  raft_snapshot mSnapshot;
  entry_log mLog;
  std::vector<raft_peer> mPeers;
  log_index mPeersIndex = 0;
  log_index mCommit = 0;
  log_index mDeliveredIndex = 0;
  log_index mFirstUnpersisted = 0;

  raft_role mRole = raft_role::Follower;
  raft_peer_id mLeader;
  /** The latest leader whose messages arrived. */
  raft_peer_id mLastLeader;
  steady_time mElectionDue;
  steady_time mHeartbeatDue;
  /** When the latest heartbeat was sent. */
  steady_time mLastHeartbeatAt;
  steady_time mLeaderSince;
  steady_time mJoinDue;
  steady_time mLeaderContactAt;
  steady_time mStartedAt;
  /** The latest heartbeat round of the leader that this member follows. */
  std::uint64_t mHeardRound = 0;
  std::set<raft_peer_id> mGrantedVotes;
  std::map<raft_peer_id, progress> mProgress;
  /** Failure domains of hosts, as far as known. */
  std::map<host_id, failure_domain_id> mDomains;
  /** When this leader last gave or took a vote. */
  steady_time mVotersChangedAt;
  /** Hosts that asked this leader to join and are not members yet. */
  std::set<raft_peer_id> mJoining;
  std::uint64_t mRound = 0;
  std::vector<pending_read> mPendingReads;
  bool mBroadcastsCommit = false;

  raft_actions mActions;

  raft_node(raft_config aConfig,
            raft_persistent_state aPersisted,
            steady_time aNow);

  [[nodiscard]] log_index FirstIndex() const { return mSnapshot.mIndex + 1; }
  [[nodiscard]] const raft_entry& EntryAt(log_index aIndex) const
  {
    return mLog.Entries()[aIndex - FirstIndex()];
  }
  [[nodiscard]] std::optional<raft_term> TermAt(log_index aIndex) const;
  [[nodiscard]] std::size_t VoterCount() const;
  [[nodiscard]] std::size_t Quorum() const;
  [[nodiscard]] bool IsUpToDate(const raft_message& aVote) const;
  [[nodiscard]] bool HasActiveLeader(steady_time aNow) const;
  [[nodiscard]] bool HasCommittedInTerm() const;
  [[nodiscard]] bool CanChangePeers() const;

  void Send(raft_message aMessage);
  void Reply(const raft_message& aRequest, raft_message aMessage);
  /** Schedules the next election after a random time of one to two `aMin`. */
  void SetElectionDue(milliseconds aMin, steady_time aNow);
  /** Schedules the next election while no leader is known. */
  void SetRetryDue(steady_time aNow);
  void SetTerm(raft_term aTerm);
  void BecomeFollower(raft_term aTerm,
                      const raft_peer_id& aLeader,
                      steady_time aNow);
  void StartPreVote(steady_time aNow);
  void StartElection(bool aIsTransfer, steady_time aNow);
  void RequestVotes(raft_message_kind aKind, bool aIsTransfer);
  void BecomeLeader(steady_time aNow);
  void AppendToLog(raft_entry aEntry);
  void UpdatePeers();
  void SendAppend(const raft_peer_id& aPeer, steady_time aNow);
  /** True for this member, and for a peer that replied within the last election
   * time-out. */
  [[nodiscard]] bool IsReachable(const raft_peer_id& aPeer,
                                 steady_time aNow) const;
  /** Initial progress of a peer that has not replied yet. */
  [[nodiscard]] progress MakeProgress(steady_time aNow) const;
  [[nodiscard]] static bool IsInFlight(const progress& aState,
                                       steady_time aNow);
  void SendSnapshot(const raft_peer_id& aPeer, steady_time aNow);
  void OnAppendRefused(const raft_message& aMessage,
                       progress& aState,
                       steady_time aNow);
  void Broadcast(steady_time aNow);
  void AdvanceCommit();
  void DeliverCommitted();
  void ConfirmReads();
  void TickLeader(steady_time aNow);
  void TickNonLeader(steady_time aNow);
  /** Changes the members where `NextMembers` says so. */
  void ManagePeers(steady_time aNow);
  void ChangePeers(std::vector<raft_peer> aPeers, steady_time aNow);
  void RequestJoin(steady_time aNow);
  void ForwardJoin(const raft_message& aMessage);
  /** Adds the hosts that have asked to join as learners. */
  void AddLearners(steady_time aNow);
  void ReplyToStale(const raft_message& aMessage);

  void OnPreVote(const raft_message& aMessage, steady_time aNow);
  void OnVote(const raft_message& aMessage, steady_time aNow);
  void OnVoteReply(const raft_message& aMessage, steady_time aNow);
  /** Follows the sender of a message that only leaders send. */
  void OnLeaderMessage(const raft_message& aMessage, steady_time aNow);
  void OnAppend(const raft_message& aMessage, steady_time aNow);
  void StoreEntries(const raft_message& aMessage);
  void OnAppendReply(const raft_message& aMessage, steady_time aNow);
  void OnSnapshot(const raft_message& aMessage, steady_time aNow);
  void OnReadIndex(const raft_message& aMessage);
  void OnJoin(const raft_message& aMessage, steady_time aNow);

public:
  /**
   * Creates a member from its configuration and persistent state.
   * Errors: `BadConfig` without a host or disk id, `BadLog` if entries have
   * gaps.
   */
  static result<raft_node, raft_error> Create(raft_config aConfig,
                                              raft_persistent_state aPersisted,
                                              steady_time aNow);

  /** Forms the group; called on one host only, with all initial voters. */
  void Bootstrap(std::vector<raft_peer> aVoters, steady_time aNow);
  /** Processes a message from another member. */
  void Step(const raft_message& aMessage, steady_time aNow);
  /** Advances time; to be called at least once per heartbeat interval. */
  void Tick(steady_time aNow);
  /** Appends a payload if this member is the leader. */
  result<raft_position, raft_error> Propose(std::string aPayload,
                                            steady_time aNow);
  /** Requests a confirmed read; without a leader, the token is dropped. */
  void RequestRead(std::uint64_t aToken);
  /** Replaces the hosts that a host without a group contacts first. */
  void SetKnownHosts(std::set<host_id> aHosts);
  /** Replaces what is known of the hosts' failure domains. */
  void SetFailureDomains(std::map<host_id, failure_domain_id> aDomains);
  /** Transfers leadership to another voter, preferably not on these hosts. */
  void TransferLeadership(const std::set<host_id>& aAvoid, steady_time aNow);
  /** Replaces the log up to an applied index with the state at that index. */
  void Compact(log_index aIndex, std::string aState);
  /** When `Tick` is due next. */
  [[nodiscard]] steady_time NextDue() const;
  /** The actions that have accumulated since the last call. */
  raft_actions TakeActions();

  [[nodiscard]] raft_role Role() const { return mRole; }
  [[nodiscard]] raft_term Term() const { return mHardState.mTerm; }
  [[nodiscard]] const raft_peer_id& Leader() const { return mLeader; }
  [[nodiscard]] const raft_peer_id& Self() const { return mConfig.mSelf; }
  [[nodiscard]] const std::vector<raft_peer>& Peers() const { return mPeers; }
  [[nodiscard]] bool IsMember(const raft_peer_id& aId) const;
  [[nodiscard]] bool IsVoter(const raft_peer_id& aId) const;
  /** The members according to the latest committed list. */
  [[nodiscard]] std::vector<raft_peer> CommittedPeers() const;
  [[nodiscard]] const raft_hard_state& HardState() const { return mHardState; }
  [[nodiscard]] log_index CommitIndex() const { return mCommit; }
  [[nodiscard]] log_index LastIndex() const
  {
    return mSnapshot.mIndex + mLog.Count();
  }
  [[nodiscard]] const raft_snapshot& Snapshot() const { return mSnapshot; }
  /** This member has had no contact to a leader, or to a majority as leader,
   * for longer than an election normally takes. */
  [[nodiscard]] bool IsCutOff(steady_time aNow) const;
  /** This host and those that replied within the last election time-out. */
  [[nodiscard]] std::set<host_id> ActiveHosts(steady_time aNow) const;
  /** The members as this leader sees them; not for other roles. */
  [[nodiscard]] raft_strength Strength(steady_time aNow) const;
  [[nodiscard]] std::uint64_t HeartbeatRound() const { return mRound; }
  /** The latest heartbeat round of this leader, or of the leader that this
   * member follows. */
  [[nodiscard]] std::uint64_t LatestRound() const
  {
    return mRole == raft_role::Leader ? mRound : mHeardRound;
  }
  /** The log after the snapshot. */
  [[nodiscard]] const std::deque<raft_entry>& Log() const
  {
    return mLog.Entries();
  }
  /** Bytes of the payloads of the log after the snapshot. */
  [[nodiscard]] std::uint64_t LogBytes() const { return mLog.Bytes(); }
  /** Committed entries are left, since actions deliver a limited number of
   * bytes at a time. */
  [[nodiscard]] bool HasUndelivered() const
  {
    return mDeliveredIndex < mCommit;
  }
  /** False if this leader knows of a member that can be reached and lacks an
   * entry up to this index. */
  [[nodiscard]] bool IsReplicated(log_index aIndex, steady_time aNow) const;
};

}
