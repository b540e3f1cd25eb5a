#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/name_table.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hibiscusspool {

/** One start of a server. */
struct server_start
{
  server_id mServer;
  incarnation_number mIncarnation = 0;

  auto operator<=>(const server_start&) const = default;
};

/** What an attempt to connect says of a server. */
enum class connect_result
{
  /** The connection was accepted. */
  Accepted,
  /** Nothing listens on the address any more. */
  Refused,
  Unknown,
};

template<>
inline constexpr name_table<connect_result, 3> kNames<connect_result>{ {
  { connect_result::Accepted, "accepted" },
  { connect_result::Refused, "refused" },
  { connect_result::Unknown, "unknown" },
} };

/** What the records say of an earlier start of a server. */
enum class server_fate
{
  /** It is recorded as before. */
  Unchanged,
  /** It is gone, or has started again. */
  Ended,
  /** It said that it leaves, so that its end is no crash. */
  Left,
};

template<>
inline constexpr name_table<server_fate, 3> kNames<server_fate>{ {
  { server_fate::Unchanged, "unchanged" },
  { server_fate::Ended, "ended" },
  { server_fate::Left, "left" },
} };

struct due_probe
{
  server_start mStart;
  std::string mAddress;
};

/**
 * Requests that lost the connection to the server that ran them. That alone is
 * no crash: a connection may be reset for many causes. A request is confirmed
 * only once its server is known to have ended, and dropped otherwise.
 */
class crash_suspects
{
  struct lost_server
  {
    std::string mAddress;
    steady_time mLostAt;
    bool mIsProbed = false;
    bool mHasEnded = false;
    std::set<fingerprint_id> mRequests;
  };

  std::map<server_start, lost_server> mServers;

public:
  /** Time from a lost connection to the probe: a server that ends closes its
   * connections before its listener. */
  static constexpr milliseconds kProbeDelay{ 300 };
  /** Time after which a server that can't be reached and is not recorded as
   * ended is taken to be sound. */
  static constexpr milliseconds kVerdictTime{ 2500 };
  static constexpr std::size_t kMaxServers = 64;
  static constexpr std::size_t kMaxRequestsPerServer = 64;

  /** Records that a request's connection was lost. */
  void OnLost(const fingerprint_id& aRequest,
              const server_start& aStart,
              const std::string& aAddress,
              steady_time aNow);
  /** The servers to probe now, each once. */
  std::vector<due_probe> TakeDueProbes(steady_time aNow);
  void OnProbe(const server_start& aStart, connect_result aResult);
  /** Requests whose server has ended; also drops those whose server has not.
   */
  std::vector<fingerprint_id> TakeConfirmed(
    const std::function<server_fate(const server_start&)>& aFate,
    steady_time aNow);
  [[nodiscard]] bool IsEmpty() const { return mServers.empty(); }
};

}
