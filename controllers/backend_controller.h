#pragma once

#include "core/sharded_map.h"
#include "core/worker_number.h"
#include "decisions/rollout/rollout_choice.h"
#include "decisions/rollout/rollout_counts.h"
#include "decisions/routing/snapshot_choice.h"
#include "decisions/routing/subquery_plan.h"
#include "decisions/servers/rate_limit.h"
#include "decisions/servers/replica_choice.h"
#include "decisions/servers/server_health.h"
#include "decisions/servers/server_limit.h"
#include "decisions/servers/server_notice.h"
#include "decisions/servers/share.h"
#include "decisions/state/records.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace hibiscusspool {

/** The result of an attempt at a backend server. */
enum class attempt_status
{
  Answered,
  /** The server rejected the request without starting it. */
  Shed,
  /** The server could not be reached; no byte was sent. */
  NotSent,
  /** Ended by this host before a byte was sent: the request had ended, or its
   * deadline or the lease had expired. */
  Withdrawn,
  /** The connection closed after bytes were sent. */
  Reset,
  /** No response before the attempt's deadline. */
  TimedOut,
  /** Cancelled because another attempt won or the request ended. */
  Cancelled,
  /** The response was from another index version. */
  WrongSnapshot,
  /** The response was malformed or belonged to another request. */
  BadResponse,
  /** The server responded with an error. */
  Failed,
};

template<>
inline constexpr name_table<attempt_status, 10> kNames<attempt_status>{ {
  { attempt_status::Answered, "answered" },
  { attempt_status::Shed, "shed" },
  { attempt_status::NotSent, "not_sent" },
  { attempt_status::Withdrawn, "withdrawn" },
  { attempt_status::Reset, "reset" },
  { attempt_status::TimedOut, "timed_out" },
  { attempt_status::Cancelled, "cancelled" },
  { attempt_status::WrongSnapshot, "wrong_snapshot" },
  { attempt_status::BadResponse, "bad_answer" },
  { attempt_status::Failed, "failed" },
} };

/** True if no byte of the request reached a server. */
constexpr bool
WasNeverSent(attempt_status aStatus)
{
  return aStatus == attempt_status::NotSent ||
         aStatus == attempt_status::Withdrawn;
}

/** An attempt that counts in the evidence of a rollout. */
struct rollout_attempt
{
  /** Log index of the order of the rollout. */
  log_index mStartIndex = 0;
  team_id mRoute;
  bool mIsTarget = false;
};

/** What became of the reports that were sent to the leader. */
enum class rollout_report_end
{
  Added,
  /** A leader added them that hasn't got the earlier ones. */
  NewLeader,
  Lost,
};

template<>
inline constexpr name_table<rollout_report_end, 3> kNames<rollout_report_end>{ {
  { rollout_report_end::Added, "added" },
  { rollout_report_end::NewLeader, "new_leader" },
  { rollout_report_end::Lost, "lost" },
} };

/** A reserved slot at one server, for one attempt. */
struct attempt_permit
{
  service_id mService;
  server_id mServer;
  incarnation_number mIncarnation = 0;
  std::string mAddress;
  failure_domain_id mFailureDomain;
  /** An open connection to reuse, or 0 to open a new one. */
  connection_id mConnection = 0;
  /** The attempt uses one of the server's cold slots. */
  bool mIsCold = false;
  steady_time mStartedAt;
  rate_request mRateRequest{};
  /** Entry in the window of the server's announced rate; 0 if there is none. */
  rate_entry_number mRateEntry = 0;
  /** Set while a rollout of the service runs. */
  std::optional<rollout_attempt> mRollout{};
};

/** The outcome of a permitted attempt. */
struct attempt_report
{
  attempt_status mStatus = attempt_status::Answered;
  microseconds mDuration{ 0 };
  /** The connection to reuse, or 0 if it was closed. */
  connection_id mConnection = 0;
  server_notice mNotice{};
};

/** What a server must meet to be chosen for an attempt. */
struct choice_request
{
  service_id mService;
  snapshot_number mSnapshot = 0;
  /** Servers to which this request must not be sent. */
  std::vector<server_id> mExcludedServers;
  /** A failure domain to avoid while another has a candidate. */
  failure_domain_id mAvoidedDomain;
  /** Set for a request that is not pinned to an index version. */
  bool mAcceptsAnySnapshot = false;
  /** The worker whose idle connections are preferred. */
  worker_number mWorker = 0;
  /** If not empty, only these servers are candidates. */
  std::vector<server_id> mAllowedServers;
  rate_request mRateRequest{};
  /** This host's view of the other hosts is confirmed. */
  bool mIsConfirmed = true;
  /** The route under which a rollout counts the attempt; null if it doesn't. */
  const team_id* mRoute = nullptr;
  /** Random number of the request. */
  std::uint64_t mDraw = 0;
  /** When the request first asked for a server of this service. */
  steady_time mFirstChoiceAt{};
  /** Set by the controller during a rollout. */
  version_side mSide = version_side::Any;
};

struct backend_config
{
  host_id mSelf;
  failure_domain_id mFailureDomain;
  /** Time before a larger share of connections may be used. */
  milliseconds mHandoverDelay{ 0 };
  /** Time from the end of a cold start to the full concurrency limit. */
  milliseconds mRampDuration{ 10'000 };
  /** Added to the expected latency of a server in another failure domain. */
  microseconds mCrossDomainPenalty{ 0 };
  /** Added if a connection has to be opened first. */
  microseconds mConnectPenalty{ 0 };
  /** Latency penalty of a failed attempt; multiplied by the server's recent
   * failure rate. */
  microseconds mFailurePenalty{ 0 };
  /** Quantile of the service times above which an attempt counts as slow. */
  double mSlowQuantile = 0.95;
  /** Consecutive attempts that were shed, reset, timed out or not sent, after
   * which a ready server is treated as cold; 0 disables this. */
  std::uint32_t mColdAfterRefusals = 8;
  /** Avoid failing servers while another server can answer. */
  bool mSuspendsFailing = false;
  notice_limits mNoticeLimits{};
  /** Time before a larger part of a server's announced rate may be used. */
  milliseconds mRateHandover{ kRateWindow };
  std::uint64_t mSeed = 0;
};

struct backend_hooks
{
  /** Closes connections; called without a lock held. */
  std::function<void(const std::vector<connection_id>&)> mCloseConnections;
  /** A ready server is now treated as cold; called without a lock held. */
  std::function<void(const server_id&)> mOnTurnedCold;
};

/** State of one server, as shown by `status` and metrics. */
struct backend_status
{
  server_record mRecord;
  std::uint32_t mShare = 0;
  std::uint32_t mOpenConnections = 0;
  std::uint32_t mOutstanding = 0;
  std::uint32_t mConcurrencyLimit = 0;
  microseconds mServiceTime{ 0 };
  /** The server has announced a limit to its rate. */
  bool mIsRateLimited = false;
  double mRatePerSecond = 0;
  /** Requests of this host in each window of the limit. */
  std::uint32_t mRateQuota = 0;
};

/**
 * The backend servers as seen by this host: records from the watch stream,
 * connection shares, limits and open connections. The state is sharded by
 * service, each shard under its own lock.
 */
class backend_controller
{
  struct backend
  {
    server_record mRecord;
    server_share mShare;
    server_share mColdShare;
    std::vector<connection_id> mIdleConnections;
    std::uint32_t mOpenConnections = 0;
    std::uint32_t mOutstanding = 0;
    server_limit mLimit;
    service_time mServiceTime;
    server_health mHealth;
    server_notices mNotices;
    rate_limit mRate;
    steady_time mRateLoggedAt;
    steady_time mReadySince;
    /** Consecutive attempts that were shed, reset, timed out or not sent. */
    std::uint32_t mConsecutiveOverloads = 0;
    /** The server is recorded as ready but probably restarted cold. */
    bool mIsTreatedAsCold = false;
    /** The server has the target version of the service's rollout. */
    bool mIsTarget = false;
  };

  struct counted_row
  {
    rollout_row mRow;
    /** Number of the latest change of the counts. */
    std::uint64_t mChange = 0;
  };

  struct pool_rollout
  {
    rollout_record mRecord;
    steady_time mLearnedAt;
    std::map<std::pair<team_id, server_id>, counted_row> mRows;
    std::uint64_t mLastChange = 0;
    std::uint64_t mReportedChange = 0;
    /** Changes up to here have been added by the leader. */
    std::uint64_t mConfirmedChange = 0;
    /** Counts of the target version haven't been reported. */
    bool mHasTargetNews = false;
    steady_time mRoutineReportAt;
  };

  struct service_pool
  {
    /** Sorted by server id, since the division into shares depends on it. */
    std::vector<backend> mBackends;
    quantile_tracker mServiceTimeQuantile{ 0.95 };
    std::mt19937_64 mRandom;
    /** Callbacks of requests that wait for a free slot. */
    std::vector<std::function<void()>> mWaiters;
    /** Turns of requests that found no room within the servers' rates. */
    return_schedule mReturns;
    /** Since when the servers are divided among hosts as they are now. */
    steady_time mDividedSince;
    rate_entry_number mLastRateEntry = 0;
    std::optional<pool_rollout> mRollout;
    /** The rollout decides which servers may be chosen. */
    bool mIsRolloutInEffect = false;
  };

  struct remembered_rate
  {
    incarnation_number mIncarnation = 0;
    rate_limit mRate;
    steady_time mRecordedAt;
  };

  backend_config mConfig;
  backend_hooks mHooks;
  sharded_map<service_id, service_pool> mServices;
  sharded_map<server_id, service_id> mServiceOf;
  /** Notices by server, which outlive the records: a server that is removed and
   * recorded again is still leaving. */
  sharded_map<server_id, server_notices> mNotices;
  /** Without any notice, none is looked up for each attempt. */
  std::atomic<bool> mHasNotices{ false };
  /** Announced limits by server, which outlive the records too. */
  sharded_map<server_id, remembered_rate> mRates;
  /** Without any limit, none is looked up for each attempt. */
  std::atomic<bool> mHasRates{ false };
  /** Without any rollout, there are no reports to look for. */
  std::atomic<bool> mHasRollouts{ false };

  mutable std::mutex mTopologyLock;
  /** The hosts that divide the servers' connections, sorted. */
  std::vector<share_holder> mHosts;
  std::shared_ptr<const share_ring> mRing =
    std::make_shared<const share_ring>();
  /** The failure domains in the state `Out`; their servers get no attempts. */
  std::shared_ptr<const std::set<failure_domain_id>> mDomainsOut =
    std::make_shared<const std::set<failure_domain_id>>();

  template<typename pool>
  static auto FindBackend(pool& aPool, const server_id& aServer)
  {
    return std::find_if(aPool.mBackends.begin(),
                        aPool.mBackends.end(),
                        [&](const backend& aBackend) {
                          return aBackend.mRecord.mServer == aServer;
                        });
  }
  [[nodiscard]] std::shared_ptr<const share_ring> Ring() const;
  [[nodiscard]] std::shared_ptr<const std::set<failure_domain_id>> DomainsOut()
    const;
  [[nodiscard]] std::uint32_t ConcurrencyLimit(const backend& aBackend,
                                               steady_time aNow) const;
  [[nodiscard]] std::uint32_t Share(const backend& aBackend,
                                    steady_time aNow) const;
  /** Recomputes the shares; `aNewServer` is a server that no host has used. */
  void ReallocateShares(const service_id& aService,
                        service_pool& aPool,
                        const share_ring& aRing,
                        const server_id& aNewServer,
                        steady_time aNow) const;
  [[nodiscard]] std::vector<connection_id> TakeSurplus(backend& aBackend,
                                                       steady_time aNow) const;
  /** Takes all idle connections: they must not keep a leaving server from
   * shutting down. */
  [[nodiscard]] static std::vector<connection_id> TakeIdle(backend& aBackend);
  [[nodiscard]] std::vector<connection_id> TakeSurplus(service_pool& aPool,
                                                       steady_time aNow) const;
  [[nodiscard]] static bool IsCold(const backend& aBackend);
  /** True if the server is ready or cold and its failure domain is not out. */
  [[nodiscard]] static bool CanAnswer(
    const backend& aBackend,
    const std::set<failure_domain_id>& aDomainsOut);
  [[nodiscard]] bool IsCandidate(const backend& aBackend,
                                 const choice_request& aRequest,
                                 const std::set<failure_domain_id>& aDomainsOut,
                                 steady_time aNow) const;
  /** True if the server's own notices allow one more request of this host. */
  [[nodiscard]] bool MayAsk(const backend& aBackend, steady_time aNow) const;
  /** Applies what a response says of its server; true if that is news. */
  [[nodiscard]] bool RecordNotice(server_notices& aNotices,
                                  const attempt_permit& aPermit,
                                  const attempt_report& aReport,
                                  steady_time aNow) const;
  [[nodiscard]] bool ShouldAvoid(const backend& aBackend,
                                 steady_time aNow) const;
  /** Stores and logs what the server of an attempt has said of itself. */
  void RememberNotices(const attempt_permit& aPermit,
                       const server_notices& aNotices,
                       const server_notice& aNews);
  /** What an incarnation of a server has said of itself. */
  [[nodiscard]] server_notices RecallNotices(
    const server_id& aServer,
    incarnation_number aIncarnation) const;
  /** Sets this host's parts of limits after a change of hosts or servers. */
  void DivideRates(const service_id& aService,
                   service_pool& aPool,
                   const share_ring& aRing,
                   steady_time aNow) const;
  /** This host's part of each server of a service. */
  [[nodiscard]] static std::vector<rate_part> RateParts(
    const service_id& aService,
    const service_pool& aPool,
    const share_ring& aRing);
  /** Applies what a response says of its server's rate, and stops counting a
   * request that was never sent. */
  void RecordRate(service_pool& aPool,
                  backend& aBackend,
                  const attempt_permit& aPermit,
                  const attempt_report& aReport,
                  const share_ring& aRing,
                  steady_time aNow);
  /** When the server's announced rate has room for the request. */
  [[nodiscard]] static steady_time RateRoomAt(const backend& aBackend,
                                              const choice_request& aRequest,
                                              steady_time aNow);
  /** The same for a server whose record was removed meanwhile. */
  void RecordRateOfRemoved(const attempt_permit& aPermit,
                           const attempt_report& aReport,
                           steady_time aNow);
  /** Logs a change of a server's rate, or its use from time to time; true if it
   * did. */
  bool LogRate(backend& aBackend, rate_change aChange, steady_time aNow) const;
  /** What an incarnation of a server has announced, for a new record of it. */
  [[nodiscard]] rate_limit RecallRate(const server_id& aServer,
                                      incarnation_number aIncarnation) const;
  /** Latency penalty that is added to a server's mean service time. */
  [[nodiscard]] microseconds PenaltyOf(const backend& aBackend,
                                       steady_time aNow) const;
  [[nodiscard]] replica_candidate ToCandidate(const backend& aBackend,
                                              std::size_t aIndex,
                                              steady_time aNow) const;
  /** The better of two random candidates, if a few draws find two. */
  std::optional<std::size_t> PickFromSample(
    service_pool& aPool,
    const choice_request& aRequest,
    const std::set<failure_domain_id>& aDomainsOut,
    steady_time aNow) const;
  /** The better of two random candidates out of a full scan. */
  std::optional<std::size_t> PickFromAll(
    service_pool& aPool,
    const choice_request& aRequest,
    const std::set<failure_domain_id>& aDomainsOut,
    steady_time aNow) const;
  /** Picks a server as the service's rollout allows. */
  std::optional<std::size_t> PickInRollout(
    service_pool& aPool,
    const choice_request& aRequest,
    const std::set<failure_domain_id>& aDomainsOut,
    steady_time aNow) const;
  static void UpdateRolloutEffect(service_pool& aPool);
  static void MarkRolloutAttempt(const service_pool& aPool,
                                 const backend& aChosen,
                                 const choice_request& aRequest,
                                 attempt_permit& aPermit);
  /** Counts an attempt that has ended. */
  static void RecordRolloutAttempt(service_pool& aPool,
                                   const attempt_permit& aPermit,
                                   const attempt_report& aReport);
  void RecordOutcome(backend& aBackend,
                     service_pool& aPool,
                     const attempt_report& aReport,
                     steady_time aNow) const;
  void DropFromService(const service_id& aService,
                       const server_id& aServer,
                       steady_time aNow);

public:
  backend_controller(backend_config aConfig, backend_hooks aHooks)
    : mConfig(std::move(aConfig))
    , mHooks(std::move(aHooks))
  {
  }

  /** Sets the entry hosts among which each server's connections are divided. */
  void SetHosts(std::vector<share_holder> aHosts, steady_time aNow);
  void SetDomainsOut(std::set<failure_domain_id> aDomains);
  /**
   * Adds or updates a server. `aIsFirstSeen` means that the record came as a
   * change, not in a full state, so no host has used this incarnation before.
   */
  void Put(const server_record& aRecord, bool aIsFirstSeen, steady_time aNow);
  void Remove(const server_id& aServer, steady_time aNow);

  /** Sets the latest rollout of a service. */
  void SetRollout(const rollout_record& aRecord, steady_time aNow);
  void RemoveRollout(const service_id& aService);
  /** The counts of running rollouts that the leader hasn't added yet, without
   * the incarnation of this host; empty while no report is due. */
  std::vector<rollout_report> RolloutReports(steady_time aNow);
  /** What became of the latest reports. */
  void OnRolloutReports(rollout_report_end aEnd);
  /** The latest rollout of each service that has one. */
  [[nodiscard]] std::map<service_id, rollout_record> Rollouts() const;

  /** Picks a server and reserves a slot at it; nothing if none has one. */
  std::optional<attempt_permit> Choose(const choice_request& aRequest,
                                       steady_time aNow);
  /** Releases the slot of a permitted attempt and records its outcome. */
  void Finish(const attempt_permit& aPermit,
              const attempt_report& aReport,
              steady_time aNow);
  /** True while the server takes requests of this host. */
  [[nodiscard]] bool IsWilling(const attempt_permit& aPermit,
                               steady_time aNow) const;
  /**
   * True if an attempt may be sent now; asked just before it is. The time of
   * this call is what counts against the server's announced rate.
   */
  bool ConfirmSend(const attempt_permit& aPermit,
                   bool aIsConfirmed,
                   steady_time aNow);
  /**
   * When the first of the servers that could answer takes requests again, if
   * all of them are leaving, have asked for time, or have no room within the
   * rate that they announced; `steady_time::max()` if none will.
   */
  std::optional<steady_time> WillingAt(const choice_request& aRequest,
                                       steady_time aNow);
  /** True if a server of the service has announced a limit to its rate. */
  bool HasRateLimit(const service_id& aService, steady_time aNow);
  /** The turn of a request that finds room within the rates at `aRoomAt` at
   * the earliest. */
  steady_time TakeTurn(const choice_request& aRequest,
                       steady_time aRoomAt,
                       steady_time aNow);
  /** Forgets notices and limits of servers that must have ended long ago. */
  void ForgetOldNotices(steady_time aNow);
  /** Calls `aCallback` once, when a server of the service may have a free slot.
   */
  void NotifyOnCapacity(const service_id& aService,
                        std::function<void()> aCallback);
  /** Takes an idle connection for sending a cancellation, if there is one. */
  std::optional<connection_id> BorrowIdle(const server_id& aServer,
                                          steady_time aNow);
  void ReturnIdle(const server_id& aServer, connection_id aConnection);

  /** Accounts for a borrowed connection that was closed. */
  void DiscardBorrowed(const server_id& aServer);
  /** Closes all idle connections, for a daemon whose lease has expired. */
  void CloseIdle();
  /** Closes idle connections in excess of the shares. */
  void CloseSurplus(steady_time aNow);

  /** True unless a server's first share still awaits the handover delay. */
  [[nodiscard]] bool HasAllShares(steady_time aNow) const;

  /** Index versions that each service can currently answer from. */
  std::vector<service_snapshots> Snapshots(
    const std::vector<service_id>& aServices);
  /** The failure domains in which servers of each service can answer. */
  std::vector<fan_out_service> AnsweringDomains(
    const std::vector<service_id>& aServices,
    steady_time aNow);
  /** Time after which an attempt counts as slow; nothing until there are enough
   * samples. */
  std::optional<microseconds> SlowThreshold(const service_id& aService);
  /** The servers whose lease this host holds and that are not gone. */
  [[nodiscard]] std::vector<server_id> LeasedServers() const;
  [[nodiscard]] std::vector<backend_status> Statuses(steady_time aNow) const;
  [[nodiscard]] std::optional<server_record> FindServer(
    const server_id& aServer) const;
};

}
