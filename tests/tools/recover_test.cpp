#include "decisions/group/raft_recovery.h"
#include "drivers/raft_storage.h"
#include "tools/recover.h"

#include <filesystem>
#include <fstream>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

raft_peer
Voter(const std::string& aHost, const std::string& aDisk)
{
  return { { { aHost }, { aDisk } }, true };
}

}

/** A stopped control host, one of three, with three entries in its log. */
TEST_GROUP(recover)
{
  std::filesystem::path mFolder;
  std::filesystem::path mLog;
  std::string mSettings;

  void setup() override
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "recover-XXXXXX").string();
    mFolder = mkdtemp(pattern.data());
    mLog = mFolder / "data" / "log";
    mSettings = mFolder / "c1.ini";
    std::ofstream(mSettings)
      << "[host]\nid=c1\nfailure_domain=a\n[control]\n"
         "address=127.0.0.1:7001\noperators_address=127.0.0.1:7011\n"
         "members=c1=127.0.0.1:7001,c2=127.0.0.1:7002,c3=127.0.0.1:7003\n"
      << "data_folder=" << (mFolder / "data").string() << "\n";
  }
  void teardown() override
  {
    std::filesystem::remove_all(mFolder);
  }

  void WriteLog() const
  {
    std::filesystem::create_directories(mLog);
    auto storage = raft_storage::Create(mLog, "d1");
    raft_actions actions;
    actions.mHardState = raft_hard_state{ 4, {} };
    actions.mAppend.push_back(
      { 1,
        1,
        "",
        { { Voter("c1", "d1"), Voter("c2", "d2"), Voter("c3", "d3") } } });
    actions.mAppend.push_back({ 3, 2, "one", std::nullopt });
    actions.mAppend.push_back({ 3, 3, "two", std::nullopt });
    CHECK(storage.value().Persist(actions).has_value());
  }

  [[nodiscard]] int Run(const std::vector<std::string>& aMore) const
  {
    std::vector<std::string> arguments{ "--settings", mSettings };
    arguments.insert(arguments.end(), aMore.begin(), aMore.end());
    return RunRecover(arguments);
  }
};

TEST(recover, AConfirmedHostCommitsAllItHoldsAndGoesOnAlone)
{
  WriteLog();
  LONGS_EQUAL(0, Run({ "--confirm" }));
  auto storage = raft_storage::Create(mLog, "unused");
  CHECK(storage.value().DiskId().mValue != "d1");
  raft_config config;
  config.mSelf = { host_id{ "c1" }, storage.value().DiskId() };
  steady_time now{ std::chrono::hours(1) };
  auto node = raft_node::Create(config, storage.value().TakePersisted(), now);
  now += std::chrono::seconds(5);
  node.value().Tick(now);
  CHECK(node.value().Role() == raft_role::Leader);
  CHECK(node.value().Propose("three", now).has_value());
  auto committed = node.value().TakeActions().mCommitted;
  std::vector<std::string> payloads;
  for (const raft_entry& entry : committed) {
    if (!entry.mPayload.empty()) {
      payloads.push_back(entry.mPayload);
    }
  }
  CHECK((std::vector<std::string>{ "one", "two", "three" }) == payloads);
  LONGS_EQUAL(1, node.value().Peers().size());
}

TEST(recover, NothingChangesWithoutConfirmation)
{
  WriteLog();
  LONGS_EQUAL(0, Run({}));
  auto storage = raft_storage::Create(mLog, "unused");
  STRCMP_EQUAL("d1", storage.value().DiskId().mValue.c_str());
  raft_log_summary summary = SummarizeLog(storage.value().TakePersisted());
  LONGS_EQUAL(3, summary.mLastIndex);
  LONGS_EQUAL(3, summary.mLastTerm);
  LONGS_EQUAL(3, summary.mMembers.size());
}

TEST(recover, AFolderInUseOrWithoutALogIsRefused)
{
  LONGS_EQUAL(1, Run({ "--confirm" }));
  CHECK(!std::filesystem::exists(mLog));
  WriteLog();
  auto running = raft_storage::Create(mLog, "unused");
  LONGS_EQUAL(1, Run({ "--confirm" }));
}
