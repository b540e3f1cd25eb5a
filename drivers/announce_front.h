#pragma once

#include "decisions/change.h"
#include "drivers/access_token.h"
#include "drivers/http_server.h"

namespace hibiscusspool {

/** What became of an announcement. */
enum class announce_verdict
{
  Taken,
  Refused,
  /** The control hosts could not be asked; the server should go elsewhere. */
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
  /** This host's counts, for the reports. */
  std::function<std::string()> mAccount;
};

struct announce_front_config
{
  milliseconds mRenew{ 1000 };
};

/** Where backend servers announce themselves, and where reports read. */
http_handler
MakeAnnounceFront(announce_front_config aConfig,
                  access_token aToken,
                  announce_front_hooks aHooks);

}
