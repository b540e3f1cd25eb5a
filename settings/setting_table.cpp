#include "settings/settings.h"

namespace hibiscusspool {

namespace {

constexpr std::int64_t kMebibyte = 1 << 20;
constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kHourMs = 60 * kMinuteMs;
constexpr std::int64_t kMonthHours = 720;

setting_row
Text(std::string aSection,
     std::string aKey,
     setting_type aType,
     std::string settings::*aMember,
     bool aIsNeeded,
     std::string aHelp)
{
  return { std::move(aSection), std::move(aKey), aType, aMember, 0, 0,
           aIsNeeded,           std::move(aHelp) };
}

setting_row
Addresses(std::string aSection,
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
         std::int64_t aHighest,
         std::string aHelp)
{
  return { std::move(aSection),
           std::move(aKey),
           setting_type::Fraction,
           aMember,
           0,
           aHighest,
           false,
           std::move(aHelp) };
}

setting_row
Number(std::string aSection,
       std::string aKey,
       setting_type aType,
       std::int64_t settings::*aMember,
       std::int64_t aLowest,
       std::int64_t aHighest,
       std::string aHelp)
{
  return { std::move(aSection),
           std::move(aKey),
           aType,
           aMember,
           aLowest,
           aHighest,
           false,
           std::move(aHelp) };
}

std::vector<setting_row>
HostRows()
{
  return {
    Text("host",
         "id",
         setting_type::Name,
         &settings::mHostId,
         true,
         "Name of this host, which no other host has."),
    Text("host",
         "failure_domain",
         setting_type::Name,
         &settings::mHostFailureDomain,
         true,
         "Failure domain that this host stands in."),
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
         "Where callers connect; it is also what callers are told."),
    Text("entry",
         "announce_address",
         type::Address,
         &settings::mEntryAnnounceAddress,
         true,
         "Where backend servers announce themselves."),
    Addresses("entry",
              "control_hosts",
              &settings::mEntryControlHosts,
              "The control hosts and their addresses."),
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
           "Threads that serve callers."),
    Number("entry",
           "lease_ms",
           type::Milliseconds,
           &settings::mEntryLeaseMs,
           1000,
           8000,
           "How old the newest confirmed mark may be for new work; the same "
           "on all hosts."),
    Number("entry",
           "mark_ms",
           type::Milliseconds,
           &settings::mEntryMarkIntervalMs,
           50,
           2000,
           "How often a mark is sent to be confirmed."),
    Number("entry",
           "longest_wait_ms",
           type::Milliseconds,
           &settings::mEntryMaxWaitMs,
           100,
           10'000,
           "Longest time that any request may run, whatever its team's "
           "template says; the same on all hosts."),
    Number("entry",
           "keep_list_ms",
           type::Milliseconds,
           &settings::mEntryHostListTtlMs,
           100,
           60'000,
           "How long callers may keep the list of entry hosts; the same on "
           "all hosts."),
    Number("entry",
           "body_bytes",
           type::Bytes,
           &settings::mEntryMaxBodyBytes,
           1024,
           64 * kMebibyte,
           "Largest body of a caller's request."),
    Number("entry",
           "answer_bytes",
           type::Bytes,
           &settings::mEntryMaxResponseBytes,
           1024,
           256 * kMebibyte,
           "Largest answer taken from a backend server."),
    Number("entry",
           "slow_sender_ms",
           type::Milliseconds,
           &settings::mEntryTransferTimeoutMs,
           100,
           60'000,
           "Time in which a request must have arrived once it began."),
    Number("entry",
           "most_callers",
           type::Count,
           &settings::mEntryMaxConnections,
           1,
           100'000,
           "Connections from callers at a time."),
    Number("entry",
           "host_limit",
           type::Count,
           &settings::mEntryHostLimit,
           1,
           100'000,
           "Requests that this host runs at a time."),
    Number("entry",
           "ramp_ms",
           type::Milliseconds,
           &settings::mEntryRampDurationMs,
           0,
           10 * kMinuteMs,
           "Time from the end of a server's cold start to its full load."),
    Number("entry",
           "hedge_percent",
           type::Count,
           &settings::mEntryHedgeBudgetPercent,
           0,
           100,
           "Hedged attempts allowed for each 100 regular ones."),
    Number("entry",
           "retry_percent",
           type::Count,
           &settings::mEntryRetryBudgetPercent,
           0,
           100,
           "Retried attempts allowed for each 100 regular ones."),
    Number("entry",
           "idle_probe_ms",
           type::Milliseconds,
           &settings::mEntryMaxIdleMs,
           100,
           kHourMs,
           "A connection to a backend server that was unused for longer is "
           "replaced before use."),
    Number("entry",
           "renew_ms",
           type::Milliseconds,
           &settings::mEntryRenewIntervalMs,
           100,
           60'000,
           "How often backend servers must announce themselves."),
    Number("entry",
           "lapse_ms",
           type::Milliseconds,
           &settings::mEntryServerLeaseMs,
           200,
           120'000,
           "Time without an announcement after which a server is gone."),
    Number("entry",
           "refusals_kept",
           type::Count,
           &settings::mEntryRefusalsKept,
           100,
           10'000'000,
           "Refusals kept in memory until two disk hosts have them."),
    Switch("entry",
           "serve_unconfirmed",
           &settings::mEntryServesUnconfirmed,
           "Pass requests on by the last known state while the control hosts "
           "can't be reached; else such requests are refused."),
    Switch("entry",
           "suspend_failing",
           &settings::mEntrySuspendsFailing,
           "Keep away for a while from servers whose answers fail, as long as "
           "others can answer."),
    Switch("entry",
           "hand_shares_over",
           &settings::mEntryHandsSharesOver,
           "Use a gained share of a server's connections only once its earlier "
           "holder has surely let go; else at once."),
    Switch("entry",
           "canary",
           &settings::mEntryCanary,
           "Try a query that is new to this host on one service first."),
    Number("entry",
           "cold_after_refusals",
           type::Count,
           &settings::mEntryColdAfterRefusals,
           0,
           1000,
           "Refusals in a row after which a ready server is taken for a cold "
           "one; 0 for never."),
    Number("entry",
           "failure_cost_us",
           type::Count,
           &settings::mEntryFailurePenaltyUs,
           0,
           1'000'000,
           "Microseconds that a server whose attempts all failed lately counts "
           "as slower when one is chosen; in proportion when some did."),
    Number("entry",
           "domain_distance_us",
           type::Count,
           &settings::mEntryCrossDomainPenaltyUs,
           0,
           1'000'000,
           "Microseconds that a server in another failure domain counts as "
           "slower when one is chosen."),
    Number("entry",
           "connect_cost_us",
           type::Count,
           &settings::mEntryConnectPenaltyUs,
           0,
           1'000'000,
           "Microseconds that a server without an open connection counts as "
           "slower when one is chosen."),
    Number("entry",
           "hedge_quantile",
           type::Count,
           &settings::mEntryHedgePercentile,
           50,
           99,
           "Percent of a service's answers after whose time an attempt is "
           "hedged."),
    Number("entry",
           "hedge_at_percent",
           type::Count,
           &settings::mEntryMaxHedgeDelayPercent,
           1,
           100,
           "Percent of the time to a route's objective after which an attempt "
           "is hedged at the latest."),
    Number("entry",
           "objective_margin_ms",
           type::Milliseconds,
           &settings::mEntryObjectiveMarginMs,
           0,
           1000,
           "Time before a route's objective at which a partial answer that "
           "reaches the minimum coverage is sent."),
    Number("entry",
           "extra_window_s",
           type::Seconds,
           &settings::mEntryExtraWindowS,
           0,
           3600,
           "Window of the budget for repeated attempts that all hosts share "
           "for each service; 0 for no shared budget."),
    Fraction("entry",
             "extra_ratio",
             &settings::mEntryExtraRatio,
             10,
             "Repeated attempts in a window for each regular one, over all "
             "hosts."),
    Fraction("entry",
             "extra_slack",
             &settings::mEntryExtraSlack,
             1'000'000,
             "Repeated attempts in a window besides, over all hosts."),
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
         "Where the system's other processes connect."),
    Text("control",
         "operators_address",
         type::Address,
         &settings::mControlOperatorsAddress,
         true,
         "Where operators connect."),
    Addresses("control",
              "members",
              &settings::mControlMembers,
              "All control hosts, with this one; the same on each of them."),
    Text("control",
         "data_folder",
         type::Path,
         &settings::mControlDataFolder,
         true,
         "Folder for the replicated log and the refusals."),
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
           "How often the leader sends to the other control hosts."),
    Number("control",
           "election_ms",
           type::Milliseconds,
           &settings::mControlElectionMs,
           100,
           10'000,
           "Time without a leader after which an election starts; at least "
           "three heartbeats."),
    Number("control",
           "silence_ms",
           type::Milliseconds,
           &settings::mControlEntryHostTimeoutMs,
           500,
           60'000,
           "Time after which an entry host that is not heard is silent."),
    Number("control",
           "server_lapse_ms",
           type::Milliseconds,
           &settings::mControlOrphanTimeoutMs,
           500,
           120'000,
           "Time after which a backend server whose sponsor was lost is "
           "gone."),
    Number("control",
           "snapshot_every",
           type::Count,
           &settings::mControlSnapshotThreshold,
           16,
           10'000'000,
           "Log entries after which a snapshot takes their place."),
    Number("control",
           "most_claims",
           type::Count,
           &settings::mControlMaxClaims,
           10,
           10'000'000,
           "Claims of non-idempotent requests that are kept."),
    Number("control",
           "claim_hours",
           type::Count,
           &settings::mControlClaimHours,
           1,
           kMonthHours,
           "Hours for which a settled claim is kept."),
    Number("control",
           "refusal_days",
           type::Count,
           &settings::mControlRefusalDays,
           1,
           365,
           "Days for which refusals are kept."),
    Number("control",
           "lapse_ms",
           type::Milliseconds,
           &settings::mControlServerLeaseMs,
           200,
           120'000,
           "Time without an announcement after which a server that announces "
           "itself here is gone."),
    Switch("control",
           "bootstrap",
           &settings::mControlBootstrap,
           "This host may form a group; else an empty data folder joins one."),
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
         "Where the platform's clients connect."),
    Text("platform",
         "readiness_address",
         type::Address,
         &settings::mPlatformReadinessAddress,
         false,
         "Where the platform asks whether this host is ready."),
    Text("platform",
         "control_address",
         type::Address,
         &settings::mPlatformControlAddress,
         false,
         "Where servers register and operators connect."),
    Text("platform",
         "directory_address",
         type::Address,
         &settings::mPlatformDirectoryAddress,
         false,
         "Where clients ask for the entry hosts."),
    { "platform",
      "seeds",
      type::Endpoints,
      &settings::mPlatformSeeds,
      0,
      0,
      false,
      "Addresses of some control hosts; of each the IP is used, with "
      "control_port. The others are learned from them." },
    Number("platform",
           "control_port",
           type::Count,
           &settings::mPlatformControlPort,
           1,
           65'535,
           "Port of [control] address on every control host; needed beside "
           "seeds."),
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
           "How long clients are told to keep the list of entry hosts."),
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
