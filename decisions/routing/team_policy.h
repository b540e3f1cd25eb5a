#pragma once

#include "core/clock.h"
#include "core/failure.h"
#include "decisions/routing/service_set.h"
#include "decisions/state/records.h"

#include <set>

namespace hibiscusspool {

/** A field of a template. */
enum class policy_field
{
  Services,
  RunService,
  MinimumCoverage,
  WaitMs,
  Concurrency,
  LatencyObjectiveMs,
  LatencyObjective,
  AvailabilityObjective,
  CoverageObjective,
};

template<>
inline constexpr name_table<policy_field, 9> kNames<policy_field>{ {
  { policy_field::Services, "services" },
  { policy_field::RunService, "run_service" },
  { policy_field::MinimumCoverage, "minimum_coverage" },
  { policy_field::WaitMs, "wait_ms" },
  { policy_field::Concurrency, "concurrency" },
  { policy_field::LatencyObjectiveMs, "latency_objective_ms" },
  { policy_field::LatencyObjective, "latency_objective" },
  { policy_field::AvailabilityObjective, "availability_objective" },
  { policy_field::CoverageObjective, "coverage_objective" },
} };

enum class policy_error
{
  UnknownField,
  UnknownParameter,
  MissingParameter,
  BadValue,
};

template<>
inline constexpr name_table<policy_error, 4> kNames<policy_error>{ {
  { policy_error::UnknownField, "unknown_field" },
  { policy_error::UnknownParameter, "unknown_parameter" },
  { policy_error::MissingParameter, "missing_parameter" },
  { policy_error::BadValue, "bad_value" },
} };

/** The limits and objectives of a team, with all parameters expanded. */
struct team_policy
{
  /** The services that a query is sent to, sorted. */
  service_set mServices;
  /** The service that runs the team's non-idempotent requests. */
  service_id mRunService;
  /** Fraction of the services that a response must cover, 0 to 1. */
  double mMinimumCoverage = 1.0;
  milliseconds mMaxWait{ 1000 };
  /** Concurrent requests over all entry hosts. */
  std::uint32_t mConcurrency = 256;
  /** Maximum latency of a response that meets the latency objective. */
  milliseconds mLatencyObjective{ 280 };
  double mLatencyTarget = 0.99;
  double mAvailabilityTarget = 0.999;
  double mCoverageTarget = 0.999;

  bool operator==(const team_policy&) const = default;
};

/** Maximum wait of any team; a handover delay is at least as long. */
inline constexpr milliseconds kMaxWait{ 10'000 };

/**
 * Expands a template's parameters and validates every field.
 * Errors: an unknown field or parameter, a parameter without a value, or a
 * value out of range; the detail names it and the allowed range.
 */
result<team_policy, policy_error>
ExpandTemplate(const template_record& aTemplate, const team_record& aTeam);

/** Validates as much of a template as is possible without a team's values. */
result<void, policy_error>
CheckTemplate(const template_record& aTemplate);

}
