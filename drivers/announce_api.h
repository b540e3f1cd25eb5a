#pragma once

#include "decisions/change.h"
#include "drivers/access_token.h"
#include "drivers/http_server.h"

namespace hibiscusspool {

/** What became of an announcement. */
enum class announce_status
{
  Accepted,
  Refused,
  /** The control hosts could not be asked; the server should go elsewhere. */
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
  /** This host's counts, for the reports. */
  std::function<std::string()> mAccount;
};

struct announce_api_config
{
  milliseconds mRenewInterval{ 1000 };
};

/** Where backend servers announce themselves, and where reports read. */
http_handler
MakeAnnounceApi(announce_api_config aConfig,
                access_token aToken,
                announce_api_hooks aHooks);

}
