#include "drivers/raft_storage.h"

#include "core/log_event.h"
#include "messages/raft_codec.h"

#include <cerrno>
#include <cstring>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace hibiscusspool {

namespace {

const std::string kSegmentPrefix = "log-";
const std::string kSnapshotPrefix = "snapshot-";
const std::string kDiskIdName = "disk-id";
const std::string kDamagedSuffix = "-damaged";

std::filesystem::path
PathOfDamaged(const std::filesystem::path& aFolder)
{
  return aFolder.parent_path() / (aFolder.filename().string() + kDamagedSuffix);
}

std::string
SegmentName(std::uint64_t aNumber)
{
  return kSegmentPrefix + std::to_string(aNumber);
}

std::string
SnapshotName(std::uint64_t aIndex)
{
  return kSnapshotPrefix + std::to_string(aIndex);
}

failure<storage_error>
FailWithErrno(storage_error aCode, const std::filesystem::path& aPath)
{
  return Fail(aCode, aPath.string() + ": " + std::strerror(errno));
}

/** A batch as it is written; `aFollowsSnapshot` is 0 if it replaces nothing. */
template<typename entries>
std::string
EncodeBatch(const raft_hard_state* aHardState,
            log_index aFollowsSnapshot,
            const entries& aEntries)
{
  wire::DiskBatch head;
  head.set_follows_snapshot(aFollowsSnapshot);
  if (aHardState != nullptr) {
    WriteHardState(*aHardState, *head.mutable_hard_state());
  }
  std::string bytes = StartFrame();
  head.AppendToString(&bytes);
  // Concatenated messages are one message with the fields of all, so only one
  // entry is held twice.
  for (const raft_entry& entry : aEntries) {
    wire::DiskBatch one;
    WriteEntry(entry, *one.add_entries());
    one.AppendToString(&bytes);
  }
  SealFrame(bytes);
  return bytes;
}

failure<storage_error>
ToStorageError(const failure<file_error>& aCause)
{
  storage_error code = aCause.mCode == file_error::CannotWrite
                         ? storage_error::CannotWrite
                         : storage_error::CannotOpen;
  return Fail(code, aCause.mDetail);
}

}

raft_storage::raft_storage(raft_storage&& aOther) noexcept
  : mFolder(std::move(aOther.mFolder))
  , mLockFile(std::exchange(aOther.mLockFile, -1))
  , mSegmentFile(std::exchange(aOther.mSegmentFile, -1))
  , mSegmentNumber(aOther.mSegmentNumber)
  , mSegmentBytes(aOther.mSegmentBytes)
  , mOlderBytes(aOther.mOlderBytes)
  , mHasTornTail(aOther.mHasTornTail)
  , mDiskId(std::move(aOther.mDiskId))
  , mPersisted(std::move(aOther.mPersisted))
{
}

raft_storage::~raft_storage()
{
  if (mSegmentFile >= 0) {
    close(mSegmentFile);
  }
  if (mLockFile >= 0) {
    close(mLockFile);
  }
}

result<raft_storage, storage_error>
raft_storage::Create(const std::filesystem::path& aFolder,
                     const std::string& aNewDiskId,
                     file_observer aObserver)
{
  auto folder = data_folder::Create(aFolder, std::move(aObserver));
  if (!folder) {
    return ToStorageError(folder.error());
  }
  raft_storage storage(std::move(folder.value()));
  storage.mDiskId.mValue = aNewDiskId;
  auto locked = storage.Lock();
  if (!locked) {
    return locked.error();
  }
  storage.mFolder.RemoveUnfinished();
  for (auto step : { &raft_storage::LoadDiskId,
                     &raft_storage::LoadSnapshot,
                     &raft_storage::LoadSegments,
                     &raft_storage::StartSegment }) {
    auto done = (storage.*step)();
    if (!done) {
      return done.error();
    }
  }
  storage.LogOpened();
  return storage;
}

result<std::filesystem::path, storage_error>
raft_storage::SetAside(const std::filesystem::path& aFolder)
{
  std::filesystem::path kept = PathOfDamaged(aFolder);
  std::error_code problem;
  std::filesystem::remove_all(kept, problem);
  if (!problem) {
    std::filesystem::rename(aFolder, kept, problem);
  }
  if (problem) {
    return Fail(storage_error::CannotWrite,
                kept.string() + ": " + problem.message());
  }
  auto synced = SyncFolder(kept.parent_path());
  if (!synced) {
    return ToStorageError(synced.error());
  }
  return kept;
}

bool
raft_storage::IsSetAside(const std::filesystem::path& aFolder)
{
  std::error_code problem;
  // One that can't be looked at may be there.
  return std::filesystem::exists(PathOfDamaged(aFolder), problem) || problem;
}

result<void, storage_error>
raft_storage::Lock()
{
  std::filesystem::path path = mFolder.Path() / "lock";
  mLockFile = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (mLockFile < 0) {
    return FailWithErrno(storage_error::CannotOpen, path);
  }
  if (flock(mLockFile, LOCK_EX | LOCK_NB) != 0) {
    return Fail(storage_error::Locked,
                path.string() + " is locked by another process.");
  }
  return boost::outcome_v2::success();
}

result<void, storage_error>
raft_storage::LoadDiskId()
{
  std::string path = (mFolder.Path() / kDiskIdName).string();
  auto hasId = mFolder.Contains(kDiskIdName);
  if (!hasId) {
    return ToStorageError(hasId.error());
  }
  if (hasId.value()) {
    auto text = mFolder.Read(kDiskIdName);
    if (!text) {
      return ToStorageError(text.error());
    }
    mDiskId.mValue = text.value();
    if (mDiskId.IsEmpty()) {
      return Fail(storage_error::Corrupt, path + " is empty.");
    }
    return boost::outcome_v2::success();
  }
  auto holdsLog = HoldsLog();
  if (!holdsLog) {
    return holdsLog.error();
  }
  // A folder with a log but without an id was tampered with.
  if (holdsLog.value()) {
    return Fail(storage_error::Corrupt, path + " is missing.");
  }
  return ReplaceDiskId(mDiskId);
}

result<void, storage_error>
raft_storage::ReplaceDiskId(const disk_id& aId)
{
  auto written = mFolder.Replace(kDiskIdName, aId.mValue);
  if (!written) {
    return ToStorageError(written.error());
  }
  mDiskId = aId;
  return boost::outcome_v2::success();
}

result<bool, storage_error>
raft_storage::HoldsLog() const
{
  auto segments = mFolder.Numbers(kSegmentPrefix);
  if (!segments) {
    return ToStorageError(segments.error());
  }
  for (std::uint64_t number : segments.value()) {
    auto size = mFolder.Size(SegmentName(number));
    if (!size) {
      return ToStorageError(size.error());
    }
    if (size.value() > 0) {
      return true;
    }
  }
  auto snapshots = mFolder.Numbers(kSnapshotPrefix);
  if (!snapshots) {
    return ToStorageError(snapshots.error());
  }
  return !snapshots.value().empty();
}

result<void, storage_error>
raft_storage::LoadSnapshot()
{
  auto numbers = mFolder.Numbers(kSnapshotPrefix);
  if (!numbers) {
    return ToStorageError(numbers.error());
  }
  if (numbers.value().empty()) {
    return boost::outcome_v2::success();
  }
  std::string name = SnapshotName(numbers.value().back());
  auto reader = mFolder.OpenFrames(name);
  if (!reader) {
    return ToStorageError(reader.error());
  }
  auto payload = reader.value().Next();
  if (!payload) {
    return ToStorageError(payload.error());
  }
  wire::Snapshot snapshot;
  bool isValid = payload.value() && snapshot.ParseFromString(*payload.value());
  if (!isValid) {
    return Fail(storage_error::Corrupt,
                (mFolder.Path() / name).string() + " at offset 0 is corrupt.");
  }
  mPersisted.mSnapshot = ReadSnapshot(snapshot);
  return boost::outcome_v2::success();
}

result<void, storage_error>
raft_storage::LoadSegments()
{
  auto found = NeededSegments();
  if (!found) {
    return found.error();
  }
  std::vector<std::uint64_t> numbers = std::move(found.value());
  mSegmentNumber = numbers.empty() ? 0 : numbers.back();
  // Segments in which nothing was written.
  std::vector<std::uint64_t> end;
  while (!numbers.empty()) {
    end.push_back(numbers.back());
    auto size = mFolder.Size(SegmentName(numbers.back()));
    if (!size) {
      return ToStorageError(size.error());
    }
    if (size.value() > 0) {
      break;
    }
    numbers.pop_back();
  }
  for (std::uint64_t number : numbers) {
    auto loaded = LoadSegment(number, number == numbers.back());
    if (!loaded) {
      return loaded.error();
    }
  }
  auto synced = SyncEnd(end);
  if (!synced) {
    return synced.error();
  }
  log_index expected = mPersisted.mSnapshot.mIndex + 1;
  for (const raft_entry& entry : mPersisted.mEntries) {
    if (entry.mIndex != expected) {
      return Fail(storage_error::Corrupt,
                  mFolder.Path().string() + " is missing entry " +
                    std::to_string(expected) + ".");
    }
    ++expected;
  }
  return boost::outcome_v2::success();
}

result<void, storage_error>
raft_storage::SyncEnd(const std::vector<std::uint64_t>& aSegments) const
{
  // A process that is killed between a write and its sync leaves bytes that the
  // next one reads and answers for, and that a loss of power may take away.
  // Earlier segments were synced before a later one was begun.
  for (std::uint64_t number : aSegments) {
    auto synced = mFolder.SyncFile(SegmentName(number));
    if (!synced) {
      return ToStorageError(synced.error());
    }
  }
  return boost::outcome_v2::success();
}

result<std::vector<std::uint64_t>, storage_error>
raft_storage::NeededSegments() const
{
  auto found = mFolder.Numbers(kSegmentPrefix);
  if (!found) {
    return ToStorageError(found.error());
  }
  std::vector<std::uint64_t> numbers = std::move(found.value());
  for (auto number = numbers.end(); number != numbers.begin();) {
    --number;
    auto reader = mFolder.OpenFrames(SegmentName(*number));
    if (!reader) {
      return ToStorageError(reader.error());
    }
    auto first = reader.value().Next();
    if (!first) {
      return ToStorageError(first.error());
    }
    wire::DiskBatch batch;
    bool replacesOlder = first.value() &&
                         batch.ParseFromString(*first.value()) &&
                         batch.follows_snapshot() != 0;
    if (replacesOlder) {
      numbers.erase(numbers.begin(), number);
      break;
    }
  }
  return numbers;
}

result<void, storage_error>
raft_storage::LoadSegment(std::uint64_t aNumber, bool aIsLast)
{
  std::string name = SegmentName(aNumber);
  auto reader = mFolder.OpenFrames(name);
  if (!reader) {
    return ToStorageError(reader.error());
  }
  frame_reader& frames = reader.value();
  while (!frames.IsAtEnd()) {
    std::uint64_t offset = frames.Offset();
    auto batch = frames.Next();
    if (!batch) {
      return ToStorageError(batch.error());
    }
    if (!batch.value()) {
      return CutDamagedEnd(name, frames, aIsLast);
    }
    if (!ApplyBatch(*batch.value())) {
      return Fail(storage_error::Corrupt,
                  (mFolder.Path() / name).string() + " at offset " +
                    std::to_string(offset) + " is corrupt.");
    }
  }
  return boost::outcome_v2::success();
}

result<void, storage_error>
raft_storage::CutDamagedEnd(const std::string& aName,
                            const frame_reader& aReader,
                            bool aIsLast) const
{
  std::string path = (mFolder.Path() / aName).string();
  auto hasFrameAhead = aReader.HasFrameAhead();
  if (!hasFrameAhead) {
    return ToStorageError(hasFrameAhead.error());
  }
  // A batch is written only after the one before it was synced, so a damaged
  // batch that none follows is the last one, which was never acknowledged.
  if (!aIsLast || hasFrameAhead.value()) {
    return Fail(storage_error::Corrupt,
                path + " at offset " + std::to_string(aReader.Offset()) +
                  " is corrupt.");
  }
  log_event("torn_tail_cut", log_event::severity::Warning)
    .Add("file", path)
    .Add("offset", aReader.Offset())
    .Add("bytes", aReader.Size() - aReader.Offset());
  auto resized = mFolder.Resize(aName, aReader.Offset());
  if (!resized) {
    return ToStorageError(resized.error());
  }
  return boost::outcome_v2::success();
}

bool
raft_storage::ApplyBatch(const std::string& aBatch)
{
  wire::DiskBatch batch;
  if (!batch.ParseFromString(aBatch)) {
    return false;
  }
  if (batch.has_hard_state()) {
    mPersisted.mHardState = ReadHardState(batch.hard_state());
  }
  auto& entries = mPersisted.mEntries;
  for (wire::Entry& wireEntry : *batch.mutable_entries()) {
    raft_entry entry = TakeEntry(wireEntry);
    while (!entries.empty() && entries.back().mIndex >= entry.mIndex) {
      entries.pop_back();
    }
    if (entry.mIndex > mPersisted.mSnapshot.mIndex) {
      entries.push_back(std::move(entry));
    }
  }
  return true;
}

void
raft_storage::LogOpened() const
{
  log_event("log_opened")
    .Add("folder", mFolder.Path().string())
    .Add("disk", mDiskId.mValue)
    .Add("segment", mSegmentNumber)
    .Add("snapshot", mPersisted.mSnapshot.mIndex)
    .Add("entries", mPersisted.mEntries.size())
    .Add("term", mPersisted.mHardState.mTerm);
}

result<void, storage_error>
raft_storage::CutTornTail()
{
  if (!mHasTornTail) {
    return boost::outcome_v2::success();
  }
  auto resized = mFolder.Resize(SegmentName(mSegmentNumber), mSegmentBytes);
  if (!resized) {
    return ToStorageError(resized.error());
  }
  mHasTornTail = false;
  return boost::outcome_v2::success();
}

result<void, storage_error>
raft_storage::StartSegment()
{
  // Only the last segment that holds anything may end in a damaged batch.
  auto truncated = CutTornTail();
  if (!truncated) {
    return truncated.error();
  }
  auto file = mFolder.OpenForAppend(SegmentName(mSegmentNumber + 1));
  if (!file) {
    return ToStorageError(file.error());
  }
  auto synced = mFolder.Sync();
  if (!synced) {
    // Batches go to the old segment until a new one is durable.
    close(file.value());
    return ToStorageError(synced.error());
  }
  if (mSegmentFile >= 0) {
    close(mSegmentFile);
  }
  mSegmentFile = file.value();
  ++mSegmentNumber;
  mSegmentBytes = 0;
  CountOlderBytes();
  return boost::outcome_v2::success();
}

result<void, storage_error>
raft_storage::WriteBatch(const std::string& aFrame)
{
  auto truncated = CutTornTail();
  if (!truncated) {
    return truncated.error();
  }
  mHasTornTail = true;
  auto written = mFolder.Append(
    mSegmentFile, SegmentName(mSegmentNumber), mSegmentBytes, aFrame);
  if (!written) {
    return ToStorageError(written.error());
  }
  mHasTornTail = false;
  mSegmentBytes += aFrame.size();
  return boost::outcome_v2::success();
}

result<void, storage_error>
raft_storage::Persist(const raft_actions& aActions)
{
  if (!aActions.mHardState && aActions.mAppend.empty()) {
    return boost::outcome_v2::success();
  }
  const raft_hard_state* hardState =
    aActions.mHardState ? &*aActions.mHardState : nullptr;
  return WriteBatch(EncodeBatch(hardState, 0, aActions.mAppend));
}

result<void, storage_error>
raft_storage::StoreSnapshot(const raft_snapshot& aSnapshot,
                            const raft_hard_state& aHardState,
                            const std::deque<raft_entry>& aTail)
{
  std::string bytes = StartFrame();
  {
    wire::Snapshot snapshot;
    WriteSnapshot(aSnapshot, snapshot);
    snapshot.AppendToString(&bytes);
  }
  SealFrame(bytes);
  auto replaced = mFolder.Replace(SnapshotName(aSnapshot.mIndex), bytes);
  if (!replaced) {
    return ToStorageError(replaced.error());
  }
  auto started = StartSegment();
  if (!started) {
    return started.error();
  }
  auto written = WriteBatch(EncodeBatch(&aHardState, aSnapshot.mIndex, aTail));
  if (!written) {
    return written.error();
  }
  // Only now do the new files hold everything that the old ones hold.
  RemoveBefore(kSegmentPrefix, mSegmentNumber);
  RemoveBefore(kSnapshotPrefix, aSnapshot.mIndex);
  CountOlderBytes();
  return boost::outcome_v2::success();
}

void
raft_storage::CountOlderBytes()
{
  mOlderBytes = 0;
  auto numbers = mFolder.Numbers(kSegmentPrefix);
  if (!numbers) {
    log_event("log_not_counted", log_event::severity::Warning)
      .Add("cause", numbers.error().mDetail);
    return;
  }
  for (std::uint64_t number : numbers.value()) {
    auto size = mFolder.Size(SegmentName(number));
    if (size && number < mSegmentNumber) {
      mOlderBytes += size.value();
    }
  }
}

void
raft_storage::RemoveBefore(const std::string& aPrefix,
                           std::uint64_t aNumber) const
{
  auto numbers = mFolder.Numbers(aPrefix);
  if (!numbers) {
    // They are removed after the next snapshot.
    log_event("old_files_kept", log_event::severity::Warning)
      .Add("prefix", aPrefix)
      .Add("cause", numbers.error().mDetail);
    return;
  }
  for (std::uint64_t number : numbers.value()) {
    if (number < aNumber) {
      mFolder.Remove(aPrefix + std::to_string(number));
    }
  }
}

}
