#pragma once

#include "core/failure.h"
#include "decisions/raft_types.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace hibiscusspool {

struct raft_config
{
  raft_peer_id mSelf;
  /** Hosts that may be members, by the settings. */
  std::set<host_id> mKnownHosts;
  /** Any host may join; `mKnownHosts` are only those to ask first. */
  bool mAllowsAnyHost = false;
  /** A voter that is not heard for so long gives way to a newcomer in an open
   * group. */
  milliseconds mGiveWay{ 10'000 };
  milliseconds mHeartbeatInterval{ 100 };
  /** An election starts after one to two of these without a leader. */
  milliseconds mElectionTimeout{ 1000 };
  std::uint64_t mSeed = 0;
};

/** What the disk held at start. */
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

/** A payload's place in the log. */
struct raft_position
{
  raft_term mTerm = 0;
  log_index mIndex = 0;
};

/**
 * One member of the replicated log, as pure decisions: events go in with the
 * present time, and actions come out. It knows no sockets, disks or locks.
 * Raft with pre-vote, check-quorum, learners, one change of members at a
 * time, snapshots, read index and transfer of leadership.
 */
class raft_node
{
  struct progress
  {
    log_index mMatch = 0;
    log_index mNext = 1;
    steady_time mLastContact;
    steady_time mSnapshotSentAt;
    std::uint64_t mRound = 0;
    /** The peer lacks entries; they go out one message at a time. */
    bool mIsProbing = false;
    /** The entry before, and the last entry of, the message that is on its way
     * to a probed peer; 0 for none. */
    log_index mFlightBefore = 0;
    log_index mFlightEnd = 0;
    steady_time mFlightSentAt;
  };

  struct pending_read
  {
    raft_peer_id mFrom;
    std::uint64_t mToken = 0;
    /** The heartbeat round whose answers confirm the read. */
    std::uint64_t mRound = 0;
  };

  /** Heartbeats of a leader in its first election time-out are more frequent by
   * this factor. */
  static constexpr int kNewLeaderPace = 5;
  /** Pause between two requests of a host that is not a member yet. */
  static constexpr milliseconds kJoinInterval{ 1000 };

  raft_config mConfig;
  std::mt19937_64 mRandom;
  raft_hard_state mHardState;
  raft_snapshot mSnapshot;
  std::deque<raft_entry> mLog;
  std::vector<raft_peer> mPeers;
  log_index mPeersIndex = 0;
  log_index mCommit = 0;
  log_index mHandedOver = 0;
  log_index mPersistFrom = 0;

  raft_role mRole = raft_role::Follower;
  raft_peer_id mLeader;
  steady_time mElectionDue;
  steady_time mHeartbeatDue;
  /** When the latest heartbeat left. */
  steady_time mHeartbeatAt;
  steady_time mLeadsSince;
  steady_time mJoinDue;
  steady_time mLeaderSeenAt;
  std::set<raft_peer_id> mGrants;
  std::map<raft_peer_id, progress> mProgress;
  std::uint64_t mRound = 0;
  std::vector<pending_read> mPendingReads;
  bool mTellsCommit = false;

  raft_actions mActions;

  raft_node(raft_config aConfig,
            raft_persistent_state aPersisted,
            steady_time aNow);

  [[nodiscard]] log_index FirstIndex() const { return mSnapshot.mIndex + 1; }
  [[nodiscard]] const raft_entry& EntryAt(log_index aIndex) const
  {
    return mLog[aIndex - FirstIndex()];
  }
  [[nodiscard]] std::optional<raft_term> TermAt(log_index aIndex) const;
  [[nodiscard]] bool IsVoter(const raft_peer_id& aId) const;
  [[nodiscard]] std::size_t VoterCount() const;
  [[nodiscard]] std::size_t Quorum() const;
  [[nodiscard]] bool IsUpToDate(const raft_message& aVote) const;
  [[nodiscard]] bool HearsLeader(steady_time aNow) const;
  [[nodiscard]] bool HasCommittedInTerm() const;
  [[nodiscard]] bool CanChangePeers() const;

  void Send(raft_message aMessage);
  void Reply(const raft_message& aTo, raft_message aMessage);
  /** Sets the next try to once to twice this time from now. */
  void SetElectionDue(milliseconds aLeast, steady_time aNow);
  /** Sets the time of the next try while no leader is known. */
  void SetRetryDue(steady_time aNow);
  void SetTerm(raft_term aTerm);
  void BecomeFollower(raft_term aTerm,
                      const raft_peer_id& aLeader,
                      steady_time aNow);
  void StartPreVote(steady_time aNow);
  void StartElection(bool aIsTransfer, steady_time aNow);
  void AskForVotes(raft_message_kind aKind, bool aIsTransfer);
  void BecomeLeader(steady_time aNow);
  void AppendOwn(raft_entry aEntry);
  void FindPeers();
  void SendAppend(const raft_peer_id& aPeer, steady_time aNow);
  /** What is known of a peer that was not heard yet. */
  [[nodiscard]] progress MakeProgress(steady_time aNow) const;
  [[nodiscard]] static bool IsInFlight(const progress& aState,
                                       steady_time aNow);
  void SendSnapshot(const raft_peer_id& aPeer, steady_time aNow);
  void OnAppendRefused(const raft_message& aMessage,
                       progress& aState,
                       steady_time aNow);
  void Broadcast(steady_time aNow);
  void AdvanceCommit();
  void HandOver();
  void ConfirmReads();
  void TickLeader(steady_time aNow);
  void TickOther(steady_time aNow);
  void TendPeers(steady_time aNow);
  void ChangePeers(std::vector<raft_peer> aPeers, steady_time aNow);
  void AskToJoin(steady_time aNow);
  void PassJoinOn(const raft_message& aMessage);
  bool PromoteLearner(steady_time aNow);
  bool RemoveReplaced(steady_time aNow);
  bool RemoveSilent(steady_time aNow);
  void AnswerStale(const raft_message& aMessage);

  void OnPreVote(const raft_message& aMessage, steady_time aNow);
  void OnVote(const raft_message& aMessage, steady_time aNow);
  void OnVoteReply(const raft_message& aMessage, steady_time aNow);
  /** Follows the sender of what only a leader sends. */
  void HearLeader(const raft_message& aMessage, steady_time aNow);
  void OnAppend(const raft_message& aMessage, steady_time aNow);
  void StoreEntries(const raft_message& aMessage);
  void OnAppendReply(const raft_message& aMessage, steady_time aNow);
  void OnSnapshot(const raft_message& aMessage, steady_time aNow);
  void OnReadIndex(const raft_message& aMessage);
  void OnJoin(const raft_message& aMessage, steady_time aNow);

public:
  /**
   * Makes a member from its settings and its disk.
   * Errors: `BadConfig` without a name, `BadLog` when entries have gaps.
   */
  static result<raft_node, raft_error> Create(raft_config aConfig,
                                              raft_persistent_state aPersisted,
                                              steady_time aNow);

  /** Forms the group: only on one host, with all first members as voters. */
  void Bootstrap(std::vector<raft_peer> aVoters, steady_time aNow);
  /** Takes one message from another member. */
  void Step(const raft_message& aMessage, steady_time aNow);
  /** Lets time pass; call it at least each heartbeat. */
  void Tick(steady_time aNow);
  /** Appends a payload if this member leads. */
  result<raft_position, raft_error> Propose(std::string aPayload,
                                            steady_time aNow);
  /** Asks for a confirmed read; without a leader the token is dropped. */
  void RequestRead(std::uint64_t aToken);
  /** Hands leadership to another voter, by preference on none of the hosts. */
  void TransferLeadership(const std::set<host_id>& aAvoid, steady_time aNow);
  /** Puts the state at an applied index in place of the log up to it. */
  void Compact(log_index aIndex, std::string aState);
  /** When `Tick` has something to do next. */
  [[nodiscard]] steady_time NextDue() const;
  /** What is to be done since the last call. */
  raft_actions TakeActions();

  [[nodiscard]] raft_role Role() const { return mRole; }
  [[nodiscard]] raft_term Term() const { return mHardState.mTerm; }
  [[nodiscard]] const raft_peer_id& Leader() const { return mLeader; }
  [[nodiscard]] const raft_peer_id& Self() const { return mConfig.mSelf; }
  [[nodiscard]] const std::vector<raft_peer>& Peers() const { return mPeers; }
  /** The members by the newest list that is committed. */
  [[nodiscard]] std::vector<raft_peer> CommittedPeers() const;
  [[nodiscard]] const raft_hard_state& HardState() const { return mHardState; }
  [[nodiscard]] log_index CommitIndex() const { return mCommit; }
  [[nodiscard]] log_index LastIndex() const
  {
    return mSnapshot.mIndex + mLog.size();
  }
  [[nodiscard]] const raft_snapshot& Snapshot() const { return mSnapshot; }
  /** Hosts that this leader has heard lately, with itself. */
  [[nodiscard]] std::set<host_id> ActiveHosts(steady_time aNow) const;
  [[nodiscard]] std::uint64_t HeartbeatRound() const { return mRound; }
  /** The log after the snapshot, for checks. */
  [[nodiscard]] const std::deque<raft_entry>& Log() const { return mLog; }
};

}
