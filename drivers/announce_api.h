#pragma once

#include "decisions/state/change.h"
#include "drivers/access_token.h"
#include "drivers/http_server.h"

namespace hibiscusspool {

/** The outcome of an announcement. */
enum class announce_status
{
  Accepted,
  Refused,
  /** No control host was reachable; the server should try another host. */
  Unavailable,
};

template<>
inline constexpr name_table<announce_status, 3> kNames<announce_status>{ {
  { announce_status::Accepted, "taken" },
  { announce_status::Refused, "refused" },
  { announce_status::Unavailable, "unavailable" },
} };

struct announce_result
{
  announce_status mStatus = announce_status::Accepted;
  std::string mDetail;
};

struct announce_api_hooks
{
  std::function<boost::asio::awaitable<announce_result>(server_record)>
    mAnnounce;
  /** This host's request counts per team as JSON, for the reports. */
  std::function<std::string()> mAccount;
};

struct announce_api_config
{
  milliseconds mRenewInterval{ 1000 };
};

/** True for an announcement, which has a body. */
bool
IsAnnouncement(const http_request_head& aHead);

/**
 * The HTTP API for announcements of backend servers and for the reports, which
 * fetch this host's request counts.
 */
http_handler
MakeAnnounceApi(announce_api_config aConfig,
                access_token aToken,
                announce_api_hooks aHooks);

}
