#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <array>
#include <cstdint>
#include <vector>

namespace hibiscusspool {

/** Buckets of a latency histogram; each is wider than the one before by a
 * factor of the square root of 2, and the last one is open. */
constexpr std::size_t kLatencyBuckets = 26;

using rollout_histogram = std::array<std::uint32_t, kLatencyBuckets>;

/** The upper edge of a bucket. The first one ends at 1 ms. */
microseconds
BucketEdge(std::size_t aBucket);

std::size_t
BucketOf(microseconds aDuration);

/** Results of attempts at one server for one route. */
struct rollout_counts
{
  /** Attempts that were sent and have ended. */
  std::uint64_t mRequests = 0;
  std::uint64_t mFailures = 0;
  /** Durations of the attempts that were answered well. */
  rollout_histogram mAnswered{};
  /** Durations after which attempts were cancelled: lower bounds. */
  rollout_histogram mCancelled{};

  void Add(const rollout_counts& aOther);
  /** Takes earlier cumulative counts off. */
  void Subtract(const rollout_counts& aEarlier);
  /** Attempts whose result is known, that is all but the cancelled ones. */
  [[nodiscard]] std::uint64_t Known() const;

  bool operator==(const rollout_counts&) const = default;
};

struct rollout_row
{
  /** Each route has a team of its own. */
  team_id mRoute;
  server_id mServer;
  /** The server has the target version of the rollout. */
  bool mIsTarget = false;
  rollout_counts mCounts;

  bool operator==(const rollout_row&) const = default;
};

/** What one entry host counted for one rollout since its start. */
struct rollout_report
{
  host_id mHost;
  incarnation_number mIncarnation = 0;
  service_id mService;
  /** Log index of the order of the rollout. */
  log_index mStartIndex = 0;
  std::vector<rollout_row> mRows;

  bool operator==(const rollout_report&) const = default;
};

/** The counts of all entry hosts, as far as a leader has them. */
struct rollout_evidence
{
  /** The rows of each segment of time, in order of time. */
  std::vector<std::vector<rollout_row>> mSegments;
  /** How long the leader has collected reports. */
  milliseconds mCollectedFor{ 0 };
};

}
