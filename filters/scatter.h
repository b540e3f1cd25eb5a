#pragma once

#include "controllers/backend_controller.h"
#include "controllers/budget_controller.h"
#include "controllers/fingerprint_controller.h"
#include "decisions/admission/overload.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

/** One attempt as it is sent to a server. */
struct server_request
{
  attempt_permit mPermit;
  request_kind mKind = request_kind::Query;
  /** Id of the attempt, which the server's response must repeat. */
  request_id mAttemptId;
  team_id mTeam;
  idempotency_key mKey;
  snapshot_number mSnapshot = 0;
  /** The deadline that is sent to the server. */
  steady_time mDeadline;
  /** When this host stops waiting for a response. */
  steady_time mGiveUpAt;
  std::shared_ptr<const std::string> mBody;
  /** The request to forward unchanged; null for queries and runs. */
  std::shared_ptr<const forwarded_request> mForwarded;
  /** The response is one part of a merged response. */
  bool mIsPart = false;
  /** Asked just before the attempt is sent; null if it always may be. */
  std::shared_ptr<const send_check> mMaySend{};
};

struct attempt_result
{
  attempt_status mStatus = attempt_status::NotSent;
  server_response mResponse;
  /** The connection to reuse, or 0 if it was closed. */
  connection_id mConnection = 0;
  server_notice mNotice{};
};

/** How a request proceeds after a crash. */
enum class crash_verdict
{
  /** It may be sent to one more server. */
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
  /** All servers that reset this request's connection, in order of time. */
  std::vector<server_id> mServers;
  steady_time mDeadline;
};

struct scatter_hooks
{
  std::function<steady_time()> mNow;
  /** Sends one attempt; supports cancellation. */
  std::function<boost::asio::awaitable<attempt_result>(server_request)>
    mSendAttempt;
  /** Makes an id for an attempt. */
  std::function<request_id()> mNewAttemptId;
  /** Reports servers that reset the connection while running the request. */
  std::function<boost::asio::awaitable<crash_verdict>(crash_report)>
    mReportCrash;
  /** Reports that a suspect request was answered by all services. */
  std::function<void(const fingerprint_id&)> mReportHarmless;
  /** A forwarded request lost the connection to a server that had got it; unset
   * if nobody needs to know. */
  std::function<void(const fingerprint_id&, const attempt_permit&)> mOnLost;
  /** Servers answered a forwarded request, and none that got it is left without
   * an answer. */
  std::function<void(const fingerprint_id&)> mOnAnswered;
  /** Chooses another index version after the first became unavailable. */
  std::function<std::optional<snapshot_number>(const request_context&)> mReplan;
  std::function<bool(steady_time)> mIsLeaseValid;
  /** Whether this host's view of the other hosts is confirmed, which requests
   * need not be; unset if it always is. */
  std::function<bool(steady_time)> mIsConfirmed;
  /** Send a query whose fingerprint is new to one service first. */
  bool mUsesCanary = true;
  /** Maximum time before an attempt is hedged, in percent of the time from
   * the request's arrival to the route's latency objective. */
  int mHedgePercent = 100;
  /** Records the service time of a part of a team's fan-out. */
  std::function<void(const team_id&, microseconds)> mOnPartTime;
  /** An attempt of a forwarded request ended; unset if nobody needs to know. */
  std::function<void(const service_id&, const team_id&, overload_attempt)>
    mOnAttempt;
  /** Time after which a team's part counts as slow, if known. */
  std::function<std::optional<microseconds>(const team_id&)> mSlowPart;
  /** Divides large fan-outs among entry hosts; unset hooks disable it. */
  subquery_hooks mSubqueries;
};

/**
 * Sends a request to one server of each service, with hedges, retries and
 * cancellation. A query whose fingerprint is new goes to one service first, as
 * a canary, to limit the number of servers that a harmful request crashes.
 */
filter
MakeScatter(backend_controller& aBackends,
            budget_controller& aBudgets,
            fingerprint_controller& aFingerprints,
            scatter_hooks aHooks);

}
