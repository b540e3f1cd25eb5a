#pragma once

#include "decisions/state/change.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct claim_hooks
{
  std::function<steady_time()> mNow;
  /** Makes an id for an attempt at a claimed request. */
  std::function<request_id()> mNewAttemptId;
  /** Makes this host's claim for a request. */
  std::function<claim_record(const request_context&)> mMakeClaim;
  /** Proposes a claim to the control hosts; nothing if the deadline passed. */
  std::function<boost::asio::awaitable<std::optional<change_outcome>>(
    claim_record,
    steady_time)>
    mPropose;
  /** Records an outcome in the background, retrying until it succeeds. */
  std::function<void(claim_record)> mRecordInBackground;
};

/**
 * Claims the key of a non-idempotent request in the replicated log before its
 * only attempt, or answers the request from an existing claim.
 */
filter
MakeClaim(claim_hooks aHooks);

/** Records the outcome of a claimed request before the caller gets it. */
filter
MakeSettle(claim_hooks aHooks);

}
