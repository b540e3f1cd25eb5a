#pragma once

#include "decisions/servers/announced_rate.h"
#include "decisions/servers/rate_window.h"
#include "decisions/servers/share.h"

#include <cstdint>

namespace hibiscusspool {

/** Length of the spans in which an announced rate is kept. */
constexpr milliseconds kRateWindow{ 4000 };

/** The requests that an announced rate allows all hosts together. */
rate_quota
TotalQuota(double aPerSecond);

/** One host's part of a server for the division of its rate. */
struct rate_part
{
  /** Connections of the server, and this host's part of them, at the current
   * view of hosts and servers. */
  std::uint32_t mConnections = 0;
  std::uint32_t mOwnConnections = 0;
  /** This host's part of what is left when each connection has as much. */
  std::uint32_t mOwnRemainder = 0;
  /** Hosts that have a connection. */
  std::uint32_t mHolders = 1;
};

/**
 * The limit that a server has announced, as this host keeps it.
 *
 * All hosts that know the same hosts, servers and limit divide its requests
 * alike, in whole requests a window, along the division of the server's
 * connections: only hosts that can reach a server have a part. A part that
 * grows with the view of hosts is usable after the handover, since the host
 * that had it before may have used it until then. Hosts without a part ask
 * once in a long while, so that they notice the end of the limit.
 *
 * After the limit has ended, the allowance doubles each second until it is
 * dropped.
 */
class rate_limit
{
  announced_rate mAnnounced;
  rate_window mWindow;
  server_share mShare;
  rate_quota mTotal;
  /** Hosts that share the connections but have no part of the rate. */
  std::uint32_t mIdleHolders = 0;
  steady_time mEndedAt;
  bool mIsRecovering = false;
  /** When a host without a part may ask. */
  steady_time mTrialAt;
  /** Between 0.5 and 1.5; spreads the trials of hosts that learnt of the limit
   * together. */
  double mTrialSpread = 1;

  [[nodiscard]] milliseconds TrialInterval() const;

public:
  /**
   * Applies a response; the server's part must be set anew if the limit is new
   * or has changed. `aDraw` is random.
   */
  rate_change OnResponse(const rate_notice& aNotice,
                         steady_time aSentAt,
                         steady_time aNow,
                         std::uint64_t aDraw);
  /** Sets the part of a limit that was just announced. Hosts may have used it
   * otherwise until `aDividedSince`. */
  void SetAnnouncedPart(const rate_part& aPart,
                        steady_time aDividedSince,
                        milliseconds aHandover,
                        steady_time aNow);
  /** Sets the part after a change of hosts or servers. */
  void SetPart(const rate_part& aPart,
               milliseconds aHandover,
               steady_time aNow);
  /** Drops the part and what was counted, for a server whose requests were not
   * counted for a while. */
  void DropPart();
  /** True while requests are counted. */
  [[nodiscard]] bool IsInForce(steady_time aNow) const;
  [[nodiscard]] const announced_rate& Announced() const { return mAnnounced; }
  /** What all hosts together may send. */
  [[nodiscard]] const rate_quota& Total() const { return mTotal; }
  /**
   * What this host may send. A host that isn't confirmed uses half of its part,
   * since the others take it over when they notice.
   */
  [[nodiscard]] rate_quota Quota(bool aIsConfirmed, steady_time aNow) const;
  /** When a request may be sent; `steady_time::max()` if it never may. */
  [[nodiscard]] steady_time RoomAt(const rate_request& aRequest,
                                   bool aIsConfirmed,
                                   steady_time aNow) const;
  void Add(rate_entry_number aNumber,
           const rate_request& aRequest,
           steady_time aNow);
  bool Remove(rate_entry_number aNumber) { return mWindow.Remove(aNumber); }
  [[nodiscard]] const rate_window& Window() const { return mWindow; }
};

/** This host's part of a quota. */
std::uint32_t
OwnPart(const rate_part& aPart, std::uint32_t aRequests);

/**
 * The order in which requests that found no room may return. Each gets the
 * next turn at the rate at which room returns, so that they don't return
 * together.
 */
class return_schedule
{
  steady_time mLastTurn;

public:
  /** The next turn, at or after `aRoomAt`. Only turns within `aMaxWait` are
   * kept apart. */
  steady_time TakeTurn(steady_time aRoomAt,
                       microseconds aInterval,
                       milliseconds aMaxWait,
                       steady_time aNow);
};

}
