#include "settings/settings.h"

namespace hibiscusspool {

namespace {

constexpr std::int64_t kMebibyte = 1 << 20;
constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kHourMs = 60 * kMinuteMs;
constexpr std::int64_t kMaxMemoryMb = 1 << 24;
constexpr std::int64_t kMaxDescriptors = 1 << 24;
constexpr std::int64_t kMaxClaimHours = 720; // 30 days

setting_row
Text(std::string aSection,
     std::string aKey,
     setting_type aType,
     std::string settings::*aMember,
     bool aIsRequired,
     std::string aHelp)
{
  return { std::move(aSection), std::move(aKey), aType, aMember, 0, 0,
           aIsRequired,         std::move(aHelp) };
}

setting_row
HostAddressList(std::string aSection,
                std::string aKey,
                host_address_map settings::*aMember,
                std::string aHelp)
{
  return { std::move(aSection),
           std::move(aKey),
           setting_type::HostAddresses,
           aMember,
           0,
           0,
           false,
           std::move(aHelp) };
}

setting_row
Switch(std::string aSection,
       std::string aKey,
       bool settings::*aMember,
       std::string aHelp)
{
  return { std::move(aSection),
           std::move(aKey),
           setting_type::Switch,
           aMember,
           0,
           0,
           false,
           std::move(aHelp) };
}

setting_row
Fraction(std::string aSection,
         std::string aKey,
         double settings::*aMember,
         std::int64_t aMax,
         std::string aHelp)
{
  return { std::move(aSection),
           std::move(aKey),
           setting_type::Fraction,
           aMember,
           0,
           aMax,
           false,
           std::move(aHelp) };
}

setting_row
Number(std::string aSection,
       std::string aKey,
       setting_type aType,
       std::int64_t settings::*aMember,
       std::int64_t aMin,
       std::int64_t aMax,
       std::string aHelp)
{
  return {
    std::move(aSection), std::move(aKey), aType, aMember, aMin, aMax, false,
    std::move(aHelp)
  };
}

std::vector<setting_row>
HostRows()
{
  setting_row domain = Text("host",
                            "failure_domain",
                            setting_type::Name,
                            &settings::mHostFailureDomain,
                            true,
                            "Failure domain of this host.");
  domain.mFallback = "unknown";
  return {
    Text("host",
         "id",
         setting_type::Name,
         &settings::mHostId,
         true,
         "Name of this host; must be unique."),
    std::move(domain),
    Number(
      "host",
      "memory_mb",
      setting_type::Count,
      &settings::mHostMemoryMb,
      0,
      kMaxMemoryMb,
      "Memory of this host's machine, in MB. Clients may hold a fifth of it "
      "with unfinished requests and unread responses, on all listeners; "
      "beyond it, connections without progress are closed. 0: not known; 112 "
      "MB, or what max_held_bytes allows if it was raised."),
    Number("host",
           "max_descriptors",
           setting_type::Count,
           &settings::mHostMaxDescriptors,
           0,
           kMaxDescriptors,
           "Maximum number of descriptors that this process may open. Clients "
           "may hold three quarters of them; beyond it, a new connection "
           "replaces the one without progress for the longest time. 0: the "
           "limit of the process."),
    Number("host",
           "max_header_fields",
           setting_type::Count,
           &settings::mHostMaxHeaderFields,
           16,
           16'384,
           "Maximum number of header fields of a request."),
  };
}

std::vector<setting_row>
EntryRows()
{
  using type = setting_type;
  return {
    Text("entry",
         "callers_address",
         type::Address,
         &settings::mEntryCallersAddress,
         true,
         "Address on which callers connect; it is also announced to callers."),
    Text("entry",
         "announce_address",
         type::Address,
         &settings::mEntryAnnounceAddress,
         true,
         "Address on which backend servers announce themselves."),
    HostAddressList("entry",
                    "control_hosts",
                    &settings::mEntryControlHosts,
                    "Control hosts and their addresses."),
    Text("entry",
         "announce_token",
         type::Path,
         &settings::mEntryAnnounceToken,
         false,
         "File with the bearer token that backend servers must send."),
    Number("entry",
           "threads",
           type::Count,
           &settings::mEntryThreads,
           1,
           64,
           "Number of threads that serve callers."),
    Number("entry",
           "lease_ms",
           type::Milliseconds,
           &settings::mEntryLeaseMs,
           1000,
           8000,
           "Length of the host's lease: the maximum age of its last confirmed "
           "mark at which it accepts new work. Must be the same on all hosts."),
    Number(
      "entry",
      "mark_ms",
      type::Milliseconds,
      &settings::mEntryMarkIntervalMs,
      50,
      2000,
      "Interval at which a mark is sent to the control hosts, which confirm "
      "it and so renew the lease."),
    Number("entry",
           "longest_wait_ms",
           type::Milliseconds,
           &settings::mEntryMaxWaitMs,
           100,
           10'000,
           "Maximum run time of a request, whatever the template of its team "
           "allows. Must be the same on all hosts."),
    Number("entry",
           "keep_list_ms",
           type::Milliseconds,
           &settings::mEntryHostListTtlMs,
           100,
           60'000,
           "Time for which callers may cache the list of entry hosts. Must be "
           "the same on all hosts."),
    Number("entry",
           "body_bytes",
           type::Bytes,
           &settings::mEntryMaxBodyBytes,
           1024,
           64 * kMebibyte,
           "Maximum body size of a caller's request, in bytes."),
    Number("entry",
           "answer_bytes",
           type::Bytes,
           &settings::mEntryMaxResponseBytes,
           1024,
           256 * kMebibyte,
           "Maximum size of a response from a backend server, in bytes."),
    Number("entry",
           "max_held_bytes",
           type::Bytes,
           &settings::mEntryMaxHeldBytes,
           kMebibyte,
           16'384 * kMebibyte,
           "Maximum size of all responses that are held at the same time, and "
           "of all request bodies; beyond it, the largest is given up."),
    Number("entry",
           "slow_sender_ms",
           type::Milliseconds,
           &settings::mEntryTransferTimeoutMs,
           100,
           60'000,
           "Time limit for receiving a request, and again for sending its "
           "response."),
    Number("entry",
           "most_callers",
           type::Count,
           &settings::mEntryMaxConnections,
           1,
           100'000,
           "Maximum number of concurrent connections from callers."),
    Number("entry",
           "host_limit",
           type::Count,
           &settings::mEntryHostLimit,
           1,
           100'000,
           "Maximum number of requests that this host runs concurrently."),
    Number("entry",
           "ramp_ms",
           type::Milliseconds,
           &settings::mEntryRampDurationMs,
           0,
           10 * kMinuteMs,
           "Time over which the load of a server rises to its full limit after "
           "a cold start."),
    Number("entry",
           "leaving_grace_ms",
           type::Milliseconds,
           &settings::mEntryLeavingGraceMs,
           0,
           10 * kMinuteMs,
           "How long after a server has said that it leaves requests may still "
           "go to it where no other server can answer."),
    Number("entry",
           "longest_pause_ms",
           type::Milliseconds,
           &settings::mEntryMaxPauseMs,
           1,
           24 * kHourMs,
           "Longest time for which a server that asks for time gets no "
           "requests; limits the harm of a wrong Retry-After."),
    Number("entry",
           "hedge_percent",
           type::Count,
           &settings::mEntryHedgeBudgetPercent,
           0,
           100,
           "Hedged attempts allowed per 100 regular attempts."),
    Number("entry",
           "retry_percent",
           type::Count,
           &settings::mEntryRetryBudgetPercent,
           0,
           100,
           "Retries allowed per 100 regular attempts."),
    Number(
      "entry",
      "idle_probe_ms",
      type::Milliseconds,
      &settings::mEntryMaxIdleMs,
      100,
      kHourMs,
      "Maximum idle time of a connection to a backend server; a connection "
      "that was idle for longer is replaced."),
    Number("entry",
           "renew_ms",
           type::Milliseconds,
           &settings::mEntryRenewIntervalMs,
           100,
           60'000,
           "Interval at which backend servers must announce themselves."),
    Number("entry",
           "lapse_ms",
           type::Milliseconds,
           &settings::mEntryServerLeaseMs,
           200,
           120'000,
           "Time without an announcement after which a backend server is "
           "recorded as gone."),
    Number("entry",
           "refusals_kept",
           type::Count,
           &settings::mEntryRefusalsKept,
           100,
           10'000'000,
           "Maximum number of refusals kept in memory until two control hosts "
           "have stored them."),
    Switch("entry",
           "serve_unconfirmed",
           &settings::mEntryServesUnconfirmed,
           "Forward requests by the last known state while the control hosts "
           "can't be reached. If no, such requests are refused."),
    Switch(
      "entry",
      "suspend_failing",
      &settings::mEntrySuspendsFailing,
      "Temporarily avoid servers that fail, as long as others can answer."),
    Switch("entry",
           "hand_shares_over",
           &settings::mEntryHandsSharesOver,
           "Use an increased share of a server's connections only after its "
           "previous holder has certainly released it. If no, use it at once."),
    Switch("entry",
           "canary",
           &settings::mEntryCanary,
           "Send a query that is new to this host to one service first."),
    Number(
      "entry",
      "cold_after_refusals",
      type::Count,
      &settings::mEntryColdAfterRefusals,
      0,
      1000,
      "Consecutive refusals after which a ready server is treated as cold; "
      "0 disables this."),
    Number(
      "entry",
      "failure_cost_us",
      type::Count,
      &settings::mEntryFailurePenaltyUs,
      0,
      1'000'000,
      "Microseconds added, when a server is chosen, to the expected latency "
      "of one whose recent attempts all failed; in proportion if some "
      "failed."),
    Number(
      "entry",
      "domain_distance_us",
      type::Count,
      &settings::mEntryCrossDomainPenaltyUs,
      0,
      1'000'000,
      "Microseconds added, when a server is chosen, to the expected latency "
      "of one in another failure domain."),
    Number(
      "entry",
      "connect_cost_us",
      type::Count,
      &settings::mEntryConnectPenaltyUs,
      0,
      1'000'000,
      "Microseconds added, when a server is chosen, to the expected latency "
      "of one without an open connection."),
    Number("entry",
           "hedge_quantile",
           type::Count,
           &settings::mEntryHedgePercentile,
           50,
           99,
           "Percentile of a service's response times after which an attempt is "
           "hedged."),
    Number(
      "entry",
      "hedge_at_percent",
      type::Count,
      &settings::mEntryMaxHedgeDelayPercent,
      1,
      100,
      "Percent of the time until a route's latency objective after which an "
      "attempt is hedged at the latest."),
    Number("entry",
           "objective_margin_ms",
           type::Milliseconds,
           &settings::mEntryObjectiveMarginMs,
           0,
           1000,
           "Time before a route's latency objective at which a partial "
           "response that reaches the minimum coverage is sent."),
    Number("entry",
           "divided_margin_ms",
           type::Milliseconds,
           &settings::mEntryDividedMarginMs,
           0,
           1000,
           "The same for fan-outs that are divided among entry hosts."),
    Number("entry",
           "extra_window_s",
           type::Seconds,
           &settings::mEntryExtraWindowS,
           0,
           3600,
           "Window of the budget for repeated attempts at a service that all "
           "hosts share; 0 disables the shared budget."),
    Fraction(
      "entry",
      "extra_ratio",
      &settings::mEntryExtraRatio,
      10,
      "Repeated attempts allowed in a window per regular attempt, over all "
      "hosts."),
    Fraction(
      "entry",
      "extra_slack",
      &settings::mEntryExtraSlack,
      1'000'000,
      "Repeated attempts allowed in a window in addition to extra_ratio, "
      "over all hosts."),
    Text("entry",
         "subquery_address",
         type::Address,
         &settings::mEntrySubqueryAddress,
         false,
         "Address on which other entry hosts send parts of their fan-outs; "
         "without it, this host takes none and divides none."),
    Number("entry",
           "subquery_port_offset",
           type::Count,
           &settings::mEntrySubqueryPortOffset,
           0,
           1000,
           "Added to the port of subquery_address, for a platform that names "
           "only the ends of a range of free ports."),
    Fraction("entry",
             "cpu_share",
             &settings::mEntryCpuShare,
             64,
             "Processor cores that this host may use; fan-outs are divided "
             "if they would take it too long."),
    Switch("entry",
           "strict_revoke",
           &settings::mEntryRevokesStrictly,
           "Send requests with API keys only while this host's state was "
           "confirmed within 0.6 of revoke_ms."),
    Number("entry",
           "revoke_ms",
           type::Milliseconds,
           &settings::mEntryRevocationMs,
           100,
           kHourMs,
           "With strict_revoke, time from the acknowledgement of a change that "
           "takes an API key away until no request with it is sent any more; "
           "at least five times mark_ms."),
    Number("entry",
           "rollback_ms",
           type::Milliseconds,
           &settings::mEntryRollbackMs,
           100,
           kHourMs,
           "Time in which a bad version must have been left by a rollout; "
           "counts are reported in a small part of it."),
    Switch("entry",
           "admit_by_rank",
           &settings::mEntryAdmitByRank,
           "Refuse what servers can't bear while they are overloaded, the "
           "least urgent priorities and the most work first, and start urgent "
           "work first while this host is busy. If no, requests are refused "
           "for this host's own limits only."),
    Number("entry",
           "quota_window_s",
           type::Seconds,
           &settings::mEntryQuotaWindowS,
           1,
           3600,
           "Span of time in which the quota of a caller team is kept. Must be "
           "the same on all hosts, as the next two."),
    Fraction("entry",
             "quota_overshoot",
             &settings::mEntryQuotaOvershoot,
             10,
             "Requests beyond its quota that a caller team may send in a "
             "window, per request of the quota, over all hosts."),
    Fraction("entry",
             "quota_slack",
             &settings::mEntryQuotaSlack,
             1'000'000,
             "Requests that a caller team may send in a window in addition "
             "to its quota and quota_overshoot, over all hosts."),
  };
}

std::vector<setting_row>
ControlRows()
{
  using type = setting_type;
  return {
    Text("control",
         "address",
         type::Address,
         &settings::mControlAddress,
         true,
         "Address on which the other hosts connect."),
    Text("control",
         "operators_address",
         type::Address,
         &settings::mControlOperatorsAddress,
         true,
         "Address on which operators connect."),
    HostAddressList("control",
                    "members",
                    &settings::mControlMembers,
                    "All control hosts, including this one. Must be the same "
                    "on all of them."),
    Text("control",
         "data_folder",
         type::Path,
         &settings::mControlDataFolder,
         true,
         "Folder for the replicated log and the stored refusals."),
    Text("control",
         "operators_token",
         type::Path,
         &settings::mControlOperatorsToken,
         false,
         "File with the bearer token that operators must send."),
    Number("control",
           "heartbeat_ms",
           type::Milliseconds,
           &settings::mControlHeartbeatMs,
           10,
           1000,
           "Interval of the leader's heartbeats to the other control hosts."),
    Number("control",
           "election_ms",
           type::Milliseconds,
           &settings::mControlElectionMs,
           100,
           10'000,
           "Time without a leader after which an election starts; at least "
           "three times heartbeat_ms."),
    Number("control",
           "silence_ms",
           type::Milliseconds,
           &settings::mControlEntryHostTimeoutMs,
           500,
           60'000,
           "Time without a message after which an entry host is recorded as "
           "silent."),
    Number("control",
           "server_lapse_ms",
           type::Milliseconds,
           &settings::mControlOrphanTimeoutMs,
           500,
           120'000,
           "Time after which a backend server is recorded as gone if the host "
           "that held its lease was lost."),
    Number("control",
           "snapshot_every",
           type::Count,
           &settings::mControlSnapshotThreshold,
           16,
           10'000'000,
           "Number of log entries after which a snapshot replaces them."),
    Number("control",
           "max_log_bytes",
           type::Bytes,
           &settings::mControlMaxLogBytes,
           8 * kMebibyte,
           4096 * kMebibyte,
           "Maximum size of the log since the latest snapshot, in memory and "
           "on disk. A snapshot replaces it at a quarter to half of that; "
           "changes that would exceed it are refused."),
    Number(
      "control",
      "most_claims",
      type::Count,
      &settings::mControlMaxClaims,
      10,
      10'000'000,
      "Maximum number of claims of non-idempotent requests that are kept."),
    Number("control",
           "claim_hours",
           type::Count,
           &settings::mControlClaimHours,
           1,
           kMaxClaimHours,
           "Time for which a settled claim is kept, in hours."),
    Number("control",
           "refusal_days",
           type::Count,
           &settings::mControlRefusalDays,
           1,
           365,
           "Time for which refusals are kept, in days."),
    Number("control",
           "lapse_ms",
           type::Milliseconds,
           &settings::mControlServerLeaseMs,
           200,
           120'000,
           "Time without an announcement after which a backend server that "
           "announced itself to this host is recorded as gone."),
    Switch(
      "control",
      "bootstrap",
      &settings::mControlBootstrap,
      "Allow this host to form a new group. If no, a host with an empty data "
      "folder joins an existing group."),
    Fraction("control",
             "exposure_share",
             &settings::mControlExposureShare,
             1,
             "Part of a service's requests that a bad version may get during "
             "a rollout."),
    Fraction("control",
             "exposure_slack",
             &settings::mControlExposureSlack,
             1'000'000,
             "Requests that a bad version may get beyond that part."),
    Number("control",
           "rollback_ms",
           type::Milliseconds,
           &settings::mControlRollbackMs,
           100,
           kHourMs,
           "Time in which a bad version must have been left by a rollout; "
           "counts are looked at in a small part of it."),
  };
}

std::vector<setting_row>
PlatformRows()
{
  using type = setting_type;
  return {
    Text("platform",
         "callers_address",
         type::Address,
         &settings::mPlatformCallersAddress,
         false,
         "Address on which the platform's clients connect."),
    Text("platform",
         "readiness_address",
         type::Address,
         &settings::mPlatformReadinessAddress,
         false,
         "Address on which the platform queries whether this host is ready."),
    Text("platform",
         "control_address",
         type::Address,
         &settings::mPlatformControlAddress,
         false,
         "Address on which backend servers register and operators connect."),
    Text("platform",
         "directory_address",
         type::Address,
         &settings::mPlatformDirectoryAddress,
         false,
         "Address on which clients query the list of entry hosts."),
    { "platform",
      "seeds",
      type::Endpoints,
      &settings::mPlatformSeeds,
      0,
      0,
      false,
      "Addresses of some control hosts. Only the IP of each is used, with "
      "control_port; the other control hosts are learned from them. If "
      "empty, the host waits until the file names some." },
    Number("platform",
           "control_port",
           type::Count,
           &settings::mPlatformControlPort,
           0,
           65'535,
           "Port of [control] address on every control host, which lets hosts "
           "find each other by seeds; 0 for hosts that are configured."),
    Number("platform",
           "grace_s",
           type::Seconds,
           &settings::mPlatformGraceS,
           1,
           3600,
           "Time from a stop signal until the process is killed."),
    Number("platform",
           "keep_list_s",
           type::Seconds,
           &settings::mPlatformHostListTtlS,
           1,
           3600,
           "Time for which clients are told to cache the list of entry hosts."),
  };
}

}

const std::vector<setting_row>&
SettingTable()
{
  static const std::vector<setting_row> sTable = [] {
    std::vector<setting_row> rows = HostRows();
    for (auto section : { EntryRows(), ControlRows(), PlatformRows() }) {
      rows.insert(rows.end(), section.begin(), section.end());
    }
    return rows;
  }();
  return sTable;
}

}
