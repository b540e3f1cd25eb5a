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

struct flying_attempt
{
  attempt_permit mPermit;
  attempt_reason mReason = attempt_reason::Regular;
  std::unique_ptr<boost::asio::cancellation_signal> mCancel;
};

/** How far the request is at one service. */
struct service_progress
{
  service_id mService;
  bool mIsDone = false;
  bool mWaitsForPlace = false;
  bool mWasHedged = false;
  attempt_reason mNextReason = attempt_reason::Regular;
  std::map<attempt_number, flying_attempt> mFlying;
  std::vector<server_id> mExcludedServers;
  failure_domain_id mFirstDomain;
  int mShedRounds = 0;
  /** Servers that the request was sent to, or may have been. */
  std::vector<server_id> mTried;
  /** Those of them that refused it without running it. */
  std::vector<server_id> mRefusedBy;
  steady_time mStartAt;
  steady_time mHedgeAt = steady_time::max();
  missing_reason mReason = missing_reason::NoServer;
};

/**
 * One request's fan-out. It lives on the request's executor; attempts that
 * outlive the request hold it until they end.
 */
class scatter_run : public std::enable_shared_from_this<scatter_run>
{
  /** Pause before servers that refused a request are asked again, times the
   * rounds so far. */
  static constexpr milliseconds kShedPause{ 5 };

  backend_controller& mBackends;
  budget_controller& mBudgets;
  fingerprint_controller& mFingerprints;
  const scatter_hooks& mHooks;
  boost::asio::any_io_executor mExecutor;
  boost::asio::steady_timer mChanged;

  // A copy of what attempts need, since they may outlive the request.
  request_kind mKind;
  request_id mRequest;
  team_id mTeam;
  idempotency_key mKey;
  fingerprint_id mFingerprint;
  std::shared_ptr<const std::string> mBody;
  steady_time mDeadline;
  steady_time mGiveUpAt;
  steady_time mSoftDeadline;
  std::shared_ptr<const forwarded_request> mForwarded;
  std::shared_ptr<caller_status> mCaller;
  bool mIsMerged;
  /** Latest time after an attempt at which it is hedged. */
  std::optional<microseconds> mHedgeCap;
  std::uint32_t mMaxAttempts;
  /** Services without which there is no answer. */
  std::size_t mNeeded;
  snapshot_number mSnapshot;

  std::vector<service_progress> mServices;
  std::vector<service_response> mResponses;
  std::vector<missing_service> mMissing;
  attempt_number mNextAttempt = 1;
  /** Attempts of an earlier plan are told apart by it. */
  int mPlan = 0;
  bool mIsEnded = false;
  bool mNeedsReplan = false;
  bool mIsQuarantined = false;
  bool mWasSent = false;
  bool mIsCanary = false;
  int mPendingCrashes = 0;
  std::vector<server_id> mCrashedServers;
  bool mIsSuspect = false;
  std::function<void(std::string)> mOnLateResponse;
  std::optional<server_response> mFailedResponse;
  std::size_t mAttempts = 0;
  std::size_t mHedges = 0;
  std::size_t mRetries = 0;
  /** What is known of a `Run` after its one attempt. */
  execution_status mRan = execution_status::No;

public:
  scatter_run(backend_controller& aBackends,
              budget_controller& aBudgets,
              fingerprint_controller& aFingerprints,
              const scatter_hooks& aHooks,
              const boost::asio::any_io_executor& aExecutor,
              const request_context& aRequest);
  boost::asio::awaitable<void> Run(request_context& aRequest);

private:
  /** Ends the wait when the caller leaves. */
  void WatchCaller();
  [[nodiscard]] bool IsAbandoned() const;
  /** True when what is in should be answered rather than waited for more. */
  [[nodiscard]] bool IsGoodEnough(steady_time aNow) const;
  void SetServices(const std::vector<service_id>& aServices);
  [[nodiscard]] bool IsFinished() const;
  /** Starts over with another index version; nothing is mixed. */
  void Replan(request_context& aRequest);
  void StartWhatIsDue(steady_time aNow);
  void Hedge(service_progress& aService, steady_time aNow);
  /** True while the request may be sent to one more server of the service. */
  [[nodiscard]] bool MayTryAgain(const service_progress& aService) const;
  [[nodiscard]] steady_time NextDue(steady_time aNow) const;
  [[nodiscard]] choice_request Choice(const service_progress& aService) const;
  void StartAttempt(service_progress& aService,
                    attempt_reason aReason,
                    steady_time aNow);
  void Count(service_progress& aService,
             attempt_reason aReason,
             steady_time aNow);
  /** Waits for a place if a server could have one, else gives up. */
  void WaitOrGiveUp(service_progress& aService);
  [[nodiscard]] std::size_t PlaceOf(const service_id& aService) const;
  void GiveUp(service_progress& aService, missing_reason aReason);
  void Launch(service_progress& aService,
              attempt_reason aReason,
              attempt_permit aPermit);
  static boost::asio::awaitable<void> Attempt(std::shared_ptr<scatter_run> aRun,
                                              std::size_t aPlace,
                                              attempt_number aNumber,
                                              int aPlan,
                                              server_request aOrder);
  void OnDone(std::size_t aPlace,
              attempt_number aNumber,
              attempt_result aAnswer);
  /** Keeps a server's own failure, and logs an attempt that came to nothing.
   */
  void NoteFailure(const service_progress& aService,
                   const flying_attempt& aAttempt,
                   attempt_result& aAnswer);
  void Judge(service_progress& aService,
             const attempt_permit& aPermit,
             attempt_result aAnswer);
  void TakeAnswer(service_progress& aService, attempt_result aAnswer);
  /** Gives a service's attempts up, but for those in a cold server's slot. */
  static void Cancel(service_progress& aService);
  void TryElsewhere(service_progress& aService,
                    const attempt_permit& aPermit,
                    attempt_status aStatus);
  void JudgeRun(service_progress& aService,
                const attempt_permit& aPermit,
                attempt_result aAnswer);
  /** A reset may mean that the request crashes whoever runs it. */
  void ReportCrash(const attempt_permit& aPermit, service_progress& aService);
  static boost::asio::awaitable<void> AwaitVerdict(
    std::shared_ptr<scatter_run> aRun,
    std::size_t aPlace,
    int aPlan);
  void CancelAll();
  void End(request_context& aRequest);
  [[nodiscard]] execution_status RanOf(const request_context& aRequest) const;
  void RefuseRun(request_context& aRequest) const;
};

}
