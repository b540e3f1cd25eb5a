#pragma once

#include "decisions/group/raft_node.h"
#include "drivers/raft_storage.h"
#include "tests/drivers/crash_disk.h"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace test {

using namespace hibiscusspool;
using hibiscusspool::tests::crash_disk;
using hibiscusspool::tests::folder_state;

/** A member of the group, its folder, and what of it is on the disk. */
struct stored_member
{
  raft_peer_id mId;
  std::filesystem::path mFolder;
  std::unique_ptr<crash_disk> mDisk;
  std::unique_ptr<raft_storage> mStorage;
  std::unique_ptr<raft_node> mNode;
  log_index mApplied = 0;
  /** What the disk has refused; the member waits until it takes it. */
  std::optional<raft_actions> mRefused;
  bool mIsDiskFull = false;
  bool mHasUnstoredSnapshot = false;
  /** File operations until the process ends; negative for never. */
  int mOperationsLeft = -1;
};

/**
 * Raft members on real folders, whose operations a simulated disk follows,
 * under a seeded scheduler. Processes are killed and lose power after any
 * operation on their files, disks are lost or refuse writes. Checks after each
 * step that nothing committed is lost or differs, and that each member starts
 * from the state that it finds.
 */
class stored_group
{
  std::mt19937_64 mRandom;
  std::filesystem::path mRoot;
  steady_time mNow{ std::chrono::hours(1) };
  std::vector<stored_member> mMembers;
  std::vector<std::pair<steady_time, raft_message>> mInFlight;
  /** The first entry that a member applied, by index. */
  std::map<log_index, raft_entry> mCommitted;
  std::map<raft_term, raft_peer_id> mLeaders;
  int mNextDisk = 0;
  int mNextPayload = 0;
  int mStarts = 0;
  std::string mViolation;

  void Fail(const stored_member& aMember, const std::string& aWhat);
  void OnOperation(stored_member& aMember, const file_operation& aOperation);
  /** Runs a step of a member; false if its process ended meanwhile. */
  template<typename body>
  bool RunProcess(stored_member& aMember, body&& aBody);
  void Open(stored_member& aMember);
  void ProcessActions(stored_member& aMember);
  /** What follows once the actions are on the disk. */
  void Complete(stored_member& aMember, raft_actions aActions);
  bool Store(stored_member& aMember, const raft_actions& aActions);
  void RetryRefused(stored_member& aMember);
  bool StoreOwnSnapshot(stored_member& aMember);
  void CheckLeader(const stored_member& aMember);
  [[nodiscard]] std::string StateAt(log_index aIndex) const;
  void Deliver();

public:
  stored_group(std::uint64_t aSeed, int aMembers);
  stored_group(const stored_group&) = delete;
  stored_group& operator=(const stored_group&) = delete;
  ~stored_group();

  std::uint64_t Pick(std::uint64_t aBound);
  [[nodiscard]] const std::string& Violation() const { return mViolation; }
  [[nodiscard]] std::size_t Count() const { return mMembers.size(); }
  [[nodiscard]] std::size_t CommittedCount() const { return mCommitted.size(); }
  [[nodiscard]] int Starts() const { return mStarts; }

  /** Starts a process; nothing if it runs. */
  void Start(std::size_t aPosition);
  /** Ends a process after some more operations on its files, or at once. */
  void EndSoon(std::size_t aPosition, int aOperations);
  /** Ends a process; its files stay as they are. */
  void Kill(std::size_t aPosition);
  /** Ends a process, and leaves one of the states that the disk allows. */
  void LosePower(std::size_t aPosition);
  void LoseDisk(std::size_t aPosition);
  void SetDiskFull(std::size_t aPosition, bool aIsFull);
  void Compact(std::size_t aPosition);
  void Propose();
  void RunFor(milliseconds aTime);
  /** The leader of the latest term, or the number of members. */
  [[nodiscard]] std::size_t Leader() const;
  /** True if all members have applied all that was committed. */
  [[nodiscard]] bool IsWhole() const;
};

}
