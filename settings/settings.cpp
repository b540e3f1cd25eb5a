#include "settings/settings.h"

#include "core/address.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <optional>
#include <set>
#include <sstream>

namespace hibiscusspool {

namespace {

using tree = boost::property_tree::ptree;

std::string
QualifiedKey(const std::string& aSection, const std::string& aKey)
{
  std::ostringstream qualifiedKey;
  qualifiedKey << '[' << aSection << "] " << aKey;
  return qualifiedKey.str();
}

std::string
QualifiedKey(const setting_row& aRow)
{
  return QualifiedKey(aRow.mSection, aRow.mKey);
}

std::string
AllowedRange(const setting_row& aRow)
{
  std::string type(NameOf(aRow.mType));
  if (aRow.mType == setting_type::Fraction) {
    return std::to_string(aRow.mMinValue) + " to " +
           std::to_string(aRow.mMaxValue);
  }
  if (!std::holds_alternative<std::int64_t settings::*>(aRow.mMember)) {
    return type;
  }
  return std::to_string(aRow.mMinValue) + " to " +
         std::to_string(aRow.mMaxValue) +
         (aRow.mType == setting_type::Count ? "" : " " + type);
}

failure<settings_error>
BadValue(const setting_row& aRow, const std::string& aText)
{
  return Fail(settings_error::BadValue,
              QualifiedKey(aRow) + " is \"" + aText + "\"; allowed is " +
                AllowedRange(aRow) + ".");
}

bool
IsPlainName(const std::string& aText)
{
  return !aText.empty() &&
         aText.find_first_of(" \t/\",=#;") == std::string::npos;
}

result<host_address_map, settings_error>
ParseHostAddresses(const setting_row& aRow, const std::string& aText)
{
  host_address_map addresses;
  std::istringstream parts(aText);
  for (std::string part; std::getline(parts, part, ',');) {
    std::erase(part, ' ');
    std::size_t equals = part.find('=');
    bool isPair = equals != std::string::npos &&
                  IsPlainName(part.substr(0, equals)) &&
                  ParseAddress(part.substr(equals + 1)).has_value();
    if (!isPair) {
      return BadValue(aRow, aText);
    }
    bool isNew =
      addresses.emplace(part.substr(0, equals), part.substr(equals + 1)).second;
    if (!isNew) {
      return Fail(settings_error::BadValue,
                  QualifiedKey(aRow) + " names host \"" +
                    part.substr(0, equals) + "\" twice.");
    }
  }
  if (addresses.empty()) {
    return BadValue(aRow, aText);
  }
  return addresses;
}

/** Parses a value and stores it in the member that its row points to. */
struct value_setter
{
  settings& mSettings;
  const setting_row& mRow;
  const std::string& mText;

  result<void, settings_error> operator()(std::string settings::*aMember) const
  {
    bool isValid = !mText.empty();
    if (mRow.mType == setting_type::Name) {
      isValid = IsPlainName(mText);
    }
    if (mRow.mType == setting_type::Address) {
      isValid = ParseAddress(mText).has_value();
    }
    if (!isValid) {
      return BadValue(mRow, mText);
    }
    mSettings.*aMember = mText;
    return boost::outcome_v2::success();
  }

  result<void, settings_error> operator()(
    host_address_map settings::*aMember) const
  {
    auto addresses = ParseHostAddresses(mRow, mText);
    if (!addresses) {
      return addresses.error();
    }
    mSettings.*aMember = std::move(addresses.value());
    return boost::outcome_v2::success();
  }

  result<void, settings_error> operator()(
    endpoint_list settings::*aMember) const
  {
    endpoint_list endpoints;
    std::istringstream parts(mText);
    for (std::string part; std::getline(parts, part, ',');) {
      std::erase(part, ' ');
      if (!ParseAddress(part)) {
        return BadValue(mRow, mText);
      }
      endpoints.push_back(part);
    }
    mSettings.*aMember = std::move(endpoints);
    return boost::outcome_v2::success();
  }

  result<void, settings_error> operator()(double settings::*aMember) const
  {
    double number = 0;
    const char* end = mText.data() + mText.size();
    auto [stop, error] = std::from_chars(mText.data(), end, number);
    bool isValid = error == std::errc{} && stop == end &&
                   number >= static_cast<double>(mRow.mMinValue) &&
                   number <= static_cast<double>(mRow.mMaxValue);
    if (!isValid) {
      return BadValue(mRow, mText);
    }
    mSettings.*aMember = number;
    return boost::outcome_v2::success();
  }

  result<void, settings_error> operator()(bool settings::*aMember) const
  {
    bool isYes = mText == "yes" || mText == "true";
    bool isNo = mText == "no" || mText == "false";
    if (!isYes && !isNo) {
      return BadValue(mRow, mText);
    }
    mSettings.*aMember = isYes;
    return boost::outcome_v2::success();
  }

  result<void, settings_error> operator()(std::int64_t settings::*aMember) const
  {
    std::int64_t number = 0;
    const char* end = mText.data() + mText.size();
    auto [stop, error] = std::from_chars(mText.data(), end, number);
    bool isValid = error == std::errc{} && stop == end &&
                   number >= mRow.mMinValue && number <= mRow.mMaxValue;
    if (!isValid) {
      return BadValue(mRow, mText);
    }
    mSettings.*aMember = number;
    return boost::outcome_v2::success();
  }
};

/** The whole text as a finite number. */
std::optional<double>
ParseNumber(const std::string& aText)
{
  double number = 0;
  const char* end = aText.data() + aText.size();
  auto [stop, error] = std::from_chars(aText.data(), end, number);
  bool isNumber = error == std::errc{} && stop == end && std::isfinite(number);
  return isNumber ? std::optional(number) : std::nullopt;
}

/** Replaces a value that can't be used; returns what is used instead, or
 * nothing if only a valid value will do. */
struct value_repairer
{
  settings& mSettings;
  const setting_row& mRow;
  const std::string& mText;

  std::optional<std::string> operator()(std::string settings::*aMember) const
  {
    if (mRow.mFallback.empty()) {
      return std::nullopt;
    }
    mSettings.*aMember = mRow.mFallback;
    return mRow.mFallback;
  }

  std::optional<std::string> operator()(
    host_address_map settings::* /*aMember*/) const
  {
    return std::nullopt;
  }

  std::optional<std::string> operator()(endpoint_list settings::*aMember) const
  {
    endpoint_list endpoints;
    std::string used;
    std::istringstream parts(mText);
    for (std::string part; std::getline(parts, part, ',');) {
      std::erase(part, ' ');
      if (ParseAddress(part)) {
        used += (used.empty() ? "" : ",") + part;
        endpoints.push_back(part);
      }
    }
    mSettings.*aMember = std::move(endpoints);
    return used;
  }

  /** The nearest allowed number. */
  [[nodiscard]] std::optional<double> Nearest() const
  {
    auto number = ParseNumber(mText);
    if (!number) {
      return std::nullopt;
    }
    return std::clamp(*number,
                      static_cast<double>(mRow.mMinValue),
                      static_cast<double>(mRow.mMaxValue));
  }

  std::optional<std::string> operator()(double settings::*aMember) const
  {
    mSettings.*aMember = Nearest().value_or(mSettings.*aMember);
    return std::to_string(mSettings.*aMember);
  }

  std::optional<std::string> operator()(std::int64_t settings::*aMember) const
  {
    if (auto nearest = Nearest()) {
      mSettings.*aMember = static_cast<std::int64_t>(*nearest);
    }
    return std::to_string(mSettings.*aMember);
  }

  std::optional<std::string> operator()(bool settings::*aMember) const
  {
    return mSettings.*aMember ? "yes" : "no";
  }
};

result<void, settings_error>
CheckSectionsAndKeys(const tree& aTree)
{
  std::set<std::string> knownSections;
  std::set<std::string> knownKeys;
  for (const setting_row& row : SettingTable()) {
    knownSections.insert(row.mSection);
    knownKeys.insert(QualifiedKey(row));
  }
  for (const auto& [section, keys] : aTree) {
    if (!knownSections.contains(section)) {
      return Fail(settings_error::UnknownSection,
                  "Unknown section [" + section +
                    "]; allowed are [host], [entry], [control] and "
                    "[platform].");
    }
    for (const auto& [key, value] : keys) {
      std::string qualifiedKey = QualifiedKey(section, key);
      if (!knownKeys.contains(qualifiedKey)) {
        return Fail(settings_error::UnknownKey,
                    "Unknown setting " + qualifiedKey + ".");
      }
    }
  }
  return boost::outcome_v2::success();
}

result<void, settings_error>
CheckConsistency(const settings& aSettings)
{
  auto fail = [](std::string aDetail) {
    return Fail(settings_error::BadValue, std::move(aDetail));
  };
  if (!aSettings.mPlatformSeeds.empty() && !aSettings.IsOnPlatform()) {
    return Fail(settings_error::MissingKey,
                "[platform] control_port must be set with seeds.");
  }
  if (!aSettings.IsEntry() && !aSettings.IsControl()) {
    return Fail(settings_error::MissingKey,
                "The file must have a section [entry] or [control].");
  }
  if (aSettings.IsEntry() &&
      aSettings.mEntryMarkIntervalMs * 3 > aSettings.mEntryLeaseMs) {
    return fail("[entry] lease_ms must be at least three times mark_ms.");
  }
  if (aSettings.IsEntry() &&
      aSettings.mEntryRenewIntervalMs * 2 > aSettings.mEntryServerLeaseMs) {
    return fail("[entry] lapse_ms must be at least twice renew_ms.");
  }
  if (aSettings.IsEntry() && aSettings.mEntryRevokesStrictly &&
      aSettings.mEntryMarkIntervalMs * 5 > aSettings.mEntryRevocationMs) {
    return fail("[entry] revoke_ms must be at least five times mark_ms.");
  }
  if (aSettings.IsEntry() && aSettings.mEntryControlHosts.empty() &&
      !aSettings.IsOnPlatform()) {
    return Fail(settings_error::MissingKey,
                "[entry] control_hosts or [platform] control_port must be "
                "set.");
  }
  if (!aSettings.IsControl()) {
    return boost::outcome_v2::success();
  }
  if (aSettings.mControlElectionMs < 3 * aSettings.mControlHeartbeatMs) {
    return fail(
      "[control] election_ms must be at least three times heartbeat_ms.");
  }
  if (aSettings.IsOnPlatform()) {
    return boost::outcome_v2::success();
  }
  if (!aSettings.mControlMembers.contains(aSettings.mHostId)) {
    return fail("[control] members does not name this host, \"" +
                aSettings.mHostId + "\".");
  }
  std::size_t members = aSettings.mControlMembers.size();
  if (members > 9 || members % 2 == 0) {
    return fail("[control] members names " + std::to_string(members) +
                " hosts; allowed are 1, 3, 5, 7 or 9.");
  }
  return boost::outcome_v2::success();
}

/** Parses the text of an INI file. Values that can't be used are errors, or are
 * replaced and added to `aRepairs` if that is given. */
result<settings, settings_error>
Parse(const std::string& aText, std::vector<setting_repair>* aRepairs)
{
  tree parsed;
  std::istringstream text(aText);
  try {
    boost::property_tree::read_ini(text, parsed);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return Fail(settings_error::Malformed,
                "Line " + std::to_string(error.line()) + ": " +
                  error.message() + ".");
  }
  auto checked = CheckSectionsAndKeys(parsed);
  if (!checked) {
    return checked.error();
  }
  settings loaded;
  for (const setting_row& row : SettingTable()) {
    auto section = parsed.find(row.mSection);
    if (section == parsed.not_found()) {
      if (row.mSection == "host") {
        return Fail(settings_error::MissingKey, "Section [host] is missing.");
      }
      continue;
    }
    auto value = section->second.find(row.mKey);
    if (value == section->second.not_found()) {
      if (row.mIsRequired) {
        return Fail(settings_error::MissingKey,
                    QualifiedKey(row) + " is missing.");
      }
      continue;
    }
    std::string valueText = value->second.data();
    if (valueText.empty() && !row.mIsRequired) {
      continue;
    }
    auto set = std::visit(value_setter{ loaded, row, valueText }, row.mMember);
    if (set) {
      continue;
    }
    std::optional<std::string> used;
    if (aRepairs != nullptr) {
      used = std::visit(value_repairer{ loaded, row, valueText }, row.mMember);
    }
    if (!used) {
      return set.error();
    }
    aRepairs->push_back({ QualifiedKey(row), valueText, std::move(*used) });
  }
  auto consistent = CheckConsistency(loaded);
  if (!consistent) {
    return consistent.error();
  }
  return loaded;
}

/** Parses the text of a file; errors name the file. */
result<settings, settings_error>
Load(const std::string& aPath, std::vector<setting_repair>* aRepairs)
{
  std::ifstream file(aPath);
  if (!file) {
    return Fail(settings_error::CannotRead,
                "Can't open " + aPath + " for reading.");
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto loaded = Parse(text.str(), aRepairs);
  if (!loaded) {
    return Fail(loaded.error().mCode, aPath + ": " + loaded.error().mDetail);
  }
  return loaded;
}

std::string
DefaultText(const setting_row& aRow)
{
  static const settings sDefaults;
  if (aRow.mIsRequired) {
    return "needed";
  }
  if (const auto* fraction = std::get_if<double settings::*>(&aRow.mMember)) {
    std::ostringstream text;
    text << sDefaults.*(*fraction);
    return text.str();
  }
  if (const auto* isOn = std::get_if<bool settings::*>(&aRow.mMember)) {
    return sDefaults.*(*isOn) ? "yes" : "no";
  }
  const auto* number = std::get_if<std::int64_t settings::*>(&aRow.mMember);
  return number != nullptr ? std::to_string(sDefaults.*(*number)) : "not set";
}

}

result<settings, settings_error>
ParseSettings(const std::string& aText)
{
  return Parse(aText, nullptr);
}

result<settings, settings_error>
LoadSettings(const std::string& aPath)
{
  return Load(aPath, nullptr);
}

result<repaired_settings, settings_error>
RepairSettings(const std::string& aText)
{
  repaired_settings repaired;
  auto parsed = Parse(aText, &repaired.mRepairs);
  if (!parsed) {
    return parsed.error();
  }
  repaired.mSettings = std::move(parsed.value());
  return repaired;
}

result<repaired_settings, settings_error>
LoadRepairedSettings(const std::string& aPath)
{
  repaired_settings repaired;
  auto loaded = Load(aPath, &repaired.mRepairs);
  if (!loaded) {
    return loaded.error();
  }
  repaired.mSettings = std::move(loaded.value());
  return repaired;
}

std::string
SettingsHelp()
{
  std::ostringstream help;
  std::string section;
  for (const setting_row& row : SettingTable()) {
    if (row.mSection != section) {
      section = row.mSection;
      help << "\n[" << section << "]\n";
    }
    help << "  " << std::left << std::setw(20) << row.mKey << AllowedRange(row)
         << ", " << DefaultText(row) << "\n      " << row.mHelp << "\n";
  }
  return help.str();
}

std::string
SettingsMarkdown()
{
  std::ostringstream page;
  page << "# Settings\n\nGenerated from the table in "
          "`settings/setting_table.cpp` by `hibiscusspool check "
          "--page`.\n";
  std::string section;
  for (const setting_row& row : SettingTable()) {
    if (row.mSection != section) {
      section = row.mSection;
      page << "\n## [" << section
           << "]\n\n| key | allowed | default | meaning |\n"
              "|---|---|---|---|\n";
    }
    page << "| `" << row.mKey << "` | " << AllowedRange(row) << " | "
         << DefaultText(row) << " | " << row.mHelp << " |\n";
  }
  return page.str();
}

}
