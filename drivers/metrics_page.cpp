#include "drivers/metrics_page.h"

#include "drivers/metrics_text.h"

namespace hibiscusspool {

namespace {

constexpr std::array<double, 12> kBucketSeconds{ 0.001, 0.0025, 0.005, 0.01,
                                                 0.025, 0.05,   0.1,   0.25,
                                                 0.5,   1,      2.5,   10 };
constexpr double kMsPerSecond = 1000;

void
AddLatency(std::ostringstream& aPage,
           const std::string& aTeam,
           const latency_histogram& aLatency)
{
  constexpr std::string_view kName = "hibiscusspool_request_seconds";
  double cumulativeCount = 0;
  double sum = 0;
  std::size_t bucket = 0;
  auto writeBucketsBelow = [&](double aLimit) {
    while (bucket < kBucketSeconds.size() && kBucketSeconds[bucket] < aLimit) {
      aPage << kName << "_bucket{team=\"" << aTeam << "\",le=\""
            << kBucketSeconds[bucket] << "\"} " << cumulativeCount << '\n';
      ++bucket;
    }
  };
  for (auto&& bin : boost::histogram::indexed(aLatency)) {
    writeBucketsBelow(bin.bin().upper() / kMsPerSecond);
    cumulativeCount += *bin;
    sum += *bin * bin.bin().center() / kMsPerSecond;
  }
  writeBucketsBelow(std::numeric_limits<double>::max());
  aPage << kName << "_bucket{team=\"" << aTeam << "\",le=\"+Inf\"} "
        << cumulativeCount << '\n'
        << kName << "_sum{team=\"" << aTeam << "\"} " << sum << '\n'
        << kName << "_count{team=\"" << aTeam << "\"} " << cumulativeCount
        << '\n';
}

void
AddTeams(std::ostringstream& aPage, const team_stats_controller& aTeamStats)
{
  std::ostringstream refusals;
  std::ostringstream attempts;
  std::ostringstream latencies;
  aTeamStats.ForEach([&](const team_id& aTeam, const team_stats& aStats) {
    const std::string& team = aTeam.mValue;
    aPage << "hibiscusspool_answers_total{team=\"" << team
          << "\",coverage=\"full\"} " << aStats.mAnswered - aStats.mPartial
          << "\nhibiscusspool_answers_total{team=\"" << team
          << "\",coverage=\"partial\"} " << aStats.mPartial << '\n';
    for (const auto& row : kNames<refusal_reason>) {
      std::uint64_t count =
        aStats.mRefused[static_cast<std::size_t>(row.mValue)];
      if (count > 0) {
        refusals << "hibiscusspool_refusals_total{team=\"" << team
                 << "\",reason=\"" << row.mName << "\"} " << count << '\n';
      }
    }
    attempts << "hibiscusspool_attempts_total{team=\"" << team
             << "\",kind=\"all\"} " << aStats.mAttempts
             << "\nhibiscusspool_attempts_total{team=\"" << team
             << "\",kind=\"hedge\"} " << aStats.mHedges
             << "\nhibiscusspool_attempts_total{team=\"" << team
             << "\",kind=\"retry\"} " << aStats.mRetries << '\n';
    AddLatency(latencies, team, aStats.mLatency);
  });
  WriteMetricHeader(aPage,
                    metric_type::Counter,
                    "refusals_total",
                    "Refused requests by reason.");
  aPage << refusals.str();
  WriteMetricHeader(aPage,
                    metric_type::Counter,
                    "attempts_total",
                    "Attempts at backend servers.");
  aPage << attempts.str();
  WriteMetricHeader(aPage,
                    metric_type::Histogram,
                    "request_seconds",
                    "Time to answer a request.");
  aPage << latencies.str();
}

void
AddKeyRefusals(std::ostringstream& aPage, const key_refusal_counts& aCounts)
{
  WriteMetricHeader(aPage,
                    metric_type::Counter,
                    "key_refusals_total",
                    "Checks of API keys that kept a request from a server.");
  auto add = [&](std::string_view aCause, std::uint64_t aCount) {
    aPage << "hibiscusspool_key_refusals_total{cause=\"" << aCause << "\"} "
          << aCount << '\n';
  };
  add("unknown", aCounts.mUnknown);
  add("unconfirmed", aCounts.mUnconfirmed);
  add("stale", aCounts.mStale);
  add("removed", aCounts.mRemoved);
}

void
AddBackends(std::ostringstream& aPage,
            const std::vector<backend_status>& aBackends)
{
  struct service_sum
  {
    std::uint64_t mShare = 0;
    std::uint64_t mOpen = 0;
    std::uint64_t mOutstanding = 0;
    std::uint64_t mServers = 0;
    std::uint64_t mRateLimited = 0;
  };
  std::map<std::string, service_sum> services;
  for (const backend_status& view : aBackends) {
    service_sum& sum = services[view.mRecord.mService.mValue];
    sum.mShare += view.mShare;
    sum.mOpen += view.mOpenConnections;
    sum.mOutstanding += view.mOutstanding;
    bool isReady = view.mRecord.mState == server_state::Ready;
    sum.mServers += isReady ? 1 : 0;
    sum.mRateLimited += view.mIsRateLimited ? 1 : 0;
  }
  auto add = [&](std::string_view aName,
                 std::string_view aHelp,
                 std::uint64_t service_sum::*aMember) {
    WriteMetricHeader(aPage, metric_type::Gauge, aName, aHelp);
    for (const auto& [service, sum] : services) {
      aPage << "hibiscusspool_" << aName << "{service=\"" << service << "\"} "
            << sum.*aMember << '\n';
    }
  };
  add(
    "ready_servers", "Backend servers that are ready.", &service_sum::mServers);
  add("connection_share",
      "Connections that this host may open.",
      &service_sum::mShare);
  add("connections_open", "Connections that are open.", &service_sum::mOpen);
  add("rate_limited_servers",
      "Backend servers that have announced a limit to their rate.",
      &service_sum::mRateLimited);
  add("attempts_outstanding",
      "Attempts that are under way.",
      &service_sum::mOutstanding);
}

void
AddOverload(std::ostringstream& aPage, const overload_counts& aCounts)
{
  if (aCounts.empty()) {
    return;
  }
  WriteMetricHeader(aPage,
                    metric_type::Counter,
                    "overload_admitted_total",
                    "Requests that servers could bear, by priority.");
  for (const auto& [priority, count] : aCounts) {
    aPage << "hibiscusspool_overload_admitted_total{priority=\"" << priority
          << "\"} " << count.mAdmitted << '\n';
  }
  WriteMetricHeader(aPage,
                    metric_type::Counter,
                    "overload_refused_total",
                    "Requests that servers could not bear, by priority and "
                    "cause.");
  for (const auto& [priority, count] : aCounts) {
    for (const auto& row : kNames<overload_cause>) {
      if (row.mValue != overload_cause::Room) {
        aPage << "hibiscusspool_overload_refused_total{priority=\"" << priority
              << "\",cause=\"" << row.mName << "\"} "
              << count.mRefused[static_cast<std::size_t>(row.mValue)] << '\n';
      }
    }
  }
}

void
AddQuotas(std::ostringstream& aPage, const quota_counts& aCounts)
{
  auto addByBasis =
    [&](std::string_view aName, std::string_view aHelp, const auto& aNumbers) {
      WriteMetricHeader(aPage, metric_type::Counter, aName, aHelp);
      for (const auto& row : kNames<quota_basis>) {
        aPage << "hibiscusspool_" << aName << "{basis=\"" << row.mName << "\"} "
              << aNumbers[static_cast<std::size_t>(row.mValue)] << '\n';
      }
    };
  addByBasis("quota_admitted_total",
             "Requests within the quota of their caller team, by what decided.",
             aCounts.mAdmitted);
  addByBasis("quota_refused_total",
             "Requests over the quota of their caller team, by what decided.",
             aCounts.mRefused);
  WriteMetric(aPage,
              metric_type::Counter,
              "quota_returned_total",
              "Requests that stopped counting, since they did not run.",
              aCounts.mReturned);
  WriteMetric(aPage,
              metric_type::Counter,
              "quota_takeovers_total",
              "Times that this host took the place of a quota's owner.",
              aCounts.mTakeovers);
  WriteMetricHeader(aPage,
                    metric_type::Counter,
                    "quota_messages_total",
                    "Messages to other entry hosts on quotas.");
  aPage << "hibiscusspool_quota_messages_total{kind=\"ask\"} " << aCounts.mAsks
        << "\nhibiscusspool_quota_messages_total{kind=\"report\"} "
        << aCounts.mReports
        << "\nhibiscusspool_quota_messages_total{kind=\"notice\"} "
        << aCounts.mNotices
        << "\nhibiscusspool_quota_messages_total{kind=\"failed\"} "
        << aCounts.mFailedMessages << '\n';
}

}

std::string
MakeMetricsPage(const metrics_source& aSource)
{
  std::ostringstream page;
  WriteMetric(page,
              metric_type::Gauge,
              "confirmed_age_seconds",
              "Time since the newest confirmed mark was sent.",
              static_cast<double>(aSource.mConfirmedAge.count()) /
                kMsPerSecond);
  WriteMetric(page,
              metric_type::Gauge,
              "catalog_index",
              "Log index that this host holds.",
              aSource.mIndex);
  WriteMetric(page,
              metric_type::Gauge,
              "requests_running",
              "Requests that are under way.",
              aSource.mRunningRequests);
  WriteMetric(page,
              metric_type::Gauge,
              "host_limit",
              "Requests that may be under way.",
              aSource.mHostLimit);
  WriteMetric(page,
              metric_type::Counter,
              "refusals_numbered_total",
              "Refusals of this run.",
              aSource.mRefusalCount);
  WriteTaskFailures(page, aSource.mTaskFailures);
  AddKeyRefusals(page, aSource.mKeyRefusals);
  WriteMetricHeader(
    page, metric_type::Counter, "answers_total", "Answered requests.");
  AddTeams(page, aSource.mTeamStats);
  AddBackends(page, aSource.mBackends);
  AddOverload(page, aSource.mOverload);
  AddQuotas(page, aSource.mQuotas);
  return page.str();
}

}
