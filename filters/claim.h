#pragma once

#include "decisions/change.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

struct claim_hooks
{
  std::function<steady_time()> mNow;
  /** Names an attempt at a claimed request. */
  std::function<request_id()> mNewAttemptId;
  /** The claim that this host makes for a request. */
  std::function<claim_record(const request_context&)> mMakeClaim;
  /** Has one claim judged; nothing when the deadline passed first. */
  std::function<boost::asio::awaitable<std::optional<change_outcome>>(
    claim_record,
    steady_time)>
    mPropose;
  /** Records an outcome for as long as it takes, beside the request. */
  std::function<void(claim_record)> mRecordInBackground;
};

/**
 * Claims the key of a non-idempotent request in the log before its one
 * attempt, or answers it from the claim that is there.
 */
filter
MakeClaim(claim_hooks aHooks);

/** Records what became of a claimed request, before the caller is told. */
filter
MakeSettle(claim_hooks aHooks);

}
