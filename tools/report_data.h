#pragma once

#include "controllers/team_stats_controller.h"
#include "tools/operators_client.h"

#include <map>
#include <string>
#include <vector>

namespace hibiscusspool {

/** One team's counts, summed over all entry hosts. */
struct team_report
{
  team_stats mStats;
  team_policy mPolicy;
};

struct system_report
{
  std::map<std::string, team_report> mTeams;
  std::vector<std::string> mHosts;
  /** Entry hosts whose counts could not be read and are not included. */
  std::vector<std::string> mMissingHosts;
  wall_ms mCollectedAt = 0;
};

/** Fetches the counts of every entry host and merges them. */
result<system_report, tool_error>
CollectReport(const operators_client& aOperators,
              const std::string& aAnnounceToken,
              wall_ms aNow);

/** Adds the counts of one entry host; false if the body is malformed. */
bool
MergeHostStats(const std::string& aBody, system_report& aReport);

}
