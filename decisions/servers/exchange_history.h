#pragma once

#include "core/clock.h"
#include "core/name_table.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace hibiscusspool {

/** Which request a response on a connection answers. */
enum class response_owner
{
  /** The request that was sent last. */
  Current,
  /** An earlier request: the response is a late or an extra one. */
  Earlier,
  /** The response names no request, unlike earlier ones of this server. */
  Doubtful,
  /** The server names no requests, and may have answered an earlier one. */
  Unnamed,
};

template<>
inline constexpr name_table<response_owner, 4> kNames<response_owner>{ {
  { response_owner::Current, "current" },
  { response_owner::Earlier, "earlier" },
  { response_owner::Doubtful, "doubtful" },
  { response_owner::Unnamed, "unnamed" },
} };

/**
 * The requests that one connection to a server has carried. A response is told
 * from the late copy of an earlier one by the request that it names alone, so a
 * connection must not carry the same request twice.
 */
class exchange_history
{
  struct carried_request
  {
    std::uint64_t mIdHash = 0;
    /** When the request can't be sent again any more. */
    steady_time mUntil;
  };

  std::vector<carried_request> mCarried;
  std::uint64_t mRequestCount = 0;
  /** A response on this connection named its request. */
  bool mHasNamedRequests = false;

public:
  /** Requests that are remembered at the same time; a connection that carried
   * more of them is replaced. */
  static constexpr std::size_t kMaxCarried = 1024;

  /** True if a request may be sent: its id is new to the connection. */
  [[nodiscard]] bool MayCarry(std::string_view aRequestId,
                              steady_time aNow) const;
  /** Records a request that is about to be sent, and that may be sent again
   * until its deadline. */
  void OnRequest(std::string_view aRequestId,
                 steady_time aDeadline,
                 steady_time aNow);
  /** Records which request a response names, if any, and says whose it is. */
  response_owner OnResponse(std::string_view aRequestId,
                            std::string_view aNamedId);
};

}
