#pragma once

#include "controllers/team_stats_controller.h"
#include "tools/operators_client.h"

#include <map>
#include <string>
#include <vector>

namespace hibiscusspool {

/** One team's counts over all entry hosts. */
struct team_report
{
  team_stats mAccount;
  team_policy mPolicy;
};

struct system_report
{
  std::map<std::string, team_report> mTeams;
  std::vector<std::string> mHosts;
  /** Entry hosts that did not answer, so that their counts are missing. */
  std::vector<std::string> mMissing;
  wall_ms mMadeAt = 0;
};

/** Asks every entry host for its counts and merges them. */
result<system_report, tool_error>
CollectReport(const operators_client& aOperators,
              const std::string& aAnnounceToken,
              wall_ms aNow);

/** Adds what one entry host counted; false when it can't be read. */
bool
MergeAccount(const std::string& aBody, system_report& aReport);

}
