#pragma once

#include "core/failure.h"
#include "core/name_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusspool {

enum class settings_error
{
  CannotRead,
  Malformed,
  UnknownSection,
  UnknownKey,
  MissingKey,
  BadValue,
};

template<>
inline constexpr name_table<settings_error, 6> kNames<settings_error>{ {
  { settings_error::CannotRead, "cannot_read" },
  { settings_error::Malformed, "malformed" },
  { settings_error::UnknownSection, "unknown_section" },
  { settings_error::UnknownKey, "unknown_key" },
  { settings_error::MissingKey, "missing_key" },
  { settings_error::BadValue, "bad_value" },
} };

enum class setting_type
{
  Name,
  Address,
  /** `host=ip:port`, separated by commas. */
  HostAddresses,
  Path,
  Count,
  Milliseconds,
  Bytes,
  /** `ip:port`, separated by commas. */
  Endpoints,
  Seconds,
  Fraction,
  Switch,
};

template<>
inline constexpr name_table<setting_type, 11> kNames<setting_type>{ {
  { setting_type::Name, "name" },
  { setting_type::Address, "ip:port" },
  { setting_type::HostAddresses, "list of host=ip:port" },
  { setting_type::Path, "path" },
  { setting_type::Count, "count" },
  { setting_type::Milliseconds, "ms" },
  { setting_type::Bytes, "bytes" },
  { setting_type::Endpoints, "list of ip:port" },
  { setting_type::Seconds, "s" },
  { setting_type::Fraction, "fraction" },
  { setting_type::Switch, "yes or no" },
} };

using host_address_map = std::map<std::string, std::string>;
using endpoint_list = std::vector<std::string>;

/**
 * All settings of one process, validated. An empty string or list means that
 * the setting is absent.
 */
struct settings
{
  std::string mHostId;
  std::string mHostFailureDomain;
  std::int64_t mHostMemoryMb = 0;
  std::int64_t mHostMaxDescriptors = 0;
  std::int64_t mHostMaxHeaderFields = 256;

  std::string mEntryCallersAddress;
  std::string mEntryAnnounceAddress;
  host_address_map mEntryControlHosts;
  std::int64_t mEntryThreads = 4;
  std::int64_t mEntryLeaseMs = 4000;
  std::int64_t mEntryMarkIntervalMs = 500;
  std::int64_t mEntryMaxWaitMs = 10'000;
  std::int64_t mEntryHostListTtlMs = 5000;
  std::int64_t mEntryMaxBodyBytes = 1 << 20;
  std::int64_t mEntryMaxResponseBytes = 16 << 20;
  std::int64_t mEntryMaxHeldBytes = 32 << 20;
  std::int64_t mEntryTransferTimeoutMs = 5000;
  std::int64_t mEntryMaxConnections = 4096;
  std::int64_t mEntryHostLimit = 512;
  std::int64_t mEntryRampDurationMs = 10'000;
  std::int64_t mEntryLeavingGraceMs = 3'000;
  std::int64_t mEntryMaxPauseMs = 600'000;
  std::int64_t mEntryHedgeBudgetPercent = 5;
  std::int64_t mEntryRetryBudgetPercent = 10;
  std::int64_t mEntryMaxIdleMs = 5000;
  std::int64_t mEntryRenewIntervalMs = 1000;
  std::int64_t mEntryServerLeaseMs = 4000;
  std::int64_t mEntryRefusalsKept = 100'000;
  std::string mEntryAnnounceToken;
  bool mEntryServesUnconfirmed = false;
  bool mEntrySuspendsFailing = false;
  bool mEntryHandsSharesOver = true;
  bool mEntryCanary = true;
  std::int64_t mEntryColdAfterRefusals = 8;
  std::int64_t mEntryCrossDomainPenaltyUs = 0;
  std::int64_t mEntryFailurePenaltyUs = 0;
  std::int64_t mEntryConnectPenaltyUs = 0;
  std::int64_t mEntryHedgePercentile = 95;
  std::int64_t mEntryMaxHedgeDelayPercent = 100;
  std::int64_t mEntryObjectiveMarginMs = 10;
  std::int64_t mEntryDividedMarginMs = 10;
  std::int64_t mEntryExtraWindowS = 0;
  double mEntryExtraRatio = 0.2;
  double mEntryExtraSlack = 0;
  std::string mEntrySubqueryAddress;
  std::int64_t mEntrySubqueryPortOffset = 0;
  double mEntryCpuShare = 1;
  bool mEntryRevokesStrictly = false;
  std::int64_t mEntryRevocationMs = 5000;
  std::int64_t mEntryRollbackMs = 5000;
  bool mEntryAdmitByRank = false;
  std::int64_t mEntryQuotaWindowS = 5;
  double mEntryQuotaOvershoot = 0.1;
  double mEntryQuotaSlack = 20;

  std::string mControlAddress;
  std::string mControlOperatorsAddress;
  host_address_map mControlMembers;
  std::string mControlDataFolder;
  std::string mControlOperatorsToken;
  std::int64_t mControlHeartbeatMs = 100;
  std::int64_t mControlElectionMs = 1000;
  std::int64_t mControlEntryHostTimeoutMs = 3000;
  std::int64_t mControlOrphanTimeoutMs = 6000;
  std::int64_t mControlSnapshotThreshold = 4096;
  std::int64_t mControlMaxLogBytes = 32 << 20;
  std::int64_t mControlMaxClaims = 200'000;
  std::int64_t mControlClaimHours = 48;
  std::int64_t mControlRefusalDays = 14;
  std::int64_t mControlServerLeaseMs = 5000;
  bool mControlBootstrap = true;
  double mControlExposureShare = 0.1;
  double mControlExposureSlack = 50;
  std::int64_t mControlRollbackMs = 5000;

  std::string mPlatformCallersAddress;
  std::string mPlatformReadinessAddress;
  std::string mPlatformControlAddress;
  std::string mPlatformDirectoryAddress;
  endpoint_list mPlatformSeeds;
  /** Port of `[control] address` on all control hosts. */
  std::int64_t mPlatformControlPort = 0;
  std::int64_t mPlatformGraceS = 6;
  std::int64_t mPlatformHostListTtlS = 2;

  [[nodiscard]] bool IsEntry() const { return !mEntryCallersAddress.empty(); }
  [[nodiscard]] bool IsControl() const { return !mControlAddress.empty(); }
  /** True on the users' platform, where hosts are discovered from the seeds.
   * There may be none for a while, as after a loss of all hosts. */
  [[nodiscard]] bool IsOnPlatform() const { return mPlatformControlPort != 0; }
};

using setting_member = std::variant<std::string settings::*,
                                    host_address_map settings::*,
                                    endpoint_list settings::*,
                                    std::int64_t settings::*,
                                    double settings::*,
                                    bool settings::*>;

/** One setting; its default is the initial value of its member. */
struct setting_row
{
  std::string mSection;
  std::string mKey;
  setting_type mType = setting_type::Name;
  setting_member mMember;
  /** The allowed range of a number, inclusive. */
  std::int64_t mMinValue = 0;
  std::int64_t mMaxValue = 0;
  /** The key must be present in its section. */
  bool mIsRequired = false;
  std::string mHelp;
  /** Replaces a text that can't be used; empty if nothing can. */
  std::string mFallback{};
};

/** The single table of settings behind validation, help and documentation. */
const std::vector<setting_row>&
SettingTable();

/**
 * Loads and validates an INI file. Errors name the section and key, the value,
 * and the allowed range.
 */
result<settings, settings_error>
LoadSettings(const std::string& aPath);

/** Parses and validates the text of an INI file. */
result<settings, settings_error>
ParseSettings(const std::string& aText);

/** A value that was out of range or could not be read, and what replaced it. */
struct setting_repair
{
  std::string mKey;
  std::string mText;
  std::string mUsed;
};

struct repaired_settings
{
  settings mSettings;
  std::vector<setting_repair> mRepairs;
};

/**
 * Loads an INI file for a process that has to start: a number that does not fit
 * is rounded down or set to the nearest allowed one, other values that can't be
 * read are left at their defaults, and malformed seeds are left out. Errors as
 * for `LoadSettings` where nothing can replace a value, as an address.
 */
result<repaired_settings, settings_error>
LoadRepairedSettings(const std::string& aPath);

/** The same for the text of an INI file. */
result<repaired_settings, settings_error>
RepairSettings(const std::string& aText);

/** The table as plain text for a terminal. */
std::string
SettingsHelp();

/** The table as Markdown, for `docs/SETTINGS.md`. */
std::string
SettingsMarkdown();

}
