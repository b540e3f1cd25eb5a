#pragma once

#include "controllers/catalog_controller.h"
#include "controllers/team_stats_controller.h"

#include <string>

namespace hibiscusspool {

/** One host's request counts per team, which the reports merge. */
std::string
EncodeTeamStats(const host_id& aHost,
                const team_stats_controller& aTeamStats,
                const catalog_controller& aCatalog);

}
