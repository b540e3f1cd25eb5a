#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

enum class trial_verdict
{
  Allowed,
  Refused,
  /** The control hosts did not answer in time. */
  Unavailable,
};

template<>
inline constexpr name_table<trial_verdict, 3> kNames<trial_verdict>{ {
  { trial_verdict::Allowed, "allowed" },
  { trial_verdict::Refused, "refused" },
  { trial_verdict::Unavailable, "unasked" },
} };

struct quarantine_hooks
{
  /** The record because of which the request needs a trial, if there is one. */
  std::function<std::optional<quarantine_record>(const fingerprint_id&)>
    mFindRecord;
  /** True if the request may have crashed a server, so that it is sent to one
   * server only; unset if that is decided by trials. */
  std::function<bool(const fingerprint_id&)> mIsSuspect;
  /** Asks the control hosts to permit one more trial of a suspect request. */
  std::function<boost::asio::awaitable<trial_verdict>(request_context&)>
    mRequestTrial;
};

/** Refuses requests that crashed servers, no matter which host they reach. */
filter
MakeQuarantine(quarantine_hooks aHooks);

}
