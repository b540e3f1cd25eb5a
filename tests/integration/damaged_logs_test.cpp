#include "drivers/raft_storage.h"
#include "tests/integration/seeded_system.h"

#include <csignal>
#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace test;
namespace fs = std::filesystem;

namespace {

/** Three control hosts that share one acknowledged change, and are killed. */
class stopped_group
{
  seeded_system mHosts{ {} };

public:
  stopped_group()
  {
    mHosts.StartControlHosts(mHosts.AllSeeds(), true);
    CHECK(WaitFor([&] { return mHosts.Put(1, "one") == 200; }));
    for (int number : mHosts.FirstControlHosts()) {
      CHECK(WaitFor([&] { return Reads(number); }));
    }
    for (int number : mHosts.FirstControlHosts()) {
      mHosts.System().StopProcess(Name(number), SIGKILL);
    }
  }

  static std::string Name(int aNumber) { return "c" + std::to_string(aNumber); }
  seeded_system& Hosts() { return mHosts; }
  [[nodiscard]] fs::path Data(int aNumber)
  {
    return mHosts.System().Folder() / ("data-" + Name(aNumber));
  }

  /** Overwrites bytes in the middle of the log. */
  void DamageLog(int aNumber)
  {
    std::FILE* file =
      std::fopen((Data(aNumber) / "log" / "log-1").c_str(), "r+b");
    std::fseek(file, 40, SEEK_SET);
    std::fputs("XXXXXXXX", file);
    std::fclose(file);
  }

  /** Stores a snapshot whose state can't be decoded. */
  void StoreUndecodableSnapshot(int aNumber)
  {
    auto storage =
      hibiscusspool::raft_storage::Create(Data(aNumber) / "log", "unused");
    auto held = storage.value().TakePersisted();
    hibiscusspool::raft_snapshot snapshot;
    snapshot.mIndex = 1'000'000;
    snapshot.mTerm = held.mHardState.mTerm;
    snapshot.mState = "\xff\xff\xff";
    CHECK(
      storage.value().StoreSnapshot(snapshot, held.mHardState, {}).has_value());
  }

  [[nodiscard]] bool Reads(int aNumber)
  {
    return Call("GET", mHosts.Operators(aNumber), "/v1/templates/one")
             .mStatus == 200;
  }

  [[nodiscard]] bool IsLogKept(int aNumber)
  {
    return fs::exists(Data(aNumber) / "log-damaged" / "log-1");
  }

  /** The host takes part again, also in place of another one. */
  void CheckThatItTakesPart(int aNumber, int aOther)
  {
    CHECK(WaitFor([&] { return IsLogKept(aNumber); }));
    CHECK(WaitFor([&] { return Reads(aNumber); }));
    CHECK(WaitFor([&] { return HasNewVote(aNumber); }));
    mHosts.System().StopProcess(Name(aOther), SIGKILL);
    CHECK(WaitFor([&] { return mHosts.Put(aNumber, "two") == 200; }));
    LONGS_EQUAL(0, mHosts.System().StopProcess(Name(aNumber), SIGTERM));
  }

  [[nodiscard]] bool HasNewVote(int aNumber)
  {
    auto page = Call("GET", mHosts.Operators(aNumber), "/metrics").mBody;
    int leader = mHosts.Leader(mHosts.FirstControlHosts());
    if (leader == 0) {
      return false;
    }
    auto voters = Call("GET", mHosts.Operators(leader), "/metrics").mBody;
    return page.find("hibiscusspool_control_damaged_log_kept 1") !=
             std::string::npos &&
           voters.find("hibiscusspool_control_reachable_voters 3") !=
             std::string::npos &&
           voters.find("hibiscusspool_control_learners 0") != std::string::npos;
  }
};

}

TEST_GROUP(damaged_logs){};

TEST(damaged_logs, AControlHostWhoseLogIsDamagedJoinsItsGroupAgain)
{
  stopped_group group;
  group.DamageLog(3);
  group.Hosts().StartControlHosts(group.Hosts().AllSeeds(), false);
  group.CheckThatItTakesPart(3, 1);
}

TEST(damaged_logs, AControlHostWhoseSnapshotCanNotBeDecodedJoinsItsGroupAgain)
{
  stopped_group group;
  group.StoreUndecodableSnapshot(3);
  group.Hosts().StartControlHosts(group.Hosts().AllSeeds(), false);
  CHECK(WaitFor(
    [&] { return fs::exists(group.Data(3) / "log-damaged" / "disk-id"); }));
  CHECK(WaitFor([&] { return group.Reads(3); }));
  LONGS_EQUAL(0, group.Hosts().System().StopProcess("c3", SIGTERM));
}

TEST(damaged_logs, AGroupWhoseLogsAreAllDamagedWaitsAndFormsNoOther)
{
  stopped_group group;
  for (int number : { 1, 2, 3 }) {
    fs::copy(group.Data(number) / "log",
             group.Data(number) / "copy",
             fs::copy_options::recursive);
    group.DamageLog(number);
  }
  // As for a first start: the settings may still say so.
  group.Hosts().StartControlHosts(group.Hosts().AllSeeds(), true);
  for (int number : { 1, 2, 3 }) {
    CHECK(WaitFor([&] { return group.IsLogKept(number); }));
  }
  CHECK(!WaitFor(
    [&] { return group.Hosts().Put(1, "other") == 200 || group.Reads(2); },
    std::chrono::seconds(5)));
  // The operator's way back, here from a copy.
  for (int number : { 1, 2, 3 }) {
    LONGS_EQUAL(
      0,
      group.Hosts().System().StopProcess(stopped_group::Name(number), SIGTERM));
    fs::remove_all(group.Data(number) / "log");
    fs::remove_all(group.Data(number) / "log-damaged");
    fs::rename(group.Data(number) / "copy", group.Data(number) / "log");
  }
  group.Hosts().StartControlHosts(group.Hosts().AllSeeds(), false);
  CHECK(WaitFor([&] { return group.Reads(2); }));
}
