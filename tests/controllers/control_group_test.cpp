#include "controllers/control_group.h"

#include <atomic>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

/** Longer than a group that is idle takes to react, far below a retry. */
constexpr std::chrono::seconds kSoon{ 5 };

/** A group on its own thread, with hooks that keep what it sends. */
struct running_group
{
  std::vector<raft_peer> mVoters;
  std::function<steady_time()> mNow;
  std::atomic<bool> mIsDiskFull{ false };
  std::atomic<int> mFailedWrites{ 0 };
  std::mutex mLock;
  std::condition_variable mSent;
  std::vector<raft_message> mMessages;
  std::unique_ptr<control_group> mGroup;
  std::thread mThread;
  std::atomic<bool> mHasEndedWell{ false };

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
    raft_persistent_state disk;
    disk.mSnapshot.mPeers = mVoters;
    mGroup = std::move(
      control_group::Create(std::move(config), Hooks(), disk, mNow()).value());
    mThread =
      std::thread([this] { mHasEndedWell = mGroup->Run().has_value(); });
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
    hooks.mDecodeState = [](const std::string& /*aBytes*/) {
      return std::optional<control_state>(control_state({}));
    };
    hooks.mPersist = [this](const raft_actions& aActions) {
      bool writes = aActions.mHardState || !aActions.mAppend.empty();
      if (writes && mIsDiskFull) {
        ++mFailedWrites;
        return false;
      }
      return true;
    };
    hooks.mStoreSnapshot = [](const raft_snapshot& /*aSnapshot*/,
                              const raft_hard_state& /*aHardState*/,
                              const std::deque<raft_entry>& /*aTail*/) {
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
                        const std::vector<record_change>& /*aFacts*/) {};
    hooks.mOnStateReplaced = [](log_index /*aIndex*/) {};
    hooks.mOnRoleChanged = [] {};
    return hooks;
  }

  /** Waits for a message of this kind. */
  bool HasSent(raft_message_kind aKind)
  {
    std::unique_lock guard(mLock);
    return mSent.wait_for(guard, kSoon, [&] {
      return std::any_of(
        mMessages.begin(), mMessages.end(), [&](const raft_message& aMessage) {
          return aMessage.mKind == aKind;
        });
    });
  }

  propose_status Propose()
  {
    auto judged = std::make_shared<std::promise<propose_status>>();
    mGroup->Propose({}, [judged](const propose_result& aAnswer) {
      judged->set_value(aAnswer.mStatus);
    });
    auto answer = judged->get_future();
    CHECK(answer.wait_for(kSoon) == std::future_status::ready);
    return answer.get();
  }

  /** Waits until the condition holds. */
  static bool Becomes(const std::function<bool()>& aHolds)
  {
    auto end = std::chrono::steady_clock::now() + kSoon;
    while (!aHolds() && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(2));
    }
    return aHolds();
  }
};

}

TEST_GROUP(control_group){};

TEST(control_group, AReadThatWaitsIsAskedForOnceALeaderIsKnown)
{
  // The clock stands still, so that no retry by time comes due.
  steady_time now = std::chrono::steady_clock::now() + std::chrono::hours(1);
  running_group member({ "a", "b", "c" }, [now] { return now; });
  std::atomic<bool> isConfirmed{ false };
  member.mGroup->ReadBarrier([&](log_index /*aIndex*/) { isConfirmed = true; });
  raft_message beat;
  beat.mKind = raft_message_kind::Append;
  beat.mFrom = member.mVoters[1].mId;
  beat.mTo = member.mVoters[0].mId;
  beat.mTerm = 1;
  member.mGroup->Receive({ beat });
  CHECK(member.HasSent(raft_message_kind::ReadIndex));
  CHECK(!isConfirmed);
}

TEST(control_group, AFullDiskHoldsTheGroupUpAndDoesNotEndIt)
{
  running_group member({ "a" },
                       [] { return std::chrono::steady_clock::now(); });
  CHECK(running_group::Becomes(
    [&] { return member.mGroup->Status().mRole == raft_role::Leader; }));
  member.mIsDiskFull = true;
  member.mGroup->Propose({}, [](const propose_result& /*aAnswer*/) {});
  CHECK(running_group::Becomes([&] { return member.mFailedWrites >= 2; }));
  // Nobody is to send it work that it can't write down.
  CHECK(!member.mGroup->KnowsLeader());
  CHECK(member.Propose() == propose_status::Busy);
  member.mIsDiskFull = false;
  CHECK(running_group::Becomes([&] { return member.mGroup->KnowsLeader(); }));
  CHECK(member.Propose() == propose_status::Applied);
  CHECK(!member.mHasEndedWell);
}
