#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/name_table.h"
#include "decisions/servers/announced_rate.h"

#include <cstdint>
#include <optional>

namespace hibiscusspool {

/** What a server says of itself in a response. */
struct server_notice
{
  /** It is about to stop and wants no further requests. */
  bool mIsLeaving = false;
  /** It rejected the request and wants none for this long. */
  std::optional<milliseconds> mPause;
  rate_notice mRate{};
};

/** Whether a server takes requests of this host. */
enum class server_willingness
{
  Willing,
  /** Only one request at a time, which tells whether the server is back. */
  Trial,
  /** Only where no other server can answer. */
  LastResort,
  Unwilling,
};

template<>
inline constexpr name_table<server_willingness, 4> kNames<server_willingness>{ {
  { server_willingness::Willing, "willing" },
  { server_willingness::Trial, "trial" },
  { server_willingness::LastResort, "last_resort" },
  { server_willingness::Unwilling, "unwilling" },
} };

struct notice_limits
{
  /** How long a leaving server still gets what no other server can answer. */
  milliseconds mLeavingGrace{ 3000 };
  /** Longest pause that a server is granted; a longer one is cut. */
  milliseconds mMaxPause{ 600'000 };
};

/**
 * The notices of one incarnation of a server to this host. They come from the
 * server itself, so they outrank older news of it from the control hosts.
 */
class server_notices
{
  incarnation_number mIncarnation = 0;
  std::optional<steady_time> mLeavingSince;
  steady_time mPausedUntil;
  /** No response has shown yet that the pause is really over. */
  bool mNeedsTrial = false;

public:
  server_notices() = default;
  explicit server_notices(incarnation_number aIncarnation)
    : mIncarnation(aIncarnation)
  {
  }

  [[nodiscard]] incarnation_number Incarnation() const { return mIncarnation; }
  /** Records a notice; true if it changes what is known. */
  bool OnNotice(const server_notice& aNotice,
                const notice_limits& aLimits,
                steady_time aNow);
  /** A response without a pause came to a request that was sent after the
   * pause. */
  void OnResponse(steady_time aSentAt);
  [[nodiscard]] server_willingness Willingness(const notice_limits& aLimits,
                                               steady_time aNow) const;
  /** When the server takes requests again; `steady_time::max()` if never. */
  [[nodiscard]] steady_time WillingAt(const notice_limits& aLimits,
                                      steady_time aNow) const;
  [[nodiscard]] bool IsLeaving() const { return mLeavingSince.has_value(); }
  /** True if the notices say nothing any more, `aAfter` later than they came or
   * ended. */
  [[nodiscard]] bool IsOutdated(milliseconds aAfter, steady_time aNow) const;
};

/**
 * Retry-After for a caller whose servers are back in `aLeft`: up to a quarter
 * later, so that the callers of one pause don't return together. `aDraw` is
 * random.
 */
milliseconds
RetryAfterPause(milliseconds aLeft, std::uint64_t aDraw);

}
