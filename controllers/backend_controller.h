#pragma once

#include "core/sharded_map.h"
#include "core/worker_number.h"
#include "decisions/records.h"
#include "decisions/replica_choice.h"
#include "decisions/server_health.h"
#include "decisions/server_limit.h"
#include "decisions/share.h"
#include "decisions/snapshot_choice.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace hibiscusspool {

/** How an attempt at a backend server ended. */
enum class attempt_status
{
  Answered,
  /** The server rejected the request before it began. */
  Shed,
  /** No byte was sent, so that it did not run. */
  NotSent,
  /** The connection ended after bytes were sent. */
  Reset,
  /** No answer within the time it had. */
  TimedOut,
  /** Given up because another attempt won or the request ended. */
  Cancelled,
  /** The answer was of another index version. */
  WrongSnapshot,
  /** The answer was not to this request, or can't be read. */
  BadAnswer,
  /** The server answered with an error of its own. */
  Failed,
};

template<>
inline constexpr name_table<attempt_status, 9> kNames<attempt_status>{ {
  { attempt_status::Answered, "answered" },
  { attempt_status::Shed, "shed" },
  { attempt_status::NotSent, "not_sent" },
  { attempt_status::Reset, "reset" },
  { attempt_status::TimedOut, "timed_out" },
  { attempt_status::Cancelled, "cancelled" },
  { attempt_status::WrongSnapshot, "wrong_snapshot" },
  { attempt_status::BadAnswer, "bad_answer" },
  { attempt_status::Failed, "failed" },
} };

/** Leave to send one attempt to one server. */
struct attempt_permit
{
  service_id mService;
  server_id mServer;
  incarnation_number mIncarnation = 0;
  std::string mAddress;
  failure_domain_id mFailureDomain;
  /** An open connection to use, or 0 to open one. */
  connection_id mConnection = 0;
  /** The place is one of the server's cold slots. */
  bool mIsCold = false;
  steady_time mStartedAt;
};

/** What became of a permitted attempt. */
struct attempt_report
{
  attempt_status mStatus = attempt_status::Answered;
  microseconds mDuration{ 0 };
  /** The connection that may be used again, or 0 when it is closed. */
  connection_id mConnection = 0;
};

struct choice_request
{
  service_id mService;
  snapshot_number mSnapshot = 0;
  /** Servers that this request must not be sent to again. */
  std::vector<server_id> mExcludedServers;
  /** A failure domain to stay out of, if another will do. */
  failure_domain_id mAvoidedDomain;
  /** For a request that is pinned to no index version. */
  bool mAcceptsAnySnapshot = false;
  /** The worker whose connections are best; others work too. */
  worker_number mWorker = 0;
  /** If any is named, only these servers. */
  std::vector<server_id> mAllowedServers;
};

struct backend_config
{
  host_id mSelf;
  failure_domain_id mFailureDomain;
  /** Time until a gained share may be used. */
  milliseconds mHandoverDelay{ 0 };
  /** Time from the end of a cold start to the full limit. */
  milliseconds mRampDuration{ 10'000 };
  /** What a server in another failure domain counts as slower. */
  microseconds mCrossDomainPenalty{ 0 };
  /** What a connection that is still to be opened counts for. */
  microseconds mConnectPenalty{ 0 };
  /** What an attempt that fails counts for, against a server by its failures
   * of late. */
  microseconds mFailurePenalty{ 0 };
  /** Share of the answers after which an attempt counts as slow. */
  double mSlowQuantile = 0.95;
  /** Refusals in a row after which a ready server is taken for a cold one; 0
   * for never. */
  std::uint32_t mColdAfterRefusals = 8;
  /** Keep away from servers that fail, while another can answer. */
  bool mSuspendsFailing = false;
  std::uint64_t mSeed = 0;
};

struct backend_hooks
{
  /** Closes connections; called under no lock. */
  std::function<void(const std::vector<connection_id>&)> mCloseConnections;
  /** A server behaves as if cold; called under no lock. */
  std::function<void(const server_id&)> mOnTurnedCold;
};

/** What `status` and metrics show of one server. */
struct backend_status
{
  server_record mRecord;
  std::uint32_t mShare = 0;
  std::uint32_t mOpenConnections = 0;
  std::uint32_t mOutstanding = 0;
  std::uint32_t mConcurrencyLimit = 0;
  microseconds mServiceTime{ 0 };
};

/**
 * The backend servers as this host sees them: records from the watch stream,
 * shares, limits, and the connections that are open. State is in shards by
 * service, each under its own lock.
 */
class backend_controller
{
  struct backend
  {
    server_record mRecord;
    server_share mShare;
    server_share mColdShare;
    std::vector<connection_id> mIdle;
    std::uint32_t mOpenConnections = 0;
    std::uint32_t mOutstanding = 0;
    server_limit mLimit;
    service_time mServiceTime;
    server_health mHealth;
    steady_time mReadySince;
    /** Sheds and resets in a row, to notice an unannounced cold start. */
    std::uint32_t mRefusedInRow = 0;
    bool mLooksCold = false;
  };

  struct service_pool
  {
    /** In the order of their ids, on which shares depend. */
    std::vector<backend> mBackends;
    quantile_tracker mTail{ 0.95 };
    std::mt19937_64 mRandom;
    std::vector<std::function<void()>> mWaiters;
  };

  backend_config mConfig;
  backend_hooks mHooks;
  sharded_map<service_id, service_pool> mServices;
  sharded_map<server_id, service_id> mServiceOf;

  mutable std::mutex mViewLock;
  std::vector<host_id> mHosts;
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
  [[nodiscard]] std::vector<host_id> Hosts() const;
  [[nodiscard]] std::shared_ptr<const std::set<failure_domain_id>> DomainsOut()
    const;
  [[nodiscard]] std::uint32_t Allowed(const backend& aBackend,
                                      steady_time aNow) const;
  [[nodiscard]] std::uint32_t Share(const backend& aBackend,
                                    steady_time aNow) const;
  /** Deals the service's units anew; `aFresh` names a server new to all. */
  void DealPool(service_pool& aPool,
                const std::vector<host_id>& aHosts,
                const server_id& aFresh,
                steady_time aNow) const;
  [[nodiscard]] std::vector<connection_id> TakeSurplus(backend& aBackend,
                                                       steady_time aNow) const;
  [[nodiscard]] std::vector<connection_id> TakeSurplus(service_pool& aPool,
                                                       steady_time aNow) const;
  [[nodiscard]] static bool IsCold(const backend& aBackend);
  [[nodiscard]] static bool CanAnswer(
    const backend& aBackend,
    const std::set<failure_domain_id>& aDomainsOut);
  [[nodiscard]] bool IsCandidate(const backend& aBackend,
                                 const choice_request& aRequest,
                                 const std::set<failure_domain_id>& aDomainsOut,
                                 steady_time aNow) const;
  [[nodiscard]] bool IsKeptFrom(const backend& aBackend,
                                steady_time aNow) const;
  /** What a server counts as slower than its answers say. */
  [[nodiscard]] microseconds HandicapOf(const backend& aBackend,
                                        steady_time aNow) const;
  [[nodiscard]] replica_candidate ToCandidate(const backend& aBackend,
                                              std::size_t aPlace,
                                              steady_time aNow) const;
  /** The better of two random candidates, if a few draws find two. */
  std::optional<std::size_t> PickFromSample(
    service_pool& aPool,
    const choice_request& aRequest,
    const std::set<failure_domain_id>& aDomainsOut,
    steady_time aNow) const;
  /** The better of two out of all candidates. */
  std::optional<std::size_t> PickFromAll(
    service_pool& aPool,
    const choice_request& aRequest,
    const std::set<failure_domain_id>& aDomainsOut,
    steady_time aNow) const;
  void Learn(backend& aBackend,
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

  /** Sets the entry hosts among which shares are divided. */
  void SetHosts(std::vector<host_id> aHosts, steady_time aNow);
  void SetDomainsOut(std::set<failure_domain_id> aDomains);
  /**
   * Takes a server's record. `aIsFresh` says that it came by itself, so that
   * no host can have used this run of the server before.
   */
  void Put(const server_record& aRecord, bool aIsFresh, steady_time aNow);
  void Remove(const server_id& aServer, steady_time aNow);

  /** Picks a server and takes a place at it, or nothing. */
  std::optional<attempt_permit> Choose(const choice_request& aRequest,
                                       steady_time aNow);
  /** Ends a permitted attempt. */
  void Finish(const attempt_permit& aPermit,
              const attempt_report& aReport,
              steady_time aNow);
  /** Has `aWake` called once, when a place at the service may be free. */
  void NotifyOnCapacity(const service_id& aService,
                        std::function<void()> aWake);
  /** Gives back an idle connection for a cancellation, if there is one. */
  std::optional<connection_id> BorrowIdle(const server_id& aServer);
  void ReturnIdle(const server_id& aServer, connection_id aConnection);

  /** A connection that was borrowed is closed. */
  void DiscardBorrowed(const server_id& aServer);
  /** Closes all unused connections, for a daemon whose lease has lapsed. */
  void CloseIdle();
  /** Closes what the shares no longer allow. */
  void CloseSurplus(steady_time aNow);

  /** True when no server's share still waits to be handed over. */
  [[nodiscard]] bool HasAllShares(steady_time aNow) const;

  /** Index versions that each service can answer from now. */
  std::vector<service_snapshots> Snapshots(
    const std::vector<service_id>& aServices);
  /** Time after which an attempt at the service counts as slow. */
  std::optional<microseconds> SlowThreshold(const service_id& aService);
  /** The servers that name this host as their sponsor and are not gone. */
  [[nodiscard]] std::vector<server_id> LeasedServers() const;
  [[nodiscard]] std::vector<backend_status> Statuses(steady_time aNow) const;
  [[nodiscard]] std::optional<server_record> FindServer(
    const server_id& aServer) const;
};

}
