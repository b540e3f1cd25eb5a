#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/name_table.h"

#include <string>
#include <vector>

namespace hibiscusspool {

/** Why a request was refused. */
enum class refusal_reason
{
  BadRequest,
  BodyTooLarge,
  UnknownTeam,
  MissingKey,
  KeyReused,
  NotConfirmed,
  TeamLimit,
  HostLimit,
  DeadlinePassed,
  Quarantined,
  CoverageTooLow,
  NoSnapshot,
  ClaimsFull,
  ClaimFailed,
  OutcomeUnknown,
  NoServer,
  HeaderTooLarge,
  SlowSender,
  UnknownKey,
  Overloaded,
  QuotaExceeded,
};

template<>
inline constexpr name_table<refusal_reason, 21> kNames<refusal_reason>{ {
  { refusal_reason::BadRequest, "bad_request" },
  { refusal_reason::BodyTooLarge, "body_too_large" },
  { refusal_reason::UnknownTeam, "unknown_team" },
  { refusal_reason::MissingKey, "missing_key" },
  { refusal_reason::KeyReused, "key_reused" },
  { refusal_reason::NotConfirmed, "not_confirmed" },
  { refusal_reason::TeamLimit, "team_limit" },
  { refusal_reason::HostLimit, "host_limit" },
  { refusal_reason::DeadlinePassed, "deadline_passed" },
  { refusal_reason::Quarantined, "quarantined" },
  { refusal_reason::CoverageTooLow, "coverage_too_low" },
  { refusal_reason::NoSnapshot, "no_snapshot" },
  { refusal_reason::ClaimsFull, "claims_full" },
  { refusal_reason::ClaimFailed, "claim_failed" },
  { refusal_reason::OutcomeUnknown, "outcome_unknown" },
  { refusal_reason::NoServer, "no_server" },
  { refusal_reason::HeaderTooLarge, "header_too_large" },
  { refusal_reason::SlowSender, "slow_sender" },
  { refusal_reason::UnknownKey, "unknown_key" },
  { refusal_reason::Overloaded, "overloaded" },
  { refusal_reason::QuotaExceeded, "quota_exceeded" },
} };

/** Whether a backend server may have executed the request. */
enum class execution_status
{
  No,
  Yes,
  Unknown,
};

template<>
inline constexpr name_table<execution_status, 3> kNames<execution_status>{ {
  { execution_status::No, "no" },
  { execution_status::Yes, "yes" },
  { execution_status::Unknown, "unknown" },
} };

/** The stored record of a refused request. */
struct refusal
{
  /** `host-incarnation-number`; unique. */
  std::string mId;
  std::uint64_t mNumber = 0;
  team_id mTeam;
  request_id mRequest;
  refusal_reason mReason = refusal_reason::BadRequest;
  execution_status mRan = execution_status::No;
  wall_ms mAt = 0;
  std::string mDetail;
  /** When the caller may retry; 0 if a retry won't help. */
  milliseconds mRetryAfter{ 0 };
};

/** Refusals of one incarnation of an entry host, sent to control hosts. */
struct refusal_batch
{
  host_id mHost;
  incarnation_number mIncarnation = 0;
  std::vector<refusal> mRefusals;
  /** Number of the host's latest refusal. */
  std::uint64_t mLastNumber = 0;
};

/** Refusal numbers of one incarnation of a host that no control host stores. */
struct refusal_gap
{
  host_id mHost;
  incarnation_number mIncarnation = 0;
  std::uint64_t mFirst = 0;
  std::uint64_t mLast = 0;

  bool operator==(const refusal_gap&) const = default;
};

struct merged_refusals
{
  /** Without duplicates, ordered by time. */
  std::vector<refusal> mRefusals;
  std::vector<refusal_gap> mGaps;
};

/** Merges what several control hosts store and finds the missing refusals. */
merged_refusals
MergeRefusals(const std::vector<refusal_batch>& aBatches);

}
