#include "controllers/control_group.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <future>
#include <map>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

/** Longer than an idle group takes to react, but far below the hour by which a
 * frozen clock defers retries. */
constexpr std::chrono::seconds kReactionTimeout{ 5 };

/** Few enough entries for snapshots during a full disk. */
constexpr log_index kSnapshotThreshold = 50;
const std::string kUndecodable = "undecodable";

/** A group on its own thread, with hooks that record the messages it sends. */
struct running_group
{
  std::vector<raft_peer> mVoters;
  std::function<steady_time()> mNow;
  std::atomic<bool> mIsDiskFull{ false };
  std::atomic<int> mFailedWrites{ 0 };
  /** Entries that were appended and written. */
  std::atomic<std::size_t> mWrittenEntries{ 0 };
  std::mutex mLock;
  std::condition_variable mSent;
  std::vector<raft_message> mMessages;
  /** The log after each stored snapshot. */
  std::vector<std::deque<raft_entry>> mStoredTails;
  std::unique_ptr<control_group> mGroup;
  std::thread mThread;
  std::atomic<bool> mHasEndedNormally{ false };

  /** Delivers sent messages; null if they are only recorded. */
  std::function<void(std::vector<raft_message>)> mDeliver;

  /** A member of the group of `aVoters`, which is the first of them. */
  running_group(const std::vector<std::string>& aVoters,
                std::function<steady_time()> aNow,
                std::function<void(std::vector<raft_message>)> aDeliver = {})
    : mNow(std::move(aNow))
    , mDeliver(std::move(aDeliver))
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
    config.mLog.mMaxEntries = kSnapshotThreshold;
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
    hooks.mEncodeState = [](const control_state& aState) {
      return std::to_string(aState.Index());
    };
    hooks.mDecodeState = [](const std::string& aBytes) {
      if (aBytes == kUndecodable) {
        return std::optional<control_state>();
      }
      control_state state({});
      log_index index = 0;
      std::from_chars(aBytes.data(), aBytes.data() + aBytes.size(), index);
      state.Advance(index);
      return std::optional(std::move(state));
    };
    hooks.mPersist = [this](const raft_actions& aActions) {
      bool isWrite = aActions.mHardState || !aActions.mAppend.empty();
      if (isWrite && mIsDiskFull) {
        ++mFailedWrites;
        return false;
      }
      mWrittenEntries += aActions.mAppend.size();
      return true;
    };
    hooks.mStoreSnapshot = [this](const raft_snapshot& /*aSnapshot*/,
                                  const raft_hard_state& /*aHardState*/,
                                  const std::deque<raft_entry>& aTail) {
      if (mIsDiskFull) {
        ++mFailedWrites;
        return false;
      }
      std::lock_guard guard(mLock);
      mStoredTails.push_back(aTail);
      mSent.notify_all();
      return true;
    };
    hooks.mSend = [this](std::vector<raft_message> aMessages) {
      if (mDeliver) {
        mDeliver(std::move(aMessages));
        return;
      }
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

/** Members of one group that deliver each other's messages. */
class connected_group
{
  struct proposal
  {
    std::size_t mMember = 0;
    std::future<propose_status> mStatus;
  };

  std::mutex mLock;
  /** Null before the member is running and after it has ended. */
  std::map<std::string, control_group*> mTargets;
  std::vector<std::unique_ptr<running_group>> mMembers;
  std::vector<proposal> mProposals;

  void Deliver(const std::vector<raft_message>& aMessages)
  {
    std::lock_guard guard(mLock);
    for (const raft_message& message : aMessages) {
      auto target = mTargets.find(message.mTo.mHost.mValue);
      if (target != mTargets.end()) {
        target->second->Receive({ message });
      }
    }
  }

public:
  explicit connected_group(const std::vector<std::string>& aNames)
  {
    std::vector<std::string> names = aNames;
    for (std::size_t member = 0; member < aNames.size(); ++member) {
      mMembers.push_back(std::make_unique<running_group>(
        names,
        [] { return std::chrono::steady_clock::now(); },
        [this](const std::vector<raft_message>& aMessages) {
          Deliver(aMessages);
        }));
      {
        std::lock_guard guard(mLock);
        mTargets[names.front()] = mMembers.back()->mGroup.get();
      }
      std::rotate(names.begin(), names.begin() + 1, names.end());
    }
  }

  ~connected_group()
  {
    std::lock_guard guard(mLock);
    mTargets.clear();
  }

  running_group& Member(std::size_t aMember) { return *mMembers[aMember]; }

  std::optional<std::size_t> Leader() const
  {
    for (std::size_t member = 0; member < mMembers.size(); ++member) {
      if (mMembers[member]->mGroup->Status().mRole == raft_role::Leader) {
        return member;
      }
    }
    return std::nullopt;
  }

  /** Proposes at a member; the result is awaited by `AreAllAnswered`. */
  void ProposeAt(std::size_t aMember)
  {
    auto promise = std::make_shared<std::promise<propose_status>>();
    mProposals.push_back({ aMember, promise->get_future() });
    mMembers[aMember]->mGroup->Propose(
      {}, [promise](const propose_result& aResult) {
        promise->set_value(aResult.mStatus);
      });
  }

  bool AreAllAnswered()
  {
    return std::all_of(
      mProposals.begin(), mProposals.end(), [](const proposal& aProposal) {
        return aProposal.mStatus.wait_for(kReactionTimeout) ==
               std::future_status::ready;
      });
  }

  /** Proposes at one member after another until one has applied it. */
  bool AppliesChange()
  {
    return running_group::WaitUntil([&] {
      auto leader = Leader();
      return leader && Member(*leader).Propose() == propose_status::Applied;
    });
  }

  bool ConfirmsReadAt(std::size_t aMember)
  {
    auto promise = std::make_shared<std::promise<void>>();
    mMembers[aMember]->mGroup->ReadBarrier(
      [promise](log_index /*aIndex*/) { promise->set_value(); });
    return promise->get_future().wait_for(kReactionTimeout) ==
           std::future_status::ready;
  }
};

}

TEST_GROUP(control_group){};

TEST(control_group, DisksThatWereFullInTurnLeaveNoChangeUnanswered)
{
  std::vector<std::size_t> order{ 0, 1, 2 };
  // The next disk is full before, as, or after the one before it has room.
  for (int gapMs : { -20, 0, 60 }) {
    do {
      connected_group group({ "a", "b", "c" });
      CHECK(group.AppliesChange());
      auto proposeFor = [&](int aMilliseconds) {
        auto end =
          std::chrono::steady_clock::now() + milliseconds(aMilliseconds);
        while (std::chrono::steady_clock::now() < end) {
          for (std::size_t member : order) {
            group.ProposeAt(member);
          }
          std::this_thread::sleep_for(milliseconds(5));
        }
      };
      for (std::size_t turn = 0; turn < order.size(); ++turn) {
        group.Member(order[turn]).mIsDiskFull = true;
        proposeFor(120);
        bool overlaps = gapMs < 0 && turn + 1 < order.size();
        if (overlaps) {
          group.Member(order[turn + 1]).mIsDiskFull = true;
          proposeFor(-gapMs);
        }
        group.Member(order[turn]).mIsDiskFull = false;
        proposeFor(std::max(0, gapMs));
      }
      CHECK(group.AreAllAnswered());
      CHECK(group.AppliesChange());
      for (std::size_t member : order) {
        CHECK(group.ConfirmsReadAt(member));
        CHECK(!group.Member(member).mHasEndedNormally);
      }
    } while (std::next_permutation(order.begin(), order.end()));
  }
}

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

TEST(control_group, AProposalWhoseCallerHasGivenUpIsNotAppended)
{
  running_group group({ "a" }, [] { return std::chrono::steady_clock::now(); });
  CHECK(running_group::WaitUntil(
    [&] { return group.mGroup->Status().mRole == raft_role::Leader; }));
  CHECK(group.Propose() == propose_status::Applied);
  std::size_t written = group.mWrittenEntries;
  std::promise<propose_status> status;
  group.mGroup->Propose(
    {},
    [&](const propose_result& aResult) { status.set_value(aResult.mStatus); },
    std::chrono::steady_clock::now() - milliseconds(1));
  CHECK(status.get_future().get() == propose_status::Busy);
  CHECK(group.Propose() == propose_status::Applied);
  LONGS_EQUAL(written + 1, group.mWrittenEntries);
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

// Guards against orders that undo later ones: a proposal that waited on its way
// from another control host was appended whenever it arrived.
TEST(control_group, AProposalOlderThanItsSenderWaitsIsRefused)
{
  running_group group({ "a" }, [] { return std::chrono::steady_clock::now(); });
  CHECK(running_group::WaitUntil([&] { return group.mGroup->KnowsLeader(); }));
  CHECK(running_group::WaitUntil(
    [&] { return group.mGroup->Status().mRound > 0; }));
  control_group_status status = group.mGroup->Status();
  leader_round heard{ status.mTerm, status.mRound };
  auto propose = [&](leader_round aHeard, milliseconds aMax) {
    auto promise = std::make_shared<std::promise<propose_status>>();
    group.mGroup->Propose(
      {},
      [promise](const propose_result& aResult) {
        promise->set_value(aResult.mStatus);
      },
      steady_time::max(),
      proposal_age{ aHeard, aMax });
    auto future = promise->get_future();
    CHECK(future.wait_for(kReactionTimeout) == std::future_status::ready);
    return future.get();
  };
  CHECK(propose(heard, milliseconds(60'000)) == propose_status::Applied);
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(propose(heard, milliseconds(20)) == propose_status::Busy);
  // A round of another leader.
  CHECK(propose({ heard.mTerm + 1, 1 }, milliseconds(60'000)) ==
        propose_status::Busy);
}
