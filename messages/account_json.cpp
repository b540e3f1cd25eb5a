#include "messages/account_json.h"

#include <boost/json.hpp>

namespace hibiscusspool {

namespace json = boost::json;

namespace {

json::array
EncodeLatency(const latency_histogram& aLatency)
{
  json::array bins;
  for (auto&& bin :
       boost::histogram::indexed(aLatency, boost::histogram::coverage::all)) {
    if (*bin > 0) {
      bins.push_back(json::array{ bin.index(), *bin });
    }
  }
  return bins;
}

json::array
EncodeBurn(const burn_history& aBurn)
{
  json::array minutes;
  for (const burn_minute& minute : aBurn.Minutes()) {
    json::array row{ minute.mMinute };
    for (const burn_count& count : minute.mCounts) {
      row.push_back(count.mTotal);
      row.push_back(count.mBad);
    }
    minutes.push_back(std::move(row));
  }
  return minutes;
}

json::object
EncodePolicy(const team_policy& aPolicy)
{
  return { { "latency_objective_ms", aPolicy.mLatencyObjective.count() },
           { "latency_objective", aPolicy.mLatencyTarget },
           { "availability_objective", aPolicy.mAvailabilityTarget },
           { "coverage_objective", aPolicy.mCoverageTarget },
           { "minimum_coverage", aPolicy.mMinimumCoverage } };
}

}

std::string
EncodeTeamStats(const host_id& aHost,
                const team_stats_controller& aTeamStats,
                const catalog_controller& aCatalog)
{
  json::object teams;
  aTeamStats.ForEach([&](const team_id& aTeam, const team_stats& aAccount) {
    json::object team;
    team["answered"] = aAccount.mAnswered;
    team["partial"] = aAccount.mPartial;
    team["coverage_sum"] = aAccount.mCoverageSum;
    team["attempts"] = aAccount.mAttempts;
    team["hedges"] = aAccount.mHedges;
    team["retries"] = aAccount.mRetries;
    json::object refused;
    for (const auto& row : kNames<refusal_reason>) {
      std::uint64_t count =
        aAccount.mRefused[static_cast<std::size_t>(row.mValue)];
      if (count > 0) {
        refused[row.mName] = count;
      }
    }
    team["refused"] = std::move(refused);
    team["latency"] = EncodeLatency(aAccount.mLatency);
    team["burn"] = EncodeBurn(aAccount.mBurn);
    auto view = aCatalog.Team(aTeam);
    if (view) {
      team["policy"] = EncodePolicy(view->mPolicy);
    }
    teams[aTeam.mValue] = std::move(team);
  });
  return json::serialize(
    json::object{ { "host", aHost.mValue }, { "teams", std::move(teams) } });
}

}
