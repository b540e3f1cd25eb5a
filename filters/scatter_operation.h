#pragma once

#include "filters/scatter.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace hibiscusspool {

using attempt_number = std::uint64_t;

/** Why an attempt is sent. */
enum class attempt_reason
{
  Regular,
  Hedge,
  Retry,
};

template<>
inline constexpr name_table<attempt_reason, 3> kNames<attempt_reason>{ {
  { attempt_reason::Regular, "regular" },
  { attempt_reason::Hedge, "hedge" },
  { attempt_reason::Retry, "retry" },
} };

struct in_flight_attempt
{
  attempt_permit mPermit;
  attempt_reason mReason = attempt_reason::Regular;
  std::unique_ptr<boost::asio::cancellation_signal> mCancel;
};

/** Progress of the request at one service. */
struct service_progress
{
  service_id mService;
  bool mIsDone = false;
  bool mIsAwaitingCapacity = false;
  /** A server answered, if only with an error. */
  bool mIsAnswered = false;
  /** A server that had got the request lost the connection. */
  bool mWasLost = false;
  bool mIsHedged = false;
  /** The subquery in progress that asks the service, if any. */
  std::optional<std::size_t> mSubquery;
  /** The server that the subquery asked; empty until it is reported. */
  server_id mSubqueryServer;
  attempt_reason mNextReason = attempt_reason::Regular;
  std::map<attempt_number, in_flight_attempt> mInFlight;
  std::vector<server_id> mExcludedServers;
  /** Failure domain of the first attempt, which the others avoid. */
  failure_domain_id mFirstDomain;
  /** How often servers that refused the request were tried again. */
  int mRefusalRounds = 0;
  /** Servers to which the request was or may have been sent. */
  std::vector<server_id> mTried;
  /** The subset of `mTried` that refused the request without running it. */
  std::vector<server_id> mRefusedBy;
  steady_time mNextAttemptAt;
  /** When the first attempt was due; no time before that. */
  steady_time mFirstChoiceAt{};
  steady_time mHedgeAt = steady_time::max();
  missing_reason mReason = missing_reason::NoServer;
};

/** A subquery of this request at another entry host. */
struct sent_subquery
{
  assigned_subquery mPlan;
  request_id mId;
  steady_time mSentAt;
  bool mHasReported = false;
  /** Null once the subquery has ended. */
  std::function<void()> mCancel;
};

/**
 * Fan-out of one request. Used only on the request's executor; attempts that
 * outlive the request keep it alive until they end.
 */
class scatter_operation : public std::enable_shared_from_this<scatter_operation>
{
  /** Pause before servers that refused a request are tried again; multiplied
   * by the number of rounds so far. */
  static constexpr milliseconds kRefusalBackoff{ 5 };

  backend_controller& mBackends;
  budget_controller& mBudgets;
  fingerprint_controller& mFingerprints;
  const scatter_hooks& mHooks;
  boost::asio::any_io_executor mExecutor;
  boost::asio::steady_timer mWakeTimer;

  // Copies of what attempts need, since they may outlive the request.
  request_kind mKind;
  request_id mRequest;
  team_id mTeam;
  idempotency_key mKey;
  fingerprint_id mFingerprint;
  std::shared_ptr<const std::string> mBody;
  steady_time mDeadline;
  steady_time mGiveUpAt;
  steady_time mSoftDeadline;
  /** Soft deadline of a fan-out that is divided. */
  steady_time mDividedSoftDeadline;
  std::shared_ptr<const forwarded_request> mForwarded;
  std::shared_ptr<const send_check> mMaySend;
  std::shared_ptr<caller_status> mCaller;
  configuration_number mConfiguration;
  std::size_t mTopRecords;
  std::vector<std::string> mPartFields;
  subquery_callback mOnProgress;
  steady_time mReportBy;
  bool mIsMerged;
  /** Maximum time from an attempt to its hedge. */
  std::optional<microseconds> mMaxHedgeDelay;
  std::uint32_t mMaxAttempts;
  std::uint32_t mPriority;
  /** Random number of the request, for rollouts. */
  std::uint64_t mDraw;
  /** Minimum number of services that must answer. */
  std::size_t mRequiredResponses;
  snapshot_number mSnapshot;

  std::vector<service_progress> mServices;
  std::vector<service_response> mResponses;
  std::vector<missing_service> mMissing;
  std::vector<subquery_failure> mFailures;
  std::vector<sent_subquery> mSubqueries;
  /** When the parts so far are reported; only in a subquery. */
  steady_time mReportAt = steady_time::max();
  bool mHasReported = false;
  attempt_number mNextAttempt = 1;
  /** Number of the current plan; results of attempts from an earlier plan are
   * ignored. */
  int mPlanNumber = 0;
  bool mIsEnded = false;
  /** Something changed since the services were last looked through. */
  bool mIsWoken = false;
  bool mNeedsReplan = false;
  bool mIsQuarantined = false;
  /** At least one attempt was sent and not refused, so a server may have run
   * the request. */
  bool mMayHaveRun = false;
  /** Only the first service gets the request until it has answered. */
  bool mIsCanary = false;
  int mPendingCrashReports = 0;
  std::vector<server_id> mCrashedServers;
  bool mIsSuspect = false;
  std::function<void(std::string)> mOnLateResponse;
  std::optional<server_response> mFailedResponse;
  /** When all services whose servers asked for time are back. */
  std::optional<steady_time> mServersBackAt;
  std::size_t mAttempts = 0;
  std::size_t mHedges = 0;
  std::size_t mRetries = 0;
  /** Whether a request that is not idempotent ran, as far as is known. */
  execution_status mRan = execution_status::No;

public:
  scatter_operation(backend_controller& aBackends,
                    budget_controller& aBudgets,
                    fingerprint_controller& aFingerprints,
                    const scatter_hooks& aHooks,
                    const boost::asio::any_io_executor& aExecutor,
                    const request_context& aRequest);
  boost::asio::awaitable<void> Run(request_context& aRequest);

private:
  /** Ends the wait for attempts, also if it has not begun yet. */
  void Wake();
  /** Ends the wait for attempts when the caller disconnects. */
  void ObserveCaller();
  [[nodiscard]] bool IsCallerDisconnected() const;
  /** True if the soft deadline has passed and enough services answered. */
  [[nodiscard]] bool CanReturnPartial(steady_time aNow) const;
  void SetServices(const service_set& aServices);
  [[nodiscard]] bool IsFinished() const;
  /** Restarts with another index version and drops the responses so far, since
   * versions must not be mixed. */
  void Replan(request_context& aRequest);
  void StartDueAttempts(steady_time aNow);
  void Hedge(service_progress& aService, steady_time aNow);
  /** False once the caller's key may not be used any more. */
  [[nodiscard]] bool MaySend(steady_time aNow) const;
  /** True if the request may be sent to one more server of the service. */
  [[nodiscard]] bool MayTryAnotherServer(
    const service_progress& aService) const;
  [[nodiscard]] steady_time NextDue(steady_time aNow) const;
  [[nodiscard]] choice_request MakeChoiceRequest(
    const service_progress& aService,
    attempt_reason aReason) const;
  void StartAttempt(service_progress& aService,
                    attempt_reason aReason,
                    steady_time aNow);
  /** Time after which a part of this team counts as slow, if known. */
  [[nodiscard]] std::optional<microseconds> SlowPartThreshold() const;
  void CountAttempt(service_progress& aService,
                    attempt_reason aReason,
                    steady_time aNow);
  /** Waits until servers that asked for time are back, or gives up if that is
   * after the deadline. */
  void AwaitServerOrGiveUp(service_progress& aService, steady_time aBackAt);
  /** Starts the next attempt at `aUntil` if that is before `aLimit`; else gives
   * up and tells the caller when a retry may succeed. */
  void WaitUntilOrGiveUp(service_progress& aService,
                         steady_time aUntil,
                         steady_time aLimit,
                         missing_reason aReason);
  /** Waits for its turn within the rates that the servers announced, or gives
   * up if the response would be late. */
  void AwaitRateOrGiveUp(service_progress& aService, steady_time aRoomAt);
  /** Ends a fan-out before any server is asked if too few services have room
   * within the rates that their servers announced. */
  void EndIfRatesExcludeMinimum(steady_time aNow);
  /** Waits for a free slot or a retry if one is possible, else gives up. */
  void AwaitCapacityOrGiveUp(service_progress& aService);
  /** Position of the progress in `mServices`. */
  [[nodiscard]] std::size_t IndexOf(const service_progress& aService) const;
  void GiveUp(service_progress& aService, missing_reason aReason);
  void SpawnAttempt(service_progress& aService,
                    attempt_reason aReason,
                    attempt_permit aPermit);
  static boost::asio::awaitable<void> RunAttempt(
    std::shared_ptr<scatter_operation> aOperation,
    std::size_t aIndex,
    attempt_number aNumber,
    int aPlanNumber,
    server_request aServerRequest);
  /** An attempt that the service doesn't know is reported, and leaves open
   * whether the request ran. */
  void OnAttemptDone(std::size_t aIndex,
                     attempt_number aNumber,
                     attempt_result aResult);
  /** Keeps account of servers that answered a forwarded request and of those
   * that may have crashed. */
  void RecordEnd(service_progress& aService,
                 const attempt_permit& aPermit,
                 attempt_status aStatus);
  /** Logs a failed attempt of a forwarded request and keeps the server's error
   * response. */
  void RecordFailure(const service_progress& aService,
                     const in_flight_attempt& aAttempt,
                     attempt_result& aResult);
  void HandleResult(service_progress& aService,
                    const attempt_permit& aPermit,
                    attempt_result aResult);
  void AcceptResponse(service_progress& aService, attempt_result aResult);
  /** Cancels a service's attempts except those in a cold slot. */
  static void CancelAttempts(service_progress& aService);
  void RetryOrGiveUp(service_progress& aService,
                     const attempt_permit& aPermit,
                     attempt_status aStatus);
  void HandleNonIdempotentResult(service_progress& aService,
                                 const attempt_permit& aPermit,
                                 attempt_result aResult);
  /** Reports a reset, since the request may crash any server that runs it. */
  void ReportCrash(const attempt_permit& aPermit, service_progress& aService);
  static boost::asio::awaitable<void> AwaitCrashVerdict(
    std::shared_ptr<scatter_operation> aOperation,
    std::size_t aIndex,
    int aPlanNumber);
  void CancelAllAttempts();
  /** Cancels what is left of a request that ended at `aEndedAt`. */
  void CancelWorkLeft(steady_time aEndedAt);
  /** Sends the subqueries of a large fan-out to other entry hosts. */
  void StartSubqueries(steady_time aNow);
  void StartSubquery(assigned_subquery aPlan, steady_time aNow);
  void OnSubqueryUpdate(std::size_t aSubquery, subquery_update aUpdate);
  /** True if each part is of a service that only this subquery still asks, and
   * none is there twice. */
  [[nodiscard]] bool MayMergeParts(std::size_t aSubquery,
                                   const std::vector<subquery_part>& aParts);
  /** Accepts the parts of an update, which share their records. */
  void AcceptParts(std::size_t aSubquery, subquery_update& aUpdate);
  void OnSubqueryFailure(std::size_t aSubquery,
                         const subquery_failure& aFailure);
  /** Asks the servers for what a subquery leaves unanswered. */
  void ReclaimServices(std::size_t aSubquery, subquery_end aEnd);
  void EndSubquery(std::size_t aSubquery, subquery_end aEnd);
  void EndAllSubqueries(steady_time aNow);
  /** When a host that has not reported on a subquery is late. */
  [[nodiscard]] steady_time LateTime(steady_time aSentAt) const;
  [[nodiscard]] microseconds SubqueryReportDelay(steady_time aNow) const;
  /** The progress at a service that another host names; null if this request
   * isn't for the service. */
  [[nodiscard]] service_progress* FindProgress(const service_id& aService);
  /** Sets the time of a subquery's report, once its servers are asked. */
  void ScheduleReport(steady_time aNow);
  void ReportIfDue(steady_time aNow);
  void ReportPart();
  /** Reports that the request crashes no servers, if that is known. */
  void ReportAnswered() const;
  void Finish(request_context& aRequest);
  [[nodiscard]] execution_status ExecutionStatus(
    const request_context& aRequest) const;
  void RefuseRun(request_context& aRequest) const;
};

}
