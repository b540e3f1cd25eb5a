#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/name_table.h"
#include "decisions/admission/refusal.h"

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
  /** Requests of the team that may run on this host concurrently. */
  std::uint32_t mTeamLimit = 1;
  steady_time mDeadline;
};

struct admission_result
{
  admission_verdict mVerdict = admission_verdict::Admitted;
  refusal_reason mReason = refusal_reason::TeamLimit;
  milliseconds mRetryAfter{ 0 };
};

/** The decision on a request that was queued. */
struct admission_decision
{
  ticket_number mTicket = 0;
  admission_result mResult;
};

/**
 * Admission control of one host: admits, queues or refuses each request.
 * Each team has its own queue. Freed capacity goes to the team that uses the
 * smallest part of its limit, so that a burst of one team delays the others by
 * at most the run time of one request. A request that can't finish before its
 * deadline is refused on arrival.
 */
class admission
{
  struct team_state
  {
    std::uint32_t mRunning = 0;
    std::uint32_t mLimit = 1;
    std::deque<admission_request> mQueue;
    /** Moving average of the run time of a request. */
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
  /** Ends a running request; returns the decisions on queued requests. */
  std::vector<admission_decision> Release(const team_id& aTeam,
                                          microseconds aRunTime,
                                          steady_time aNow);
  /** Removes a request from its queue; false if it is not queued. */
  bool Withdraw(const team_id& aTeam, ticket_number aTicket);
  /** Sets the number of requests that the host runs concurrently. */
  void SetHostLimit(std::uint32_t aLimit) { mHostLimit = aLimit; }
  [[nodiscard]] std::uint32_t HostLimit() const { return mHostLimit; }
  [[nodiscard]] std::uint32_t Running() const { return mRunning; }
};

}
