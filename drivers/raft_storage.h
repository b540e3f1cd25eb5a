#pragma once

#include "core/failure.h"
#include "decisions/raft_node.h"

#include <filesystem>
#include <optional>
#include <string>

namespace hibiscusspool {

enum class storage_error
{
  CannotOpen,
  CannotWrite,
  Corrupt,
  Locked,
};

template<>
inline constexpr name_table<storage_error, 4> kNames<storage_error>{ {
  { storage_error::CannotOpen, "cannot_open" },
  { storage_error::CannotWrite, "cannot_write" },
  { storage_error::Corrupt, "damaged" },
  { storage_error::Locked, "locked" },
} };

/**
 * A member's part of the replicated log under one data folder: `disk-id`, the
 * newest `snapshot-INDEX`, and segments `log-NUMBER`. A segment is a run of
 * frames, each one synced batch behind a checked header. A batch that was cut
 * short at the end of the last segment was never acknowledged, and is dropped;
 * any other fault is damage, and refuses to open with its file and offset.
 * A write that failed may be tried again.
 */
class raft_storage
{
  std::filesystem::path mFolder;
  int mLockFile = -1;
  int mSegment = -1;
  std::uint64_t mSegmentNumber = 0;
  /** Bytes of whole batches in the segment that is written. */
  std::uint64_t mSegmentBytes = 0;
  /** The segment may hold part of a batch after them. */
  bool mHasTornTail = false;
  disk_id mDisk;
  raft_persistent_state mPersisted;

  explicit raft_storage(std::filesystem::path aFolder)
    : mFolder(std::move(aFolder))
  {
  }

  result<void, storage_error> Lock();
  result<void, storage_error> LoadDiskId();
  result<void, storage_error> LoadSnapshot();
  result<void, storage_error> LoadSegments();
  result<void, storage_error> LoadSegment(std::uint64_t aNumber, bool aIsLast);
  void Take(const std::string& aBatch);
  result<void, storage_error> CutTornTail();
  result<void, storage_error> StartSegment();
  result<void, storage_error> WriteBatch(const std::string& aBatch);
  void DropSegmentsBefore(std::uint64_t aNumber);
  [[nodiscard]] std::filesystem::path SegmentPath(std::uint64_t aNumber) const;

public:
  raft_storage(const raft_storage&) = delete;
  raft_storage& operator=(const raft_storage&) = delete;
  raft_storage(raft_storage&& aOther) noexcept;
  raft_storage& operator=(raft_storage&&) = delete;
  ~raft_storage();

  /**
   * Opens the folder, makes it with a random disk id when it is new.
   * Errors: `Locked` by another process, `Damaged` with file and offset.
   */
  static result<raft_storage, storage_error> Create(
    const std::filesystem::path& aFolder,
    const std::string& aNewDiskId);

  [[nodiscard]] const disk_id& DiskId() const { return mDisk; }
  /** What the folder held when it was opened; call it once. */
  raft_persistent_state TakePersisted() { return std::move(mPersisted); }

  /** Writes the actions' hard state and entries, and syncs them. */
  result<void, storage_error> Persist(const raft_actions& aActions);
  /**
   * Puts a snapshot in place of the log up to it. `aTail` and `aHardState`
   * are what stays in force after it.
   */
  result<void, storage_error> StoreSnapshot(
    const raft_snapshot& aSnapshot,
    const raft_hard_state& aHardState,
    const std::deque<raft_entry>& aTail);
};

}
