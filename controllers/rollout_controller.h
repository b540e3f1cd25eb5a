#pragma once

#include "core/sharded_map.h"
#include "decisions/rollout/rollout_counts.h"
#include "decisions/state/rollout_record.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace hibiscusspool {

/** How a control host took the reports of an entry host. */
struct rollout_receipt
{
  /** This host leads and has added the counts. */
  bool mIsLeader = false;
  host_id mLeader;
  /** The term in which it leads. */
  std::uint64_t mTerm = 0;
};

/**
 * What a control host knows of rollouts beside the log: the time that has
 * passed since each order, and, while it leads, the counts of the entry hosts.
 *
 * The time is measured by the host's own clock from when it applied the order
 * or a later step, each of which says how much had passed. So neither a change
 * of leader nor the wall clocks matter; a host that restarts lacks at most the
 * time since the latest step. Time for which no control host ran isn't counted.
 */
class rollout_controller
{
  using row_key = std::pair<team_id, server_id>;
  using host_key = std::pair<host_id, incarnation_number>;

  using row_sums = std::map<row_key, rollout_row>;

  struct service_rollout
  {
    log_index mStartIndex = 0;
    /** Time since the order at `mSeenAt`. */
    milliseconds mElapsed{ 0 };
    steady_time mSeenAt;
    std::map<host_key, std::map<row_key, rollout_row>> mReports;
    /** The sums at the ends of the segments so far. */
    std::vector<row_sums> mMarks;
    steady_time mMarkedAt;
  };

  /** Duration of a segment of the evidence: about as long as a machine is in
   * trouble, and enough for two servers' turns. */
  static constexpr milliseconds kSegment{ 2000 };

  sharded_map<service_id, service_rollout> mRollouts;
  static row_sums SumOf(const service_rollout& aRollout);

  std::atomic<std::uint64_t> mTerm{ 0 };
  std::atomic<steady_time::rep> mCollectingSince{ 0 };

public:
  /** Takes the time of an applied record. */
  void Observe(const rollout_record& aRecord, steady_time aNow);
  /** Sets the term in which this host leads, 0 if it doesn't. */
  void SetTerm(std::uint64_t aTerm, steady_time aNow);
  [[nodiscard]] std::uint64_t Term() const { return mTerm; }

  /** Replaces the counts of the report's rows; false if this host hasn't
   * applied the rollout's order yet. */
  bool Add(const rollout_report& aReport);

  /** Time since the order. */
  [[nodiscard]] milliseconds Elapsed(const rollout_record& aRecord,
                                     steady_time aNow) const;
  /** The counts of all hosts, summed by route and server. */
  [[nodiscard]] rollout_evidence Evidence(const rollout_record& aRecord,
                                          steady_time aNow);
};

}
