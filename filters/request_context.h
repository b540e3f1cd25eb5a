#pragma once

#include "controllers/catalog_controller.h"
#include "core/clock.h"
#include "core/ids.h"
#include "decisions/admission/refusal.h"
#include "decisions/routing/route_table.h"
#include "filters/caller_status.h"
#include "filters/forwarded_message.h"
#include "filters/subquery.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusspool {

enum class request_kind
{
  /** Sent to all services of the team; idempotent. */
  Query,
  /** Runs at one server, at most once per idempotency key. */
  Run,
  /** Proxied unchanged; idempotent. */
  Forward,
  /** Proxied unchanged; not idempotent, so not resent once a server may have
   * started it. */
  ForwardOnce,
};

template<>
inline constexpr name_table<request_kind, 4> kNames<request_kind>{ {
  { request_kind::Query, "query" },
  { request_kind::Run, "run" },
  { request_kind::Forward, "forward" },
  { request_kind::ForwardOnce, "forward_once" },
} };

/** True for requests that can always be resent. */
constexpr bool
IsIdempotent(request_kind aKind)
{
  return aKind == request_kind::Query || aKind == request_kind::Forward;
}

/** Why a service is missing from a response. */
enum class missing_reason
{
  NoServer,
  NoResponseInTime,
  Failed,
  /** All servers are leaving or asked for more time than is left. */
  Paused,
  /** No server has room in time within the rate that it announced. */
  RateLimited,
  /** The caller's key may not be used any more. */
  KeyUnusable,
};

template<>
inline constexpr name_table<missing_reason, 6> kNames<missing_reason>{ {
  { missing_reason::NoServer, "no_server" },
  { missing_reason::NoResponseInTime, "no_answer_in_time" },
  { missing_reason::Failed, "failed" },
  { missing_reason::Paused, "paused" },
  { missing_reason::RateLimited, "rate_limited" },
  { missing_reason::KeyUnusable, "key_unusable" },
} };

struct service_response
{
  service_id mService;
  server_response mResponse;
};

struct missing_service
{
  service_id mService;
  missing_reason mReason = missing_reason::NoServer;
};

/** Whether a request may be sent to a server at this time. */
using send_check = std::function<bool(steady_time)>;

/** An error that the API handler found in a request before the chain. */
struct request_error
{
  refusal_reason mReason = refusal_reason::BadRequest;
  std::string mDetail;
};

/**
 * State of one request in the filter chain. The API handler sets the first
 * group of fields, the filters the others. Independent of the protocol.
 */
struct request_context
{
  request_kind mKind = request_kind::Query;
  team_id mTeam;
  request_id mRequest;
  idempotency_key mKey;
  std::shared_ptr<const std::string> mBody;
  /** The caller's time limit, if it sent one. */
  std::optional<milliseconds> mCallerTimeout;
  steady_time mReceivedAt;
  std::optional<request_error> mError;
  /** Whether the caller is still connected; null if that can't be known. */
  std::shared_ptr<caller_status> mCaller;
  /** The request to forward; null for other kinds. */
  std::shared_ptr<const forwarded_request> mForwarded;
  /** The virtual host and the path for routing. */
  std::string mAuthority;
  std::string mPath;
  /** The API key that the caller presented; empty if none. Must not appear in
   * logs, refusals or forwarded fields. */
  std::string mCallerKey;

  team_policy mPolicy;
  bool mHasPolicy = false;
  steady_time mDeadline;
  /** When this host stops waiting for attempts that continue after
   * `mDeadline`. */
  steady_time mGiveUpAt;
  /** The routes of the configuration that serves the whole request. */
  std::shared_ptr<const route_table> mRoutes;
  configuration_number mConfiguration = 0;
  /** The response is merged from the parts of all services. */
  bool mIsMerged = false;
  std::size_t mTopRecords = 0;
  /** Header fields of each part that the API handler needs. */
  std::vector<std::string> mPartFields;
  /** Receives the parts of a subquery before it ends; null for others. */
  subquery_callback mOnProgress;
  /** When the parts of a subquery are reported at the latest. */
  steady_time mReportBy;
  /** Maximum number of servers per service that may get the request. */
  std::uint32_t mMaxAttempts = UINT32_MAX;
  std::uint32_t mPriority = 0;
  /** The route needs no key. */
  bool mIsPublic = false;
  /** The team that holds the caller's key; empty if none is known. */
  team_id mCallerTeam;
  /** Asked before each send; null if nothing but the host's state matters. */
  std::shared_ptr<const send_check> mMaySend;
  /** From this time a partial response is preferred to a later, fuller one. */
  steady_time mSoftDeadline = steady_time::max();
  /** The same for a fan-out that is divided among entry hosts, which leaves
   * this host less to do before it responds. */
  steady_time mDividedSoftDeadline;
  /** When the request was counted in its caller team's quota, if it was. */
  std::optional<steady_time> mQuotaCountedAt;
  fingerprint_id mFingerprint;
  bool mIsAdmitted = false;
  steady_time mAdmittedAt;
  /** The request is suspected of crashing servers; the control hosts permitted
   * one more trial. */
  bool mIsTrial = false;
  bool mIsClaimed = false;
  /** The claims table has the response, so no server gets the request. */
  bool mIsAnsweredByClaim = false;
  /** Id of this attempt at a claimed request. */
  request_id mClaimAttempt;

  service_set mServices;
  snapshot_number mSnapshot = 0;
  std::vector<service_response> mResponses;
  std::vector<missing_service> mMissing;
  /** What is known of the missing services of a subquery. */
  std::vector<subquery_failure> mFailures;
  double mCoverage = 0;
  /** The response to a `Run`. */
  std::string mRunResponse;
  /** Whether a server ran the request, as far as is known. */
  execution_status mRan = execution_status::No;

  /** The complete response to a forwarded request. */
  std::optional<server_response> mResponse;
  /** The latest error response of a server. */
  std::optional<server_response> mFailedResponse;

  /** When the servers that asked for time may answer a retry, if any did. */
  std::optional<milliseconds> mServersBackIn;

  std::size_t mAttempts = 0;
  std::size_t mHedges = 0;
  std::size_t mRetries = 0;

  std::optional<refusal> mRefusal;

  /** Receives a response to a `Run` that arrives after the caller was
   * answered. */
  std::function<void(std::string)> mOnLateResponse;

  /** Refuses the request; only the first refusal is kept. */
  void Refuse(refusal_reason aReason,
              std::string aDetail,
              milliseconds aRetryAfter = milliseconds(0))
  {
    if (mRefusal) {
      return;
    }
    refusal made;
    made.mTeam = mTeam;
    made.mRequest = mRequest;
    made.mReason = aReason;
    made.mRan = mRan;
    made.mDetail = std::move(aDetail);
    made.mRetryAfter = aRetryAfter;
    mRefusal = std::move(made);
  }
};

}
