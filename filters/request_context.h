#pragma once

#include "controllers/catalog_controller.h"
#include "core/clock.h"
#include "core/ids.h"
#include "decisions/refusal.h"
#include "decisions/route_table.h"
#include "filters/caller_status.h"
#include "filters/forwarded_message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusspool {

enum class request_kind
{
  /** Asks all services of the team; idempotent. */
  Query,
  /** Runs at one server, at most once, under a key. */
  Run,
  /** Proxied unchanged; idempotent. */
  Forward,
  /** Proxied unchanged; not idempotent, so that it is not resent after a
   * server may have begun it. */
  ForwardOnce,
};

template<>
inline constexpr name_table<request_kind, 4> kNames<request_kind>{ {
  { request_kind::Query, "query" },
  { request_kind::Run, "run" },
  { request_kind::Forward, "forward" },
  { request_kind::ForwardOnce, "forward_once" },
} };

/** True for requests that can be resent whatever became of them. */
constexpr bool
IsIdempotent(request_kind aKind)
{
  return aKind == request_kind::Query || aKind == request_kind::Forward;
}

/** Why an answer lacks a service. */
enum class missing_reason
{
  NoServer,
  NoAnswerInTime,
  Failed,
};

template<>
inline constexpr name_table<missing_reason, 3> kNames<missing_reason>{ {
  { missing_reason::NoServer, "no_server" },
  { missing_reason::NoAnswerInTime, "no_answer_in_time" },
  { missing_reason::Failed, "failed" },
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

/** Something wrong with a request that the front saw before the chain. */
struct request_error
{
  refusal_reason mReason = refusal_reason::BadRequest;
  std::string mDetail;
};

/**
 * One request on its way through the filter chain. Fronts fill in the first
 * part; each filter adds to the rest. It knows no protocol.
 */
struct request_context
{
  request_kind mKind = request_kind::Query;
  team_id mTeam;
  request_id mRequest;
  idempotency_key mKey;
  std::shared_ptr<const std::string> mBody;
  /** How long the caller will wait, if it said so. */
  std::optional<milliseconds> mCallerWait;
  steady_time mReceivedAt;
  std::optional<request_error> mError;
  /** Whether the caller still waits; unset where that can't be known. */
  std::shared_ptr<caller_status> mCaller;
  /** What a forwarded request looks like; unset for others. */
  std::shared_ptr<const forwarded_request> mForwarded;
  /** The virtual host and the path by which it is routed. */
  std::string mAuthority;
  std::string mPath;

  team_policy mPolicy;
  bool mHasPolicy = false;
  steady_time mDeadline;
  /** When this host stops waiting even for what the caller gave up. */
  steady_time mGiveUpAt;
  /** The routes of the one configuration that the request is served by. */
  std::shared_ptr<const route_table> mRoutes;
  configuration_number mConfiguration = 0;
  /** The answer is made of the parts of all services. */
  bool mIsMerged = false;
  std::size_t mTopRecords = 0;
  /** Servers that may get the request, for each service. */
  std::uint32_t mMaxAttempts = UINT32_MAX;
  std::uint32_t mPriority = 0;
  /** When a partial answer is worth more than a later, fuller one. */
  steady_time mSoftDeadline = steady_time::max();
  fingerprint_id mFingerprint;
  bool mIsAdmitted = false;
  steady_time mAdmittedAt;
  /** The request crashed a server before and runs as a trial. */
  bool mIsTrial = false;
  bool mIsClaimed = false;
  /** The claims table held the answer; nothing is sent to a server. */
  bool mIsAnswered = false;
  /** Names this attempt at a claimed request. */
  request_id mClaimAttempt;

  std::vector<service_id> mServices;
  snapshot_number mSnapshot = 0;
  std::vector<service_response> mResponses;
  std::vector<missing_service> mMissing;
  double mCoverage = 0;
  /** The answer to a `Run`. */
  std::string mRunResponse;
  /** Whether a server may have run it, as far as is known. */
  execution_status mRan = execution_status::No;

  /** The whole answer to a forwarded request. */
  std::optional<server_response> mResponse;
  /** The latest failure that a server answered with. */
  std::optional<server_response> mFailedResponse;

  std::size_t mAttempts = 0;
  std::size_t mHedges = 0;
  std::size_t mRetries = 0;

  std::optional<refusal> mRefusal;

  /** Takes the answer to a `Run` that comes after the caller was told. */
  std::function<void(std::string)> mOnLateResponse;

  /** Turns the request away; the first refusal counts. */
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
