#pragma once

#include "controllers/backend_controller.h"
#include "controllers/budget_controller.h"
#include "controllers/fingerprint_controller.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

/** One attempt to be sent to one server. */
struct server_request
{
  attempt_permit mPermit;
  request_kind mKind = request_kind::Query;
  /** Names the attempt itself; the server's answer must repeat it. */
  request_id mAttemptId;
  team_id mTeam;
  idempotency_key mKey;
  snapshot_number mSnapshot = 0;
  /** What the server is told of the time that is left. */
  steady_time mDeadline;
  /** When this host stops waiting for an answer. */
  steady_time mGiveUpAt;
  std::shared_ptr<const std::string> mBody;
  /** What is passed on as it is; unset for the system's own requests. */
  std::shared_ptr<const forwarded_request> mForwarded;
  /** The answer is to be one part of several. */
  bool mIsPart = false;
};

struct attempt_result
{
  attempt_status mStatus = attempt_status::NotSent;
  server_response mResponse;
  /** The connection that may be used again, or 0. */
  connection_id mConnection = 0;
};

/** What a crash means for the request. */
enum class crash_verdict
{
  /** One more server may be tried. */
  TryAgain,
  Quarantined,
};

template<>
inline constexpr name_table<crash_verdict, 2> kNames<crash_verdict>{ {
  { crash_verdict::TryAgain, "try_again" },
  { crash_verdict::Quarantined, "quarantined" },
} };

struct crash_report
{
  fingerprint_id mFingerprint;
  /** All servers that this request was reset by, the latest last. */
  std::vector<server_id> mServers;
  steady_time mDeadline;
};

struct scatter_hooks
{
  std::function<steady_time()> mNow;
  /** Sends one attempt; it may be cancelled. */
  std::function<boost::asio::awaitable<attempt_result>(server_request)>
    mSendAttempt;
  /** Names an attempt. */
  std::function<request_id()> mNewAttemptId;
  /** Tells which servers' connections were reset while they ran it. */
  std::function<boost::asio::awaitable<crash_verdict>(crash_report)>
    mReportCrash;
  /** A request that was under suspicion was answered in full. */
  std::function<void(const fingerprint_id&)> mReportHarmless;
  /** Another index version to plan with, if the first went away. */
  std::function<std::optional<snapshot_number>(const request_context&)> mReplan;
  std::function<bool(steady_time)> mIsLeaseValid;
  /** Try a query that is new to this host on one service first. */
  bool mUsesCanary = true;
  /** Share of the time to a route's objective after which an attempt is
   * hedged at the latest, in percent. */
  int mHedgePercent = 100;
};

/**
 * Sends a request to one server of each service: attempts, hedges, retries,
 * cancellation. A query whose fingerprint is new goes to one service first,
 * as a canary, so that a request which crashes servers costs few.
 */
filter
MakeScatter(backend_controller& aBackends,
            budget_controller& aBudgets,
            fingerprint_controller& aFingerprints,
            scatter_hooks aHooks);

}
