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

/** A Raft term, numbered from 1; each has at most one leader. */
using raft_term = std::uint64_t;

/**
 * Identifies a member of the group by its host and disk: a host that returns
 * with an empty or different data folder is a new member.
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

/** One entry of the log: a command, a list of members, or empty. */
struct raft_entry
{
  raft_term mTerm = 0;
  log_index mIndex = 0;
  std::string mPayload;
  std::optional<std::vector<raft_peer>> mPeers;

  bool operator==(const raft_entry&) const = default;
};

/** The state, besides the log, that a member must persist. */
struct raft_hard_state
{
  raft_term mTerm = 0;
  raft_peer_id mVote;

  bool operator==(const raft_hard_state&) const = default;
};

/** The state at an index, which replaces the log up to that index. */
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
  /**
   * Index of the preceding entry in appends, of the last entry in vote
   * requests, and of the last matching entry in append replies; the commit
   * index in read replies.
   */
  log_index mIndex = 0;
  raft_term mLogTerm = 0;
  std::vector<raft_entry> mEntries;
  log_index mCommit = 0;
  bool mIsRefused = false;
  /**
   * The vote request is part of a leadership transfer, so members with an
   * active leader must not ignore it.
   */
  bool mIsLeaderTransfer = false;
  /** Heartbeat round or read token; 1 in a forwarded join request. */
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

/** A read request; `mIndex` covers all entries committed before it was made. */
struct raft_confirmed_read
{
  std::uint64_t mToken = 0;
  log_index mIndex = 0;
};

/**
 * What the driver must do, in this order: install the snapshot, persist and
 * sync the hard state and the entries, send the messages, apply the committed
 * entries, complete the reads.
 */
struct raft_actions
{
  std::optional<raft_snapshot> mInstallSnapshot;
  std::optional<raft_hard_state> mHardState;
  /** These entries replace those in storage from the first one's index on. */
  std::vector<raft_entry> mAppend;
  std::vector<raft_message> mMessages;
  std::vector<raft_entry> mCommitted;
  std::vector<raft_confirmed_read> mReads;
};

}
