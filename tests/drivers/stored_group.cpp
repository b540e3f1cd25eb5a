#include "tests/drivers/stored_group.h"

#include "tests/drivers/file_size_limit.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace test {

namespace {

constexpr milliseconds kStep{ 10 };
constexpr milliseconds kElection{ 500 };
constexpr std::uint64_t kMaxDelayMs = 30;

/** Thrown out of a file operation, after which the process is gone. */
struct process_ended
{};

}

stored_group::stored_group(std::uint64_t aSeed, int aMembers)
  : mRandom(aSeed)
{
  // A file system in memory syncs at once; what a sync is worth is simulated.
  std::string pattern = (std::filesystem::exists("/dev/shm")
                           ? std::filesystem::path("/dev/shm")
                           : std::filesystem::temp_directory_path()) /
                        "stored-group-XXXXXX";
  mRoot = mkdtemp(pattern.data());
  mMembers.resize(static_cast<std::size_t>(aMembers));
  std::vector<raft_peer> voters;
  for (std::size_t position = 0; position < mMembers.size(); ++position) {
    stored_member& member = mMembers[position];
    member.mId.mHost.mValue = "h" + std::to_string(position);
    member.mFolder = mRoot / member.mId.mHost.mValue;
    member.mDisk = std::make_unique<crash_disk>(folder_state{});
    Start(position);
    voters.push_back({ member.mId, true });
  }
  mMembers[0].mNode->Bootstrap(voters, mNow);
  ProcessActions(mMembers[0]);
}

stored_group::~stored_group()
{
  mMembers.clear();
  std::filesystem::remove_all(mRoot);
}

std::uint64_t
stored_group::Pick(std::uint64_t aBound)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mRandom);
}

void
stored_group::Fail(const stored_member& aMember, const std::string& aWhat)
{
  if (mViolation.empty()) {
    mViolation =
      aMember.mId.mHost.mValue + "/" + aMember.mId.mDisk.mValue + " " + aWhat;
  }
}

std::string
stored_group::StateAt(log_index aIndex) const
{
  std::string state = std::to_string(aIndex);
  auto found = mCommitted.find(aIndex);
  return found == mCommitted.end() ? state
                                   : state + ":" + found->second.mPayload;
}

void
stored_group::OnOperation(stored_member& aMember,
                          const file_operation& aOperation)
{
  aMember.mDisk->Follow(aOperation);
  if (aMember.mOperationsLeft > 0 && --aMember.mOperationsLeft == 0) {
    throw process_ended{};
  }
}

template<typename body>
bool
stored_group::RunProcess(stored_member& aMember, body&& aBody)
{
  try {
    if (aMember.mIsDiskFull) {
      file_size_limit full(0);
      aBody();
    } else {
      aBody();
    }
    return true;
  } catch (const process_ended&) {
    aMember.mNode.reset();
    aMember.mStorage.reset();
    aMember.mRefused.reset();
    aMember.mOperationsLeft = -1;
    return false;
  }
}

void
stored_group::Start(std::size_t aPosition)
{
  stored_member& member = mMembers[aPosition];
  if (member.mNode == nullptr) {
    RunProcess(member, [&] { Open(member); });
  }
}

void
stored_group::Open(stored_member& aMember)
{
  ++mStarts;
  auto storage =
    raft_storage::Create(aMember.mFolder,
                         "d" + std::to_string(mNextDisk++),
                         [this, &aMember](const file_operation& aOperation) {
                           OnOperation(aMember, aOperation);
                         });
  if (!storage) {
    // A full disk may refuse a start, which is tried again.
    if (storage.error().mCode == storage_error::Corrupt) {
      Fail(aMember, "does not start: " + storage.error().mDetail);
    }
    return;
  }
  aMember.mStorage = std::make_unique<raft_storage>(std::move(storage.value()));
  aMember.mId.mDisk = aMember.mStorage->DiskId();
  raft_config config;
  config.mSelf = aMember.mId;
  config.mSeed = mRandom();
  config.mHeartbeatInterval = kElection / 5;
  config.mElectionTimeout = kElection;
  config.mAllowsAnyHost = true;
  for (const stored_member& other : mMembers) {
    config.mKnownHosts.insert(other.mId.mHost);
  }
  auto persisted = aMember.mStorage->TakePersisted();
  aMember.mApplied = persisted.mSnapshot.mIndex;
  aMember.mHasUnstoredSnapshot = false;
  auto node = raft_node::Create(config, std::move(persisted), mNow);
  if (!node) {
    Fail(aMember, "can't use its log: " + node.error().mDetail);
    return;
  }
  aMember.mNode = std::make_unique<raft_node>(std::move(node.value()));
}

void
stored_group::EndSoon(std::size_t aPosition, int aOperations)
{
  mMembers[aPosition].mOperationsLeft = aOperations;
}

void
stored_group::Kill(std::size_t aPosition)
{
  RunProcess(mMembers[aPosition], [] { throw process_ended{}; });
}

void
stored_group::LosePower(std::size_t aPosition)
{
  Kill(aPosition);
  stored_member& member = mMembers[aPosition];
  bool isAllLost = Pick(3) == 0;
  folder_state state = isAllLost ? member.mDisk->SyncedFiles()
                                 : member.mDisk->States(1, mRandom).front();
  hibiscusspool::tests::WriteState(member.mFolder, state);
  member.mDisk = std::make_unique<crash_disk>(state);
}

void
stored_group::LoseDisk(std::size_t aPosition)
{
  Kill(aPosition);
  stored_member& member = mMembers[aPosition];
  std::filesystem::remove_all(member.mFolder);
  member.mDisk = std::make_unique<crash_disk>(folder_state{});
}

void
stored_group::SetDiskFull(std::size_t aPosition, bool aIsFull)
{
  mMembers[aPosition].mIsDiskFull = aIsFull;
}

bool
stored_group::Store(stored_member& aMember, const raft_actions& aActions)
{
  if (aActions.mInstallSnapshot) {
    auto stored = aMember.mStorage->StoreSnapshot(*aActions.mInstallSnapshot,
                                                  aMember.mNode->HardState(),
                                                  aMember.mNode->Log());
    if (!stored) {
      return false;
    }
    aMember.mHasUnstoredSnapshot = false;
  }
  return aMember.mStorage->Persist(aActions).has_value();
}

bool
stored_group::StoreOwnSnapshot(stored_member& aMember)
{
  raft_node& node = *aMember.mNode;
  if (aMember.mApplied > node.Snapshot().mIndex) {
    node.Compact(aMember.mApplied, StateAt(aMember.mApplied));
  }
  aMember.mHasUnstoredSnapshot =
    !aMember.mStorage
       ->StoreSnapshot(node.Snapshot(), node.HardState(), node.Log())
       .has_value();
  return !aMember.mHasUnstoredSnapshot;
}

void
stored_group::Compact(std::size_t aPosition)
{
  stored_member& member = mMembers[aPosition];
  bool canCompact = member.mNode != nullptr && !member.mRefused &&
                    !member.mNode->HasUndelivered() && member.mApplied > 0;
  if (canCompact) {
    RunProcess(member, [&] { StoreOwnSnapshot(member); });
  }
}

void
stored_group::RetryRefused(stored_member& aMember)
{
  RunProcess(aMember, [&] {
    bool isInstalling = aMember.mRefused->mInstallSnapshot.has_value();
    // As a control host does: a log that fills the disk gives way to a
    // snapshot.
    if (!isInstalling && Pick(4) == 0 && aMember.mApplied > 0) {
      StoreOwnSnapshot(aMember);
    }
    if (Store(aMember, *aMember.mRefused)) {
      Complete(aMember, *std::exchange(aMember.mRefused, std::nullopt));
    }
  });
}

void
stored_group::ProcessActions(stored_member& aMember)
{
  raft_actions actions = aMember.mNode->TakeActions();
  if (!Store(aMember, actions)) {
    aMember.mRefused = std::move(actions);
    return;
  }
  Complete(aMember, std::move(actions));
}

void
stored_group::Complete(stored_member& aMember, raft_actions aActions)
{
  if (aActions.mInstallSnapshot) {
    aMember.mApplied = aActions.mInstallSnapshot->mIndex;
    if (aActions.mInstallSnapshot->mState != StateAt(aMember.mApplied)) {
      Fail(aMember, "installed a state that was not committed");
    }
  }
  for (raft_message& message : aActions.mMessages) {
    mInFlight.emplace_back(mNow + milliseconds(Pick(kMaxDelayMs)),
                           std::move(message));
  }
  for (const raft_entry& entry : aActions.mCommitted) {
    if (entry.mIndex != aMember.mApplied + 1) {
      Fail(aMember, "applied entries out of order");
    }
    aMember.mApplied = entry.mIndex;
    auto [found, isNew] = mCommitted.emplace(entry.mIndex, entry);
    if (!isNew && found->second != entry) {
      Fail(aMember,
           "applied another entry at index " + std::to_string(entry.mIndex));
    }
  }
  CheckLeader(aMember);
}

void
stored_group::CheckLeader(const stored_member& aMember)
{
  const raft_node& node = *aMember.mNode;
  if (node.Role() != raft_role::Leader) {
    return;
  }
  auto [found, isNew] = mLeaders.emplace(node.Term(), aMember.mId);
  if (found->second != aMember.mId) {
    Fail(aMember, "leads in a term that has another leader");
  }
  if (!isNew) {
    return;
  }
  for (const auto& [index, entry] : mCommitted) {
    log_index first = node.Snapshot().mIndex + 1;
    if (index < first) {
      continue;
    }
    bool isHeld =
      index - first < node.Log().size() && node.Log()[index - first] == entry;
    if (!isHeld) {
      Fail(aMember, "leads without entry " + std::to_string(index));
    }
  }
}

void
stored_group::Propose()
{
  std::size_t leader = Leader();
  if (leader == mMembers.size() || mMembers[leader].mRefused) {
    return;
  }
  RunProcess(mMembers[leader], [&] {
    std::string payload = "p" + std::to_string(mNextPayload++);
    payload.append(Pick(200), 'x');
    static_cast<void>(mMembers[leader].mNode->Propose(payload, mNow));
    ProcessActions(mMembers[leader]);
  });
}

void
stored_group::Deliver()
{
  std::vector<raft_message> due;
  std::erase_if(mInFlight, [&](auto& aInFlight) {
    if (aInFlight.first > mNow) {
      return false;
    }
    due.push_back(std::move(aInFlight.second));
    return true;
  });
  std::shuffle(due.begin(), due.end(), mRandom);
  for (const raft_message& message : due) {
    for (stored_member& member : mMembers) {
      bool isTarget = member.mId.mHost == message.mTo.mHost &&
                      member.mNode != nullptr && !member.mRefused;
      if (isTarget) {
        RunProcess(member, [&] {
          member.mNode->Step(message, mNow);
          ProcessActions(member);
        });
      }
    }
  }
}

void
stored_group::RunFor(milliseconds aTime)
{
  for (milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
    mNow += kStep;
    for (stored_member& member : mMembers) {
      if (member.mNode == nullptr) {
        continue;
      }
      if (member.mRefused) {
        RetryRefused(member);
        continue;
      }
      RunProcess(member, [&] {
        member.mNode->Tick(mNow);
        ProcessActions(member);
      });
    }
    Deliver();
  }
}

std::size_t
stored_group::Leader() const
{
  std::size_t best = mMembers.size();
  for (std::size_t position = 0; position < mMembers.size(); ++position) {
    const auto& node = mMembers[position].mNode;
    bool isLeader = node != nullptr && node->Role() == raft_role::Leader;
    if (isLeader && (best == mMembers.size() ||
                     node->Term() > mMembers[best].mNode->Term())) {
      best = position;
    }
  }
  return best;
}

bool
stored_group::IsWhole() const
{
  log_index last = mCommitted.empty() ? 0 : mCommitted.rbegin()->first;
  return std::all_of(
    mMembers.begin(), mMembers.end(), [&](const stored_member& aMember) {
      return aMember.mNode != nullptr && aMember.mApplied >= last;
    });
}

}
