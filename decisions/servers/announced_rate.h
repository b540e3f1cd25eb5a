#pragma once

#include "core/clock.h"
#include "core/name_table.h"

namespace hibiscusspool {

/** What a response says of the rate of requests that its server takes. */
enum class rate_notice_kind
{
  /** Nothing, since the response isn't the server's own or broke off. */
  Unknown,
  /** The server takes any rate. */
  Unlimited,
  Limited,
  /** A rate was given but can't be read. */
  Malformed,
};

template<>
inline constexpr name_table<rate_notice_kind, 4> kNames<rate_notice_kind>{ {
  { rate_notice_kind::Unknown, "unknown" },
  { rate_notice_kind::Unlimited, "unlimited" },
  { rate_notice_kind::Limited, "limited" },
  { rate_notice_kind::Malformed, "malformed" },
} };

struct rate_notice
{
  rate_notice_kind mKind = rate_notice_kind::Unknown;
  /** Requests per second from all hosts together; only if limited. */
  double mPerSecond = 0;
};

/** How a response changed what is known of a server's rate. */
enum class rate_change
{
  None,
  Limited,
  /** The limit has another value. */
  Changed,
  Ended,
  Malformed,
};

template<>
inline constexpr name_table<rate_change, 5> kNames<rate_change>{ {
  { rate_change::None, "none" },
  { rate_change::Limited, "limited" },
  { rate_change::Changed, "changed" },
  { rate_change::Ended, "ended" },
  { rate_change::Malformed, "malformed" },
} };

/**
 * The rate of requests that one incarnation of a server takes, by its own
 * responses. A response is newer than another one if its request was sent after
 * the other one had arrived. Of responses that can't be ordered, the lower
 * limit counts.
 */
class announced_rate
{
  bool mIsLimited = false;
  bool mWasLimited = false;
  bool mIsMalformed = false;
  double mPerSecond = 0;
  /** Times of the response that counts. */
  steady_time mSentAt;
  steady_time mReceivedAt;

public:
  rate_change OnResponse(const rate_notice& aNotice,
                         steady_time aSentAt,
                         steady_time aNow);
  [[nodiscard]] bool IsLimited() const { return mIsLimited; }
  /** Requests per second from all hosts together; only while limited. */
  [[nodiscard]] double PerSecond() const { return mPerSecond; }
  /** When the response that counts arrived. */
  [[nodiscard]] steady_time ReceivedAt() const { return mReceivedAt; }
};

}
