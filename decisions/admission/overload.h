#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/name_table.h"
#include "decisions/servers/server_limit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusspool {

/** Why a request was admitted or refused under overload. */
enum class overload_cause
{
  /** No overload, or the rank's share has room. */
  Room,
  /** The rank's share of the admitted work is used up. */
  Share,
  /** Servers answer later than the request's deadline. */
  Deadline,
  /** It repeats a refused request before its Retry-After. */
  EarlyRepeat,
};

template<>
inline constexpr name_table<overload_cause, 4> kNames<overload_cause>{ {
  { overload_cause::Room, "room" },
  { overload_cause::Share, "share" },
  { overload_cause::Deadline, "deadline" },
  { overload_cause::EarlyRepeat, "early_repeat" },
} };

/** The order in which work is given up: the greatest rank goes first. */
struct overload_rank
{
  /** 0 is the most urgent. */
  std::uint32_t mPriority = 0;
  milliseconds mObjective{ 0 };

  auto operator<=>(const overload_rank&) const = default;
};

struct overload_request
{
  team_id mTeam;
  overload_rank mRank;
  /** All services that are asked; not empty. */
  std::span<const service_id> mServices;
  /** Number of them that must answer. */
  std::size_t mNeeded = 1;
  /** The same for a request and its repeats by the same caller; empty if they
   * can't be recognised. */
  std::string mRepeatKey;
  steady_time mDeadline;
};

/** How an attempt at a server ended. */
enum class attempt_end
{
  Responded,
  /** Before its response came, so its time is a lower bound. */
  GivenUp,
  /** The server had no room for it. */
  Shed,
};

template<>
inline constexpr name_table<attempt_end, 3> kNames<attempt_end>{ {
  { attempt_end::Responded, "responded" },
  { attempt_end::GivenUp, "given_up" },
  { attempt_end::Shed, "shed" },
} };

struct overload_attempt
{
  attempt_end mEnd = attempt_end::Responded;
  microseconds mDuration{ 0 };
};

struct overload_verdict
{
  bool mIsAdmitted = true;
  overload_cause mCause = overload_cause::Room;
  milliseconds mRetryAfter{ 0 };
  /** Part of the demand that is admitted, 0 to 1; 1 without overload. */
  double mLevel = 1;
  /** Part of the demand of this rank that is admitted, 0 to 1. */
  double mRankShare = 1;
  /** Excess time of the slowest needed service, in units of the excess that
   * its requests bear. */
  double mLateness = 0;
  /** Time of servers that the request takes, as far as it is known. */
  microseconds mWork{ 0 };
  /** Time of an attempt at the slowest needed service; known if overloaded. */
  microseconds mExpected{ 0 };
};

/** A change of what this host believes, to be logged. */
struct overload_news
{
  bool mHasChanged = false;
  bool mIsOverloaded = false;
  /** Overload was given up, because refusals did not make servers faster. */
  bool mWasFutile = false;
};

/**
 * Decides which requests servers can bear, from the response times of single
 * attempts: a host has few requests a second, but each has many attempts.
 * Without overload everything is admitted.
 *
 * Overload begins when attempts are far beyond their usual time, more are that
 * were sent after this was known, and the slowest service that a request needs
 * is among the late ones. A part of the demand, in work, is then admitted; it
 * follows the lateness of attempts. Urgent ranks are served first, and each
 * rank keeps a minimum share.
 *
 * Not synchronized.
 */
class overload_control
{
  struct team_times
  {
    /** Median time of an attempt without overload. */
    quantile_tracker mUsual{ 0.5 };
    std::size_t mGroup = 0;
  };
  struct service_times
  {
    /** Moving average of the time beyond the usual, each sample limited. */
    double mExcessUs = 0;
    /** Moving average of the time of an attempt. */
    double mMicroseconds = 0;
    steady_time mSampledAt;
  };
  struct rank_demand
  {
    /** Sums over the recent past; older work counts less. */
    double mWork = 0;
    double mRequests = 0;
    steady_time mUpdatedAt;
    /** Admissions that the rank may use, in requests of average work. */
    double mCredit = 0;
  };
  /** Late attempts of late, of which some were sent after others were known. */
  struct late_attempts
  {
    std::size_t mCount = 0;
    steady_time mFirstAt;
    /** When enough attempts were late for the first time; only those that were
     * sent later count since. */
    std::optional<steady_time> mKnownAt;
  };
  /** Requests that begin with the same service, and so share servers. */
  struct group
  {
    bool mIsOverloaded = false;
    /** Attempts were late repeatedly. */
    bool mIsSuspected = false;
    /** Late attempts that are evidence. */
    std::size_t mEvidence = 1;
    late_attempts mLate;
    double mLevel = 1;
    steady_time mUpdatedAt;
    steady_time mOverloadedSince;
    /** When the level reached its minimum; max if it is above. */
    steady_time mMinimumSince = steady_time::max();
    steady_time mHoldOffUntil;
    std::map<overload_rank, rank_demand> mRanks;
    /** The most urgent rank of late, whose needs decide. */
    overload_rank mStrictest;
    steady_time mStrictestAt;
    /** Part of the services that its requests need. */
    double mStrictestPart = 1;
    /** Excess time of an attempt that its requests bear. */
    double mBearableUs = 1;
  };

  double mInitialCredit;
  std::vector<group> mGroups;
  std::unordered_map<service_id, std::size_t> mGroupOf;
  std::unordered_map<team_id, team_times> mTeams;
  std::unordered_map<service_id, service_times> mServices;
  /** Refused requests, by repeat key, and when they may be repeated. */
  std::unordered_map<std::string, steady_time> mRefused;

  std::size_t GroupOf(const overload_request& aRequest);
  [[nodiscard]] static double ExcessUs(const service_times& aTimes,
                                       steady_time aNow);
  static void UpdateStrictest(group& aGroup,
                              const overload_request& aRequest,
                              steady_time aNow);
  /** The value of the slowest service, if the fastest `aNeeded` are needed. */
  template<typename value_of>
  [[nodiscard]] double OfSlowestNeeded(const overload_request& aRequest,
                                       std::size_t aNeeded,
                                       value_of aValueOf) const;
  [[nodiscard]] double WorkOf(const overload_request& aRequest) const;
  void CountDemand(group& aGroup,
                   const overload_request& aRequest,
                   double aWork,
                   steady_time aNow) const;
  /** An attempt that was sent at `aSentAt` is far beyond its usual time. */
  static void RecordLate(group& aGroup, steady_time aSentAt, steady_time aNow);
  overload_news UpdateLevel(group& aGroup,
                            double aLateness,
                            steady_time aNow) const;
  [[nodiscard]] static double RankShare(const group& aGroup,
                                        const overload_rank& aRank,
                                        double aLevel);
  [[nodiscard]] milliseconds RetryAfter(const group& aGroup,
                                        const overload_request& aRequest,
                                        steady_time aNow) const;
  void RememberRefused(const overload_request& aRequest,
                       steady_time aUntil,
                       steady_time aNow);
  overload_verdict Refuse(overload_verdict aVerdict,
                          overload_cause aCause,
                          const group& aGroup,
                          const overload_request& aRequest,
                          steady_time aNow);

public:
  /** The seed spreads the first admissions of hosts that begin alike. */
  explicit overload_control(std::uint64_t aSeed);

  /** Decides on a request that arrived; `aNews` says what has changed. */
  overload_verdict Submit(const overload_request& aRequest,
                          steady_time aNow,
                          overload_news& aNews);
  /** An attempt at a server ended; that of an unknown team says nothing. */
  void OnAttempt(const service_id& aService,
                 const team_id& aTeam,
                 overload_attempt aAttempt,
                 steady_time aNow);
  [[nodiscard]] bool IsOverloaded(const service_id& aFirstService) const;
};

}
