#pragma once

#include "core/failure.h"
#include "decisions/group/raft_node.h"
#include "drivers/data_folder.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

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
 * A member's copy of the replicated log in one data folder: `disk-id`, the
 * latest `snapshot-INDEX`, and segments `log-NUMBER`. A segment is a sequence
 * of frames, each a synced batch behind a header with checksums. A damaged
 * batch at the end of the last segment was never acknowledged and is dropped;
 * any other fault is corruption: `Create` fails and reports file and offset. A
 * failed write may be retried.
 */
class raft_storage
{
  data_folder mFolder;
  int mLockFile = -1;
  int mSegmentFile = -1;
  std::uint64_t mSegmentNumber = 0;
  /** Bytes of complete batches in the current segment. */
  std::uint64_t mSegmentBytes = 0;
  /** Bytes of the segments before the current one. */
  std::uint64_t mOlderBytes = 0;
  /** The current segment may end in an incomplete batch. */
  bool mHasTornTail = false;
  disk_id mDiskId;
  /** What `Create` read from the folder. */
  raft_persistent_state mPersisted;

  explicit raft_storage(data_folder aFolder)
    : mFolder(std::move(aFolder))
  {
  }

  result<void, storage_error> Lock();
  result<void, storage_error> LoadDiskId();
  /** True if any segment holds a batch, or there is a snapshot. */
  [[nodiscard]] result<bool, storage_error> HoldsLog() const;
  result<void, storage_error> LoadSnapshot();
  result<void, storage_error> LoadSegments();
  /** Syncs what an earlier process may have written and not synced. */
  result<void, storage_error> SyncEnd(
    const std::vector<std::uint64_t>& aSegments) const;
  /** The segments from the newest one that begins with the log after a
   * snapshot. Removed ones before it may have returned after a loss of power.
   */
  [[nodiscard]] result<std::vector<std::uint64_t>, storage_error>
  NeededSegments() const;
  result<void, storage_error> LoadSegment(std::uint64_t aNumber, bool aIsLast);
  /** Applies a batch to `mPersisted`; false if it can't be decoded. */
  bool ApplyBatch(const std::string& aBatch);
  /** Handles bytes that are not a complete frame, where a reader stopped. */
  result<void, storage_error> CutDamagedEnd(const std::string& aName,
                                            const frame_reader& aReader,
                                            bool aIsLast) const;
  void LogOpened() const;
  result<void, storage_error> CutTornTail();
  result<void, storage_error> StartSegment();
  /** Writes a frame and syncs it. */
  result<void, storage_error> WriteBatch(const std::string& aFrame);
  /** Counts the bytes of the segments before the current one. */
  void CountOlderBytes();
  /** Removes the files of a kind with lower numbers. */
  void RemoveBefore(const std::string& aPrefix, std::uint64_t aNumber) const;

public:
  raft_storage(const raft_storage&) = delete;
  raft_storage& operator=(const raft_storage&) = delete;
  raft_storage(raft_storage&& aOther) noexcept;
  raft_storage& operator=(raft_storage&&) = delete;
  ~raft_storage();

  /**
   * Opens the folder, or creates it with `aNewDiskId`, a random id.
   * Errors: `Locked` by another process, `Corrupt` with file and offset.
   */
  static result<raft_storage, storage_error> Create(
    const std::filesystem::path& aFolder,
    const std::string& aNewDiskId,
    file_observer aObserver = {});

  /**
   * Keeps a folder that `Create` finds damaged beside its place, in which a new
   * one can then be created, and returns the path. Of two that are kept one
   * after the other, the later one stays.
   */
  static result<std::filesystem::path, storage_error> SetAside(
    const std::filesystem::path& aFolder);
  /** True while a folder is kept beside this one. */
  static bool IsSetAside(const std::filesystem::path& aFolder);

  [[nodiscard]] const disk_id& DiskId() const { return mDiskId; }
  /** The folder's contents when it was opened; call it once. */
  raft_persistent_state TakePersisted() { return std::move(mPersisted); }

  /** Bytes of all segments of the log. */
  [[nodiscard]] std::uint64_t LogBytes() const
  {
    return mOlderBytes + mSegmentBytes;
  }

  /** Writes and syncs the hard state and the entries of the actions. */
  result<void, storage_error> Persist(const raft_actions& aActions);
  /**
   * Replaces the log up to the snapshot's index by the snapshot; the hard state
   * and the entries after that index are kept.
   */
  result<void, storage_error> StoreSnapshot(
    const raft_snapshot& aSnapshot,
    const raft_hard_state& aHardState,
    const std::deque<raft_entry>& aTail);
  /** Gives the folder another disk id, so that it is another member. */
  result<void, storage_error> ReplaceDiskId(const disk_id& aId);
};

}
