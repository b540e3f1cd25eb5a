#pragma once

#include "controllers/catalog_controller.h"
#include "controllers/team_stats_controller.h"

#include <string>

namespace hibiscusspool {

/** One host's counts for each team, for the reports to merge. */
std::string
EncodeAccount(const host_id& aHost,
              const team_stats_controller& aAccounts,
              const catalog_controller& aCatalog);

}
