#pragma once

#include "decisions/records.h"

#include <optional>
#include <string>
#include <vector>

namespace hibiscusspool {

/** What became of one wish of a command. */
enum class change_verdict
{
  Accepted,
  Conflict,
  NotFound,
  Invalid,
  InUse,
  InProgress,
  AlreadyDone,
  AlreadyUnknown,
  KeyReused,
  TableFull,
  Quarantined,
  Stale,
};

template<>
inline constexpr name_table<change_verdict, 12> kNames<change_verdict>{ {
  { change_verdict::Accepted, "accepted" },
  { change_verdict::Conflict, "conflict" },
  { change_verdict::NotFound, "not_found" },
  { change_verdict::Invalid, "invalid" },
  { change_verdict::InUse, "in_use" },
  { change_verdict::InProgress, "in_progress" },
  { change_verdict::AlreadyDone, "already_done" },
  { change_verdict::AlreadyUnknown, "already_unknown" },
  { change_verdict::KeyReused, "key_reused" },
  { change_verdict::TableFull, "table_full" },
  { change_verdict::Quarantined, "quarantined" },
  { change_verdict::Stale, "stale" },
} };

/** One entry of the replicated log: wishes that are judged one by one. */
struct change_command
{
  /** Names the change for resends; empty for the system's own commands. */
  change_id mChangeId;
  /** The version the record must have now; 0 means that there is none. */
  std::optional<log_index> mIfVersion;
  /** Wall-clock time at the leader that took the command. */
  wall_ms mProposedAt = 0;
  std::vector<record_change> mChanges;
};

struct change_outcome
{
  change_verdict mVerdict = change_verdict::Accepted;
  /** Version of the record after the change, or its current one if refused. */
  log_index mVersion = 0;
  /** Log index at which the change was judged. */
  log_index mIndex = 0;
  std::string mDetail;
  /** A claim's recorded outcome, for `AlreadyDone`. */
  std::string mRecordedOutcome;

  bool operator==(const change_outcome&) const = default;
};

/** What applying one command did. */
struct change_effects
{
  /** One for each wish, in order. */
  std::vector<change_outcome> mOutcomes;
  /** Facts for daemons; claims are left out, they stay on control hosts. */
  std::vector<record_change> mRecordChanges;
  /** Names of claims that this command settled. */
  std::vector<std::string> mSettledClaims;
};

}
