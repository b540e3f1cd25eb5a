#pragma once

#include "core/clock.h"
#include "decisions/group/raft_types.h"

#include <deque>
#include <optional>

namespace hibiscusspool {

/** A heartbeat round of a leader, as a member has heard of it. */
struct leader_round
{
  raft_term mTerm = 0;
  std::uint64_t mNumber = 0;

  bool operator==(const leader_round&) const = default;
};

/**
 * When a leader began its latest heartbeat rounds. A message that names the
 * latest round that its sender had heard of is younger than that round,
 * whatever it waited for on its way, and without a clock that the two share.
 */
class round_history
{
  struct begun_round
  {
    leader_round mRound;
    steady_time mBegunAt;
  };

  std::deque<begun_round> mRounds;

public:
  static constexpr std::size_t kMaxRounds = 256;

  /** Records the current round, which may be known already. */
  void OnRound(leader_round aRound, steady_time aNow);
  /** Time since a round began; nothing if it is unknown, as one of another
   * leader is. */
  [[nodiscard]] std::optional<milliseconds> AgeOf(leader_round aRound,
                                                  steady_time aNow) const;
};

}
