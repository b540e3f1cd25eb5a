#include "controllers/control_group.h"

#include <atomic>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

/** Longer than an idle group takes to react, but far below the hour by which a
 * frozen clock defers retries. */
constexpr std::chrono::seconds kReactionTimeout{ 5 };

const std::string kUndecodable = "undecodable";

/** A group on its own thread, with hooks that record the messages it sends. */
struct running_group
{
  std::vector<raft_peer> mVoters;
  std::function<steady_time()> mNow;
  std::atomic<bool> mIsDiskFull{ false };
  std::atomic<int> mFailedWrites{ 0 };
  std::mutex mLock;
  std::condition_variable mSent;
  std::vector<raft_message> mMessages;
  /** The log after each stored snapshot. */
  std::vector<std::deque<raft_entry>> mStoredTails;
  std::unique_ptr<control_group> mGroup;
  std::thread mThread;
  std::atomic<bool> mHasEndedNormally{ false };

  running_group(const std::vector<std::string>& aVoters,
                std::function<steady_time()> aNow)
    : mNow(std::move(aNow))
  {
    for (const std::string& name : aVoters) {
      mVoters.push_back({ { host_id{ name }, disk_id{ name } }, true });
    }
    control_group_config config;
    config.mRaft.mSelf = mVoters.front().mId;
    config.mRaft.mHeartbeatInterval = milliseconds(10);
    config.mRaft.mElectionTimeout = milliseconds(40);
    raft_persistent_state persisted;
    persisted.mSnapshot.mPeers = mVoters;
    mGroup = std::move(
      control_group::Create(std::move(config), Hooks(), persisted, mNow())
        .value());
    mThread = std::thread([this] {
      mGroup->Run();
      mHasEndedNormally = true;
    });
  }

  ~running_group()
  {
    mGroup->Stop();
    mThread.join();
  }

  control_group_hooks Hooks()
  {
    control_group_hooks hooks;
    hooks.mSteadyNow = mNow;
    hooks.mWallNow = [] { return wall_ms{}; };
    hooks.mEncodeCommand = [](const change_command& /*aCommand*/) {
      return std::string("command");
    };
    hooks.mDecodeCommand = [](const std::string& /*aBytes*/) {
      return std::optional<change_command>(change_command{});
    };
    hooks.mEncodeState = [](const control_state& /*aState*/) {
      return std::string();
    };
    hooks.mDecodeState = [](const std::string& aBytes) {
      return aBytes == kUndecodable
               ? std::nullopt
               : std::optional<control_state>(control_state({}));
    };
    hooks.mPersist = [this](const raft_actions& aActions) {
      bool isWrite = aActions.mHardState || !aActions.mAppend.empty();
      if (isWrite && mIsDiskFull) {
        ++mFailedWrites;
        return false;
      }
      return true;
    };
    hooks.mStoreSnapshot = [this](const raft_snapshot& /*aSnapshot*/,
                                  const raft_hard_state& /*aHardState*/,
                                  const std::deque<raft_entry>& aTail) {
      std::lock_guard guard(mLock);
      mStoredTails.push_back(aTail);
      mSent.notify_all();
      return true;
    };
    hooks.mSend = [this](std::vector<raft_message> aMessages) {
      std::lock_guard guard(mLock);
      for (raft_message& message : aMessages) {
        mMessages.push_back(std::move(message));
      }
      mSent.notify_all();
    };
    hooks.mPublish = [](log_index /*aIndex*/,
                        const std::vector<record_change>& /*aChanges*/) {};
    hooks.mOnStateReplaced = [](log_index /*aIndex*/) {};
    hooks.mOnRoleChanged = [] {};
    return hooks;
  }

  /** Waits until a message of this kind has been sent. */
  bool WaitForMessage(raft_message_kind aKind)
  {
    std::unique_lock guard(mLock);
    return mSent.wait_for(guard, kReactionTimeout, [&] {
      return std::any_of(
        mMessages.begin(), mMessages.end(), [&](const raft_message& aMessage) {
          return aMessage.mKind == aKind;
        });
    });
  }

  propose_status Propose()
  {
    auto promise = std::make_shared<std::promise<propose_status>>();
    mGroup->Propose({}, [promise](const propose_result& aResult) {
      promise->set_value(aResult.mStatus);
    });
    auto future = promise->get_future();
    CHECK(future.wait_for(kReactionTimeout) == std::future_status::ready);
    return future.get();
  }

  /** Polls until the condition holds or `kReactionTimeout` has passed. */
  static bool WaitUntil(const std::function<bool()>& aCondition)
  {
    auto end = std::chrono::steady_clock::now() + kReactionTimeout;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    return aCondition();
  }
};

}

TEST_GROUP(control_group){};

TEST(control_group, PendingReadIsSentOnceLeaderIsKnown)
{
  // The clock is frozen, so that no retry becomes due by time.
  steady_time now = std::chrono::steady_clock::now() + std::chrono::hours(1);
  running_group group({ "a", "b", "c" }, [now] { return now; });
  std::atomic<bool> isConfirmed{ false };
  group.mGroup->ReadBarrier([&](log_index /*aIndex*/) { isConfirmed = true; });
  raft_message append;
  append.mKind = raft_message_kind::Append;
  append.mFrom = group.mVoters[1].mId;
  append.mTo = group.mVoters[0].mId;
  append.mTerm = 1;
  group.mGroup->Receive({ append });
  CHECK(group.WaitForMessage(raft_message_kind::ReadIndex));
  CHECK(!isConfirmed);
}

TEST(control_group, FullDiskStallsGroupWithoutEndingIt)
{
  running_group group({ "a" }, [] { return std::chrono::steady_clock::now(); });
  CHECK(running_group::WaitUntil(
    [&] { return group.mGroup->Status().mRole == raft_role::Leader; }));
  group.mIsDiskFull = true;
  group.mGroup->Propose({}, [](const propose_result& /*aResult*/) {});
  CHECK(running_group::WaitUntil([&] { return group.mFailedWrites >= 2; }));
  // While stalled the member must not attract proposals it can't persist.
  CHECK(!group.mGroup->KnowsLeader());
  CHECK(group.Propose() == propose_status::Busy);
  group.mIsDiskFull = false;
  CHECK(running_group::WaitUntil([&] { return group.mGroup->KnowsLeader(); }));
  CHECK(group.Propose() == propose_status::Applied);
  CHECK(!group.mHasEndedNormally);
}

TEST(control_group, EntriesAfterAnInstalledSnapshotAreStoredWithIt)
{
  running_group group({ "a", "b", "c" }, [] { return steady_time{}; });
  raft_message append;
  append.mKind = raft_message_kind::Append;
  append.mFrom = group.mVoters[1].mId;
  append.mTo = group.mVoters[0].mId;
  append.mTerm = 2;
  for (log_index index = 1; index <= 5; ++index) {
    append.mEntries.push_back({ 2, index, "command", std::nullopt });
  }
  raft_message install = append;
  install.mKind = raft_message_kind::Snapshot;
  install.mEntries.clear();
  install.mSnapshot = raft_snapshot{ 3, 2, group.mVoters, "state" };
  group.mGroup->Receive({ append });
  CHECK(group.WaitForMessage(raft_message_kind::AppendReply));
  group.mGroup->Receive({ install });
  std::unique_lock guard(group.mLock);
  CHECK(group.mSent.wait_for(
    guard, kReactionTimeout, [&] { return !group.mStoredTails.empty(); }));
  // The member has acknowledged these, and the old log is dropped.
  LONGS_EQUAL(2, group.mStoredTails.front().size());
  LONGS_EQUAL(4, group.mStoredTails.front().front().mIndex);
}

TEST(control_group, ASnapshotThatCanNotBeDecodedDoesNotEndTheGroup)
{
  running_group group({ "a", "b", "c" }, [] { return steady_time{}; });
  raft_message install;
  install.mKind = raft_message_kind::Snapshot;
  install.mFrom = group.mVoters[1].mId;
  install.mTo = group.mVoters[0].mId;
  install.mTerm = 2;
  install.mSnapshot = raft_snapshot{ 3, 2, group.mVoters, kUndecodable };
  raft_message append = install;
  append.mKind = raft_message_kind::Append;
  append.mSnapshot.reset();
  append.mEntries.push_back({ 2, 1, "command", std::nullopt });
  group.mGroup->Receive({ install });
  group.mGroup->Receive({ append });
  CHECK(group.WaitForMessage(raft_message_kind::AppendReply));
  LONGS_EQUAL(0, group.mGroup->Status().mApplied);
  CHECK(group.mStoredTails.empty());
}
