#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/name_table.h"
#include "decisions/refusal.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace hibiscusspool {

enum class admission_verdict
{
  Admitted,
  Queued,
  Refused,
};

template<>
inline constexpr name_table<admission_verdict, 3> kNames<admission_verdict>{ {
  { admission_verdict::Admitted, "admitted" },
  { admission_verdict::Queued, "queued" },
  { admission_verdict::Refused, "refused" },
} };

using ticket_number = std::uint64_t;

struct admission_request
{
  ticket_number mTicket = 0;
  team_id mTeam;
  /** Requests that this host may run for the team at a time. */
  std::uint32_t mTeamLimit = 1;
  steady_time mDeadline;
};

struct admission_result
{
  admission_verdict mVerdict = admission_verdict::Admitted;
  refusal_reason mReason = refusal_reason::TeamLimit;
  milliseconds mRetryAfter{ 0 };
};

/** A queued request that is now decided. */
struct admission_decision
{
  ticket_number mTicket = 0;
  admission_result mAnswer;
};

/**
 * Which requests this host runs, which wait, and which are refused at once.
 * Each team has its own queue; a place that comes free goes to the team that
 * uses the least of its limit, so that one team's flood costs the others one
 * running request's time at most. A request that can't be answered before its
 * deadline is refused when it comes, not when it is too late.
 */
class admission
{
  struct team_state
  {
    std::uint32_t mRunning = 0;
    std::uint32_t mLimit = 1;
    std::deque<admission_request> mQueue;
    /** Moving average of how long a request runs. */
    double mRunMicroseconds = 0;
  };

  std::uint32_t mHostLimit;
  std::uint32_t mRunning = 0;
  std::map<team_id, team_state> mTeams;

  [[nodiscard]] microseconds ExpectedWait(const team_state& aTeam) const;
  void Start(team_state& aTeam);
  team_state* NextTeam();

public:
  explicit admission(std::uint32_t aHostLimit)
    : mHostLimit(aHostLimit)
  {
  }

  admission_result Submit(admission_request aRequest, steady_time aNow);
  /** Ends a running request; the places go to whom the answer names. */
  std::vector<admission_decision> Release(const team_id& aTeam,
                                          microseconds aRan,
                                          steady_time aNow);
  /** Takes a request out of its queue, if it still waits there. */
  bool Withdraw(const team_id& aTeam, ticket_number aTicket);
  /** Sets how many requests the host runs at a time. */
  void SetHostLimit(std::uint32_t aLimit) { mHostLimit = aLimit; }
  [[nodiscard]] std::uint32_t HostLimit() const { return mHostLimit; }
  [[nodiscard]] std::uint32_t Running() const { return mRunning; }
};

}
