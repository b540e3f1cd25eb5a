#pragma once

#include "decisions/change.h"
#include "drivers/access_token.h"
#include "drivers/http_server.h"

namespace hibiscusspool {

/** The outcome of an announcement. */
enum class announce_verdict
{
  Taken,
  Refused,
  /** No control host was reachable; the server should try another host. */
  Unavailable,
};

template<>
inline constexpr name_table<announce_verdict, 3> kNames<announce_verdict>{ {
  { announce_verdict::Taken, "taken" },
  { announce_verdict::Refused, "refused" },
  { announce_verdict::Unavailable, "unavailable" },
} };

struct announce_answer
{
  announce_verdict mVerdict = announce_verdict::Taken;
  std::string mDetail;
};

struct announce_front_hooks
{
  std::function<boost::asio::awaitable<announce_answer>(server_record)>
    mAnnounce;
  /** This host's request counts per team, for the reports. */
  std::function<std::string()> mAccount;
};

struct announce_front_config
{
  milliseconds mRenew{ 1000 };
};

/**
 * The HTTP API for announcements of backend servers and for the reports, which
 * fetch this host's request counts.
 */
http_handler
MakeAnnounceFront(announce_front_config aConfig,
                  access_token aToken,
                  announce_front_hooks aHooks);

}
