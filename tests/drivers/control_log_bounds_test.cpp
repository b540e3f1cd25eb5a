#include "controllers/control_group.h"
#include "drivers/raft_storage.h"
#include "tests/drivers/file_size_limit.h"
#include "tests/drivers/memory_peak.h"

#include <algorithm>
#include <charconv>
#include <future>
#include <thread>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

constexpr std::size_t kMebibyte = 1 << 20;
constexpr std::chrono::seconds kReactionTimeout{ 20 };

/** The size of a command that changes a large configuration. */
constexpr std::size_t kLargeCommand = kMebibyte;

raft_peer
Self()
{
  return { { host_id{ "c1" }, disk_id{ "disk" } }, true };
}

/** A group of one control host with its files. */
class control_host
{
  raft_storage mStorage;
  std::unique_ptr<control_group> mGroup;
  std::thread mThread;

  control_group_hooks Hooks()
  {
    control_group_hooks hooks;
    hooks.mSteadyNow = [] { return std::chrono::steady_clock::now(); };
    hooks.mWallNow = [] { return wall_ms{}; };
    hooks.mEncodeCommand = [](const change_command& /*aCommand*/) {
      return std::string(kLargeCommand, 'c');
    };
    hooks.mDecodeCommand = [](const std::string& /*aBytes*/) {
      return std::optional<change_command>(change_command{});
    };
    hooks.mEncodeState = [](const control_state& aState) {
      return std::to_string(aState.Index());
    };
    hooks.mDecodeState = [](const std::string& aBytes) {
      control_state state({});
      log_index index = 0;
      std::from_chars(aBytes.data(), aBytes.data() + aBytes.size(), index);
      state.Advance(index);
      return std::optional(std::move(state));
    };
    hooks.mPersist = [this](const raft_actions& aActions) {
      return mStorage.Persist(aActions).has_value();
    };
    hooks.mStoreSnapshot = [this](const raft_snapshot& aSnapshot,
                                  const raft_hard_state& aHardState,
                                  const std::deque<raft_entry>& aTail) {
      return mStorage.StoreSnapshot(aSnapshot, aHardState, aTail).has_value();
    };
    hooks.mSend = [](const std::vector<raft_message>& /*aMessages*/) {};
    hooks.mPublish = [](log_index /*aIndex*/,
                        const std::vector<record_change>& /*aChanges*/) {};
    hooks.mOnStateReplaced = [](log_index /*aIndex*/) {};
    hooks.mOnRoleChanged = [] {};
    return hooks;
  }

public:
  explicit control_host(const std::filesystem::path& aFolder)
    : mStorage(std::move(raft_storage::Create(aFolder, "disk").value()))
  {
    control_group_config config;
    config.mRaft.mSelf = Self().mId;
    config.mRaft.mHeartbeatInterval = milliseconds(10);
    config.mRaft.mElectionTimeout = milliseconds(40);
    raft_persistent_state persisted = mStorage.TakePersisted();
    if (persisted.mSnapshot.mIndex == 0) {
      persisted.mSnapshot.mPeers = { Self() };
    }
    mGroup = std::move(
      control_group::Create(
        config, Hooks(), std::move(persisted), std::chrono::steady_clock::now())
        .value());
    mThread = std::thread([this] { mGroup->Run(); });
  }
  control_host(const control_host&) = delete;
  control_host& operator=(const control_host&) = delete;
  ~control_host()
  {
    mGroup->Stop();
    mThread.join();
  }

  [[nodiscard]] bool AwaitLeader() const
  {
    auto end = std::chrono::steady_clock::now() + kReactionTimeout;
    while (!mGroup->KnowsLeader() && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    return mGroup->KnowsLeader();
  }

  /** True if a large command was applied. */
  bool ProposeLarge()
  {
    auto promise = std::make_shared<std::promise<propose_status>>();
    mGroup->Propose({}, [promise](const propose_result& aResult) {
      promise->set_value(aResult.mStatus);
    });
    auto future = promise->get_future();
    return future.wait_for(kReactionTimeout) == std::future_status::ready &&
           future.get() == propose_status::Applied;
  }

  [[nodiscard]] log_index Applied() const { return mGroup->Status().mApplied; }
};

}

TEST_GROUP(control_log_bounds)
{
  std::filesystem::path mFolder;

  void setup() override
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "log-bounds-XXXXXX").string();
    mFolder = mkdtemp(pattern.data());
  }
  void teardown() override
  {
    std::filesystem::remove_all(mFolder);
  }

  /** Writes a log of this many large entries, without a snapshot. */
  void WriteLog(log_index aEntries) const
  {
    auto storage = raft_storage::Create(mFolder, "disk");
    for (log_index index = 1; index <= aEntries; ++index) {
      raft_actions actions;
      actions.mHardState = raft_hard_state{ 1, {} };
      actions.mAppend.push_back(
        { 1, index, std::string(kLargeCommand, 'c'), std::nullopt });
      CHECK(storage.value().Persist(actions).has_value());
    }
  }
};

// Guards against a control group that stops for good: its log was bounded by
// entries, so that large changes filled the disks of all control hosts.
TEST(control_log_bounds, LargeChangesDoNotFillTheDisk)
{
  constexpr int kChanges = 96;
  {
    file_size_limit limit(64 * kMebibyte);
    control_host host(mFolder);
    CHECK(host.AwaitLeader());
    for (int change = 0; change < kChanges; ++change) {
      CHECK(host.ProposeLarge());
    }
  }
  std::uintmax_t bytes = 0;
  for (const auto& file : std::filesystem::directory_iterator(mFolder)) {
    bytes += file.file_size();
  }
  CHECK(bytes <= 40 * kMebibyte);
}

// Guards against a control group that stops for good: a log that filled the
// disk also kept the snapshot from being taken that would have freed it.
TEST(control_log_bounds, ALogThatFilledTheDiskGivesWayToASnapshot)
{
  WriteLog(5);
  // Neither the old segment nor a new one can hold what is left of the log, but
  // there is room for a snapshot.
  file_size_limit limit(kMebibyte / 2);
  control_host host(mFolder);
  auto end = std::chrono::steady_clock::now() + kReactionTimeout;
  std::filesystem::path snapshot;
  while (snapshot.empty() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(10));
    host.ProposeLarge();
    for (const auto& file : std::filesystem::directory_iterator(mFolder)) {
      if (file.path().filename().string().starts_with("snapshot-")) {
        snapshot = file.path();
      }
    }
  }
  CHECK(!snapshot.empty());
}

// Guards against control hosts that need more memory at each start than they
// have: the whole log was read, decoded and copied at once.
TEST(control_log_bounds, AStartHoldsTheLogInMemoryOnce)
{
  constexpr log_index kEntries = 64;
  WriteLog(kEntries);
  std::size_t grown = PeakGrowth([&] {
    auto storage = raft_storage::Create(mFolder, "disk");
    raft_config config;
    config.mSelf = Self().mId;
    auto node = raft_node::Create(config,
                                  storage.value().TakePersisted(),
                                  std::chrono::steady_clock::now());
    if (node.value().LastIndex() != kEntries) {
      _exit(1);
    }
  });
  CHECK(grown < kEntries * kLargeCommand * 3 / 2);
}

// Guards against control hosts that need more memory at each start than they
// have: all entries of the log were copied again to be applied.
TEST(control_log_bounds, ALargeLogIsAppliedInParts)
{
  constexpr log_index kEntries = 24;
  raft_config config;
  config.mSelf = Self().mId;
  config.mElectionTimeout = milliseconds(100);
  raft_persistent_state persisted;
  persisted.mSnapshot.mPeers = { Self() };
  for (log_index index = 1; index <= kEntries; ++index) {
    persisted.mEntries.push_back(
      { 1, index, std::string(kLargeCommand, 'c'), std::nullopt });
  }
  persisted.mHardState.mTerm = 1;
  steady_time now{ std::chrono::hours(1) };
  auto node = raft_node::Create(config, std::move(persisted), now);
  log_index delivered = 0;
  for (int round = 0; round < 1000 && delivered < kEntries; ++round) {
    now += milliseconds(10);
    node.value().Tick(now);
    raft_actions actions = node.value().TakeActions();
    std::size_t bytes = 0;
    for (const raft_entry& entry : actions.mCommitted) {
      bytes += entry.mPayload.size();
      LONGS_EQUAL(delivered + 1, entry.mIndex);
      delivered = entry.mIndex;
    }
    CHECK(bytes <= 8 * kMebibyte);
  }
  CHECK(delivered >= kEntries);
}
