#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

enum class trial_verdict
{
  Allowed,
  Refused,
  /** The control hosts could not be asked in time. */
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
  std::function<std::optional<quarantine_record>(const fingerprint_id&)>
    mLookUp;
  /** Asks the control hosts for leave to try a suspect request once more. */
  std::function<boost::asio::awaitable<trial_verdict>(request_context&)>
    mRequestTrial;
};

/** Stops requests that crashed servers, wherever they come in. */
filter
MakeQuarantine(quarantine_hooks aHooks);

}
