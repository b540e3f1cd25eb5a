#pragma once

#include "controllers/catalog_controller.h"
#include "controllers/team_stats_controller.h"

#include <string>

namespace hibiscusspool {

/** One host's request counts per team, which the reports merge. */
std::string
EncodeAccount(const host_id& aHost,
              const team_stats_controller& aAccounts,
              const catalog_controller& aCatalog);

}
