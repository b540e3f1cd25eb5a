#include "tools/report_data.h"

#include "drivers/synced_file.h"

namespace hibiscusspool {

namespace json = boost::json;

namespace {

std::uint64_t
GetCount(const json::object& aObject, const std::string& aKey)
{
  return aObject.at(aKey).to_number<std::uint64_t>();
}

void
MergeTeam(const json::object& aTeam, team_report& aReport)
{
  team_stats& stats = aReport.mStats;
  stats.mAnswered += GetCount(aTeam, "answered");
  stats.mPartial += GetCount(aTeam, "partial");
  stats.mCoverageSum += aTeam.at("coverage_sum").to_number<double>();
  stats.mAttempts += GetCount(aTeam, "attempts");
  stats.mHedges += GetCount(aTeam, "hedges");
  stats.mRetries += GetCount(aTeam, "retries");
  for (const auto& [name, count] : aTeam.at("refused").as_object()) {
    auto reason = ValueOf<refusal_reason>(std::string_view(name));
    if (reason) {
      stats.mRefused[static_cast<std::size_t>(*reason)] +=
        count.to_number<std::uint64_t>();
    }
  }
  for (const json::value& bin : aTeam.at("latency").as_array()) {
    int index = bin.as_array().at(0).to_number<int>();
    stats.mLatency.at(index) += bin.as_array().at(1).to_number<double>();
  }
  for (const json::value& row : aTeam.at("burn").as_array()) {
    burn_minute minute;
    minute.mMinute = row.as_array().at(0).to_number<std::int64_t>();
    std::size_t column = 1;
    for (burn_count& count : minute.mCounts) {
      count.mTotal = row.as_array().at(column++).to_number<std::uint64_t>();
      count.mBad = row.as_array().at(column++).to_number<std::uint64_t>();
    }
    stats.mBurn.Merge(minute);
  }
  const json::value* policy = aTeam.if_contains("policy");
  if (policy == nullptr) {
    return;
  }
  const json::object& fields = policy->as_object();
  aReport.mPolicy.mLatencyObjective =
    milliseconds(fields.at("latency_objective_ms").to_number<std::int64_t>());
  aReport.mPolicy.mLatencyTarget =
    fields.at("latency_objective").to_number<double>();
  aReport.mPolicy.mAvailabilityTarget =
    fields.at("availability_objective").to_number<double>();
  aReport.mPolicy.mCoverageTarget =
    fields.at("coverage_objective").to_number<double>();
}

}

bool
MergeHostStats(const std::string& aBody, system_report& aReport)
{
  try {
    json::value body = json::parse(aBody);
    const json::object& teams = body.as_object().at("teams").as_object();
    for (const auto& [name, team] : teams) {
      MergeTeam(team.as_object(), aReport.mTeams[std::string(name)]);
    }
  } catch (const std::exception&) {
    return false;
  }
  return true;
}

result<system_report, tool_error>
CollectReport(const operators_client& aOperators,
              const std::string& aAnnounceToken,
              wall_ms aNow)
{
  http_client_request statusRequest;
  statusRequest.mPath = "/v1/status";
  auto response = aOperators.Send(statusRequest);
  if (!response) {
    return response.error();
  }
  system_report report;
  report.mCollectedAt = aNow;
  const json::object& object = response.value().as_object();
  for (const json::value& daemon : object.at("daemons").as_array()) {
    std::string host(daemon.as_object().at("host").as_string());
    http_client_request request;
    request.mAddress = daemon.as_object().at("announce_address").as_string();
    request.mPath = "/v1/account";
    if (!aAnnounceToken.empty()) {
      request.mHeaders["Authorization"] = "Bearer " + aAnnounceToken;
    }
    http_client_response account = SendHttpRequest(request);
    bool isMerged =
      account.mStatus == 200 && MergeHostStats(account.mBody, report);
    (isMerged ? report.mHosts : report.mMissingHosts).push_back(host);
  }
  return report;
}

}
