#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/name_table.h"

#include <string>
#include <vector>

namespace hibiscusspool {

/** Why a request was turned away. */
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
};

template<>
inline constexpr name_table<refusal_reason, 18> kNames<refusal_reason>{ {
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
} };

/** Whether any backend server may have run the request. */
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

/** One refused request, as it is kept. */
struct refusal
{
  /** `host-incarnation-number`, which no other refusal has. */
  std::string mId;
  std::uint64_t mNumber = 0;
  team_id mTeam;
  request_id mRequest;
  refusal_reason mReason = refusal_reason::BadRequest;
  execution_status mRan = execution_status::No;
  wall_ms mAt = 0;
  std::string mDetail;
  /** When a caller may try again; 0 when trying again won't help. */
  milliseconds mRetryAfter{ 0 };
};

/** Refusals of one run of an entry host, on their way to the disk hosts. */
struct refusal_batch
{
  host_id mHost;
  incarnation_number mIncarnation = 0;
  std::vector<refusal> mRefusals;
  /** The number of the last refusal that the host has made. */
  std::uint64_t mLastNumber = 0;
};

/** Refusal numbers of one run of a host that no disk host has. */
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
  /** Each refusal once, by time. */
  std::vector<refusal> mRefusals;
  std::vector<refusal_gap> mGaps;
};

/** Merges what several disk hosts kept, and names what none of them has. */
merged_refusals
MergeRefusals(const std::vector<refusal_batch>& aBatches);

}
