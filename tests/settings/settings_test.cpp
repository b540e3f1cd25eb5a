#include "settings/settings.h"

#include <set>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const std::string kHostSection = "[host]\nid=e1\nfailure_domain=a\n";
const std::string kEntrySection = "[entry]\ncallers_address=127.0.0.1:1\n"
                                  "announce_address=127.0.0.1:2\n"
                                  "control_hosts=c1=127.0.0.1:3\n";

void
CheckFails(const std::string& aText,
           settings_error aCode,
           const std::string& aDetail)
{
  auto loaded = ParseSettings(aText);
  CHECK(!loaded.has_value());
  STRCMP_EQUAL(std::string(NameOf(aCode)).c_str(),
               std::string(NameOf(loaded.error().mCode)).c_str());
  STRCMP_CONTAINS(aDetail.c_str(), loaded.error().mDetail.c_str());
}

}

TEST_GROUP(settings){};

TEST(settings, AppliesDefaultsToAValidFile)
{
  auto loaded = ParseSettings(kHostSection + kEntrySection + "lease_ms=3000\n");
  CHECK(loaded.has_value());
  LONGS_EQUAL(3000, loaded.value().mEntryLeaseMs);
  LONGS_EQUAL(500, loaded.value().mEntryMarkIntervalMs);
  CHECK(loaded.value().IsEntry());
  CHECK(!loaded.value().IsControl());
}

TEST(settings, ErrorsNameKeyValueAndRange)
{
  CheckFails(kHostSection + kEntrySection + "lease_ms=9000\n",
             settings_error::BadValue,
             "[entry] lease_ms is \"9000\"; allowed is 1000 to 8000 ms.");
  CheckFails(kHostSection + kEntrySection + "lease_ms=4s\n",
             settings_error::BadValue,
             "\"4s\"");
  CheckFails(kHostSection + kEntrySection + "leese_ms=9000\n",
             settings_error::UnknownKey,
             "[entry] leese_ms");
  CheckFails(
    kHostSection + "[entri]\nx=1\n", settings_error::UnknownSection, "[entri]");
  CheckFails(kHostSection + kEntrySection + "lease_ms=3000\nlease_ms=3000\n",
             settings_error::Malformed,
             "Line 9");
  CheckFails("[host]\nid=e1\n" + kEntrySection,
             settings_error::MissingKey,
             "[host] failure_domain");
  CheckFails(kHostSection, settings_error::MissingKey, "[entry] or [control]");
  CheckFails(kHostSection + "[entry]\ncallers_address=host.example:1\n",
             settings_error::BadValue,
             "callers_address");
}

// Guards against processes that end at each start because of a bound that is
// not a whole number or out of range.
TEST(settings, ValuesThatDoNotFitAreReplacedForAStart)
{
  const std::string onPlatform =
    "[platform]\ncontrol_port=7\nseeds=127.0.0.1:9,x,127.0.0.1:10\n";
  auto loaded =
    RepairSettings(kHostSection + kEntrySection +
                   "leaving_grace_ms=2500.9\nextra_window_s=6.0\n"
                   "extra_ratio=0.25\nlease_ms=9000000000000000000000\n"
                   "threads=-3\ncanary=perhaps\nhedge_percent=none\n" +
                   onPlatform + "grace_s=6.5\n");
  CHECK(loaded.has_value());
  const settings& used = loaded.value().mSettings;
  LONGS_EQUAL(2500, used.mEntryLeavingGraceMs);
  LONGS_EQUAL(6, used.mEntryExtraWindowS);
  DOUBLES_EQUAL(0.25, used.mEntryExtraRatio, 0);
  LONGS_EQUAL(8000, used.mEntryLeaseMs);
  LONGS_EQUAL(1, used.mEntryThreads);
  LONGS_EQUAL(6, used.mPlatformGraceS);
  LONGS_EQUAL(settings{}.mEntryHedgeBudgetPercent,
              used.mEntryHedgeBudgetPercent);
  CHECK(used.mEntryCanary);
  LONGS_EQUAL(2, used.mPlatformSeeds.size());
  LONGS_EQUAL(8, loaded.value().mRepairs.size());
  auto withoutDomain =
    RepairSettings("[host]\nid=e1\nfailure_domain=\n" + kEntrySection);
  STRCMP_EQUAL("unknown",
               withoutDomain.value().mSettings.mHostFailureDomain.c_str());
  // What nothing can replace is still an error.
  auto withoutAddress = RepairSettings(
    kHostSection + "[entry]\ncallers_address=x\nannounce_address=y\n");
  CHECK(!withoutAddress.has_value());
}

TEST(settings, ChecksSettingsAgainstEachOther)
{
  CheckFails(kHostSection + kEntrySection + "lease_ms=1000\nmark_ms=900\n",
             settings_error::BadValue,
             "three times mark_ms");
  // Marks must confirm the state well within 0.6 of the revocation time.
  std::string strict = kHostSection + kEntrySection + "strict_revoke=yes\n";
  CheckFails(strict + "mark_ms=300\nrevoke_ms=1499\n",
             settings_error::BadValue,
             "five times mark_ms");
  CHECK(ParseSettings(strict + "mark_ms=300\nrevoke_ms=1500\n").has_value());
  std::string control = "[host]\nid=c1\nfailure_domain=a\n[control]\n"
                        "address=127.0.0.1:3\n"
                        "operators_address=127.0.0.1:4\ndata_folder=/d\n";
  CheckFails(control + "members=c1=127.0.0.1:3,c2=127.0.0.1:5\n",
             settings_error::BadValue,
             "allowed are 1, 3, 5, 7 or 9");
  CheckFails(control + "members=c2=127.0.0.1:3\n",
             settings_error::BadValue,
             "does not name this host");
  CheckFails(control + "members=c1=127.0.0.1:3,c1=127.0.0.1:4,c2=1.1.1.1:1\n",
             settings_error::BadValue,
             "names host \"c1\" twice");
}

TEST(settings, TableKeysAreUniqueAndDefaultsAreInRange)
{
  settings defaults;
  std::set<std::string> keys;
  for (const setting_row& row : SettingTable()) {
    CHECK(keys.insert(row.mSection + "." + row.mKey).second);
    const auto* number = std::get_if<std::int64_t settings::*>(&row.mMember);
    if (number != nullptr) {
      CHECK(defaults.*(*number) >= row.mMinValue);
      CHECK(defaults.*(*number) <= row.mMaxValue);
    }
  }
}
