#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/name_table.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusspool {

/** Number of a leader's term of office. */
using raft_term = std::uint64_t;

/**
 * A member of the group is a host and the disk in it: a host that returns
 * with an empty or another data folder is not the old member.
 */
struct raft_peer_id
{
  host_id mHost;
  disk_id mDisk;

  auto operator<=>(const raft_peer_id&) const = default;
};

struct raft_peer
{
  raft_peer_id mId;
  /** A learner receives the log but has no vote. */
  bool mIsVoter = false;

  bool operator==(const raft_peer&) const = default;
};

/** One entry of the log: a command, a list of members, or nothing. */
struct raft_entry
{
  raft_term mTerm = 0;
  log_index mIndex = 0;
  std::string mPayload;
  std::optional<std::vector<raft_peer>> mPeers;

  bool operator==(const raft_entry&) const = default;
};

/** What a member must never forget, besides its log. */
struct raft_hard_state
{
  raft_term mTerm = 0;
  raft_peer_id mVote;

  bool operator==(const raft_hard_state&) const = default;
};

/** The state at an index, in place of the log up to it. */
struct raft_snapshot
{
  log_index mIndex = 0;
  raft_term mTerm = 0;
  std::vector<raft_peer> mPeers;
  std::string mState;
};

enum class raft_message_kind
{
  PreVote,
  PreVoteReply,
  Vote,
  VoteReply,
  Append,
  AppendReply,
  Snapshot,
  TimeoutNow,
  ReadIndex,
  ReadIndexReply,
  Join,
};

template<>
inline constexpr name_table<raft_message_kind, 11> kNames<raft_message_kind>{ {
  { raft_message_kind::PreVote, "pre_vote" },
  { raft_message_kind::PreVoteReply, "pre_vote_reply" },
  { raft_message_kind::Vote, "vote" },
  { raft_message_kind::VoteReply, "vote_reply" },
  { raft_message_kind::Append, "append" },
  { raft_message_kind::AppendReply, "append_reply" },
  { raft_message_kind::Snapshot, "snapshot" },
  { raft_message_kind::TimeoutNow, "timeout_now" },
  { raft_message_kind::ReadIndex, "read_index" },
  { raft_message_kind::ReadIndexReply, "read_index_reply" },
  { raft_message_kind::Join, "join" },
} };

/** One message between members; unused fields keep their defaults. */
struct raft_message
{
  raft_message_kind mKind = raft_message_kind::Append;
  raft_peer_id mFrom;
  raft_peer_id mTo;
  raft_term mTerm = 0;
  /** Append: the entry before; votes: the last entry; replies: the match. */
  log_index mIndex = 0;
  raft_term mLogTerm = 0;
  std::vector<raft_entry> mEntries;
  log_index mCommit = 0;
  bool mIsRefused = false;
  /** A vote asked for by the leader, which the lease must not hold up. */
  bool mIsLeaderTransfer = false;
  /** Heartbeat round, or a read's token. */
  std::uint64_t mNumber = 0;
  std::optional<raft_snapshot> mSnapshot;
};

enum class raft_role
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

template<>
inline constexpr name_table<raft_role, 4> kNames<raft_role>{ {
  { raft_role::Follower, "follower" },
  { raft_role::PreCandidate, "pre_candidate" },
  { raft_role::Candidate, "candidate" },
  { raft_role::Leader, "leader" },
} };

/** A read that is confirmed: all that was committed before it is at `mIndex`.
 */
struct raft_confirmed_read
{
  std::uint64_t mToken = 0;
  log_index mIndex = 0;
};

/**
 * What the driver must do, in this order: install the snapshot, persist the
 * hard state and the entries and sync them, send the messages, apply the
 * committed entries, answer the reads.
 */
struct raft_actions
{
  std::optional<raft_snapshot> mInstallSnapshot;
  std::optional<raft_hard_state> mHardState;
  /** Entries from the first one's index on replace what the disk holds. */
  std::vector<raft_entry> mAppend;
  std::vector<raft_message> mMessages;
  std::vector<raft_entry> mCommitted;
  std::vector<raft_confirmed_read> mReads;
};

}
