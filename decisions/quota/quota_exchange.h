#pragma once

#include "core/name_table.h"
#include "decisions/quota/quota_limits.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hibiscusspool {

/** What a host is for a team, by its own list of entry hosts. */
enum class quota_role
{
  /** Neither owner nor deputy. */
  None,
  /** Second in rank, or an owner that may have been replaced without knowing:
   * serves the hosts that can't reach the owner. */
  Deputy,
  /** The owner, while an earlier one may still grant. */
  Provisional,
  /** The only host that grants the quota. */
  Owner,
};

template<>
inline constexpr name_table<quota_role, 4> kNames<quota_role>{ {
  { quota_role::None, "none" },
  { quota_role::Deputy, "deputy" },
  { quota_role::Provisional, "provisional" },
  { quota_role::Owner, "owner" },
} };

/** Requests that a host admitted at about the same time. */
struct quota_spending
{
  /** Time since the latest of them. */
  milliseconds mAge{ 0 };
  std::uint32_t mCount = 0;

  bool operator==(const quota_spending&) const = default;
};

/**
 * What a host tells of a team: all that it admitted in the last window. It
 * replaces what the host told before, so that a lost or repeated message does
 * no harm.
 */
struct quota_item
{
  team_id mTeam;
  quota_terms mTerms;
  /** Asks for one request; 0 if the item only reports. */
  std::uint64_t mAsk = 0;
  /** Requests asked for with this number or a lower one are part of
   * `mSpendings` if they were admitted. */
  std::uint64_t mSettled = 0;
  std::vector<quota_spending> mSpendings;

  bool operator==(const quota_item&) const = default;
};

struct quota_request
{
  host_id mHost;
  incarnation_number mIncarnation = 0;
  /** Rises with each message of this incarnation. */
  std::uint64_t mSequence = 0;
  std::vector<quota_item> mItems;

  bool operator==(const quota_request&) const = default;
};

/** The answer to an item. */
struct quota_answer
{
  team_id mTeam;
  quota_role mRole = quota_role::None;
  bool mIsGranted = false;
  /** Time for which hosts must ask before they admit; 0 if they needn't, and
   * nothing if that isn't known yet. */
  std::optional<milliseconds> mMeteredFor;
  /** Time until there is room for a request, if it wasn't granted. */
  milliseconds mRoomIn{ 0 };
  /** When this request may return, if it wasn't granted: not before the others
   * that were refused, so that they don't return together. */
  milliseconds mRetryIn{ 0 };

  bool operator==(const quota_answer&) const = default;
};

struct quota_reply
{
  std::vector<quota_answer> mAnswers;

  bool operator==(const quota_reply&) const = default;
};

/** Tells hosts of a change that concerns the requests of a team. */
struct quota_notice
{
  team_id mTeam;
  /** Time for which hosts must ask before they admit; 0 if nothing is said. */
  milliseconds mMeteredFor{ 0 };
  /** The deputy, which hosts ask and tell in place of an owner that doesn't
   * answer, and the time for which they do; empty if nothing is said. */
  host_id mFollow;
  milliseconds mFollowFor{ 0 };
  /** Hosts to which the receiver passes the notice on. */
  std::vector<host_id> mRelayTo;

  bool operator==(const quota_notice&) const = default;
};

}
