#pragma once

#include "decisions/state/records.h"

#include <optional>
#include <string>
#include <vector>

namespace hibiscusspool {

/** Outcome of one change of a command. */
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

/** One entry of the replicated log: changes that are evaluated in order. */
struct change_command
{
  /** Detects resends of a change; empty for the system's own commands. */
  change_id mChangeId;
  /**
   * The version that the record must have, 0 if it must not exist; not set if
   * any version will do.
   */
  std::optional<log_index> mIfVersion;
  /** Wall-clock time at the leader that accepted the command. */
  wall_ms mProposedAt = 0;
  std::vector<record_change> mChanges;
};

struct change_outcome
{
  change_verdict mVerdict = change_verdict::Accepted;
  /** Version of the record after the change, or the current one if refused. */
  log_index mVersion = 0;
  /** Log index at which the change was evaluated. */
  log_index mIndex = 0;
  std::string mDetail;
  /** The outcome stored with the claim, for `AlreadyDone`. */
  std::string mRecordedOutcome;

  bool operator==(const change_outcome&) const = default;
};

/** Effects of applying one command. */
struct change_effects
{
  /** One for each change, in order. */
  std::vector<change_outcome> mOutcomes;
  /** Changes to send to daemons; claims stay on control hosts. */
  std::vector<record_change> mRecordChanges;
  /** Names of the claims that the command settled. */
  std::vector<std::string> mSettledClaims;
};

}
