#include "drivers/access_token.h"
#include "drivers/raft_storage.h"
#include "drivers/refusal_store.h"
#include "drivers/synced_file.h"
#include "tests/drivers/file_size_limit.h"

#include <fstream>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

raft_actions
Entries(log_index aFirst, log_index aLast, raft_term aTerm)
{
  raft_actions actions;
  actions.mHardState = raft_hard_state{ aTerm, {} };
  for (log_index index = aFirst; index <= aLast; ++index) {
    actions.mAppend.push_back(
      { aTerm, index, "entry " + std::to_string(index), std::nullopt });
  }
  return actions;
}

}

TEST_GROUP(raft_storage)
{
  std::filesystem::path mFolder;

  void setup() override
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "raft-disk-XXXXXX").string();
    mFolder = mkdtemp(pattern.data());
  }
  void teardown() override
  {
    std::filesystem::remove_all(mFolder);
  }

  void CorruptByte(const std::string& aName, std::size_t aOffset) const
  {
    std::fstream file(mFolder / aName,
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(aOffset));
    file.put('\x7f');
  }
};

TEST(raft_storage, RestoresSyncedEntriesAfterRestart)
{
  {
    auto storage = raft_storage::Create(mFolder, "first");
    CHECK(storage.value().Persist(Entries(1, 5, 1)).has_value());
    // A later term replaces the tail.
    CHECK(storage.value().Persist(Entries(4, 6, 2)).has_value());
  }
  auto storage = raft_storage::Create(mFolder, "second");
  STRCMP_EQUAL("first", storage.value().DiskId().mValue.c_str());
  raft_persistent_state kept = storage.value().TakePersisted();
  LONGS_EQUAL(2, kept.mHardState.mTerm);
  LONGS_EQUAL(6, kept.mEntries.size());
  LONGS_EQUAL(1, kept.mEntries[2].mTerm);
  LONGS_EQUAL(2, kept.mEntries[3].mTerm);
}

TEST(raft_storage, RewritesABatchThatAFullDiskTruncated)
{
  {
    auto storage = raft_storage::Create(mFolder, "a");
    CHECK(storage.value().Persist(Entries(1, 3, 1)).has_value());
    auto full = std::filesystem::file_size(mFolder / "log-1") + 20;
    file_size_limit limit(full);
    CHECK(!storage.value().Persist(Entries(4, 6, 1)).has_value());
    CHECK(!storage.value().Persist(Entries(4, 6, 1)).has_value());
    limit.Lift();
    CHECK(storage.value().Persist(Entries(4, 6, 1)).has_value());
    CHECK(storage.value().Persist(Entries(7, 7, 1)).has_value());
  }
  auto storage = raft_storage::Create(mFolder, "a");
  CHECK(storage.has_value());
  LONGS_EQUAL(7, storage.value().TakePersisted().mEntries.size());
}

TEST(raft_storage, KeepsTheLogWhenASnapshotDoesNotFit)
{
  {
    auto storage = raft_storage::Create(mFolder, "a");
    CHECK(storage.value().Persist(Entries(1, 10, 1)).has_value());
    raft_snapshot snapshot;
    snapshot.mIndex = 5;
    snapshot.mTerm = 1;
    snapshot.mState = std::string(200, 's');
    raft_actions tail = Entries(6, 10, 1);
    std::deque<raft_entry> entries(tail.mAppend.begin(), tail.mAppend.end());
    entries.back().mPayload = std::string(400, 'e');
    // The snapshot fits, but the log after it does not.
    file_size_limit limit(300);
    CHECK(
      !storage.value().StoreSnapshot(snapshot, { 1, {} }, entries).has_value());
    limit.Lift();
    CHECK(storage.value().Persist(Entries(11, 11, 1)).has_value());
    CHECK(
      storage.value().StoreSnapshot(snapshot, { 1, {} }, entries).has_value());
    CHECK(storage.value().Persist(Entries(11, 11, 1)).has_value());
  }
  auto storage = raft_storage::Create(mFolder, "a");
  CHECK(storage.has_value());
  raft_persistent_state kept = storage.value().TakePersisted();
  LONGS_EQUAL(5, kept.mSnapshot.mIndex);
  LONGS_EQUAL(6, kept.mEntries.size());
}

// Guards against starts that fail for good: a loss of power during the first
// start may keep the first segment and take the disk's id away.
TEST(raft_storage, AnEmptyLogWithoutADiskIdIsThatOfANewDisk)
{
  std::ofstream(mFolder / "log-1").flush();
  auto storage = raft_storage::Create(mFolder, "first");
  CHECK(storage.has_value());
  STRCMP_EQUAL("first", storage.value().DiskId().mValue.c_str());
}

// Guards against folders that a loss of power takes away: an attempt to sync
// the one above may have been refused after this one was created.
TEST(raft_storage, EachStartSyncsTheFolderThatHoldsIt)
{
  for (int start = 0; start < 2; ++start) {
    bool isSynced = false;
    auto storage = raft_storage::Create(
      mFolder / "log", "first", [&](const file_operation& aOperation) {
        isSynced =
          isSynced || (aOperation.mKind == file_operation_kind::FolderSynced &&
                       aOperation.mName == "..");
      });
    CHECK(storage.has_value());
    CHECK(isSynced);
  }
}

// Guards against disks that fill up with files that nobody needs.
TEST(raft_storage, AStartRemovesTheNewFilesOfReplacementsThatWereCutOff)
{
  std::ofstream(mFolder / "snapshot-7.new") << "partial";
  std::ofstream(mFolder / "disk-id.new") << "partial";
  auto storage = raft_storage::Create(mFolder, "first");
  CHECK(storage.has_value());
  CHECK(!std::filesystem::exists(mFolder / "snapshot-7.new"));
  CHECK(!std::filesystem::exists(mFolder / "disk-id.new"));
}

TEST(raft_storage, WritesOnWhenANewSegmentCanNotBeStarted)
{
  raft_snapshot snapshot;
  snapshot.mIndex = 3;
  snapshot.mTerm = 1;
  {
    auto storage = raft_storage::Create(mFolder, "a");
    storage.value().Persist(Entries(1, 3, 1)).value();
    // A folder in the segment's place.
    std::filesystem::create_directory(mFolder / "log-2");
    CHECK(!storage.value().StoreSnapshot(snapshot, { 1, {} }, {}).has_value());
    CHECK(storage.value().Persist(Entries(4, 4, 1)).has_value());
    std::filesystem::remove(mFolder / "log-2");
    CHECK(storage.value().Persist(Entries(5, 5, 1)).has_value());
  }
  auto storage = raft_storage::Create(mFolder, "a");
  LONGS_EQUAL(2, storage.value().TakePersisted().mEntries.size());
}

TEST(raft_storage, CutsATornTailBeforeAnEmptySegment)
{
  {
    auto storage = raft_storage::Create(mFolder, "a");
    storage.value().Persist(Entries(1, 3, 1)).value();
  }
  std::ofstream(mFolder / "log-1", std::ios::app) << "half";
  std::ofstream(mFolder / "log-2").close();
  auto storage = raft_storage::Create(mFolder, "a");
  CHECK(storage.has_value());
  LONGS_EQUAL(3, storage.value().TakePersisted().mEntries.size());
}

TEST(raft_storage, AFileThatCanNotBeLookedAtIsNotTakenForAMissingOne)
{
  {
    auto storage = raft_storage::Create(mFolder, "a");
    storage.value().Persist(Entries(1, 3, 1)).value();
  }
  for (const char* name : { "log-1", "disk-id" }) {
    auto path = mFolder / name;
    auto kept = mFolder / "kept";
    std::filesystem::rename(path, kept);
    // A look at a link to itself fails, as one at a faulty disk does.
    std::filesystem::create_symlink(path, path);
    auto storage = raft_storage::Create(mFolder, "b");
    CHECK(!storage.has_value());
    CHECK(storage.error().mCode == storage_error::CannotOpen);
    std::filesystem::remove(path);
    std::filesystem::rename(kept, path);
  }
  auto storage = raft_storage::Create(mFolder, "b");
  STRCMP_EQUAL("a", storage.value().DiskId().mValue.c_str());
  LONGS_EQUAL(3, storage.value().TakePersisted().mEntries.size());
}

TEST(raft_storage, AFileThatCanNotBeReadIsNotTakenForAnEmptyOne)
{
  auto path = mFolder / "unreadable";
  std::filesystem::create_directories(path);
  CHECK(ReadWholeFile(path).error().mCode == file_error::CannotRead);
  CHECK(ReadWholeFile(mFolder / "none").error().mCode == file_error::NotFound);
  CHECK(!FileNumbers(mFolder / "none", "log-").has_value());
}

TEST(raft_storage, LocksOutASecondProcess)
{
  auto first = raft_storage::Create(mFolder, "a");
  auto second = raft_storage::Create(mFolder, "a");
  CHECK(second.error().mCode == storage_error::Locked);
}

TEST(raft_storage, SnapshotReplacesTheLogUpToItsIndex)
{
  {
    auto storage = raft_storage::Create(mFolder, "a");
    storage.value().Persist(Entries(1, 10, 1)).value();
    raft_snapshot snapshot;
    snapshot.mIndex = 8;
    snapshot.mTerm = 1;
    snapshot.mState = "state";
    std::deque<raft_entry> tail{ { 1, 9, "nine", std::nullopt },
                                 { 1, 10, "ten", std::nullopt } };
    storage.value().StoreSnapshot(snapshot, { 1, {} }, tail).value();
    storage.value().Persist(Entries(11, 11, 1)).value();
  }
  auto storage = raft_storage::Create(mFolder, "a");
  raft_persistent_state kept = storage.value().TakePersisted();
  LONGS_EQUAL(8, kept.mSnapshot.mIndex);
  STRCMP_EQUAL("state", kept.mSnapshot.mState.c_str());
  LONGS_EQUAL(3, kept.mEntries.size());
  LONGS_EQUAL(9, kept.mEntries.front().mIndex);
}

TEST(raft_storage, DropsOnlyATruncatedLastBatch)
{
  {
    auto storage = raft_storage::Create(mFolder, "a");
    storage.value().Persist(Entries(1, 1, 1)).value();
    storage.value().Persist(Entries(2, 2, 1)).value();
  }
  auto path = mFolder / "log-1";
  std::string complete = ReadWholeFile(path).value();
  std::size_t firstEnd = ParseFrame(complete, 0)->mEnd;
  for (std::size_t cut = firstEnd; cut < complete.size(); ++cut) {
    std::ofstream(path, std::ios::binary) << complete.substr(0, cut);
    auto storage = raft_storage::Create(mFolder, "a");
    CHECK(storage.has_value());
    LONGS_EQUAL(1, storage.value().TakePersisted().mEntries.size());
    std::filesystem::remove(mFolder / "log-2");
  }
}

TEST(raft_storage, ReportsFileAndOffsetOfCorruption)
{
  {
    auto storage = raft_storage::Create(mFolder, "a");
    storage.value().Persist(Entries(1, 1, 1)).value();
    storage.value().Persist(Entries(2, 2, 1)).value();
  }
  CorruptByte("log-1", 30);
  auto storage = raft_storage::Create(mFolder, "a");
  CHECK(storage.error().mCode == storage_error::Corrupt);
  STRCMP_CONTAINS("log-1 at offset 0", storage.error().mDetail.c_str());
}

TEST(raft_storage, RejectsACorruptSnapshot)
{
  {
    auto storage = raft_storage::Create(mFolder, "a");
    raft_snapshot snapshot;
    snapshot.mIndex = 8;
    snapshot.mState = "state";
    storage.value().StoreSnapshot(snapshot, { 1, {} }, {}).value();
  }
  CorruptByte("snapshot-8", 27);
  auto storage = raft_storage::Create(mFolder, "a");
  CHECK(storage.error().mCode == storage_error::Corrupt);
  STRCMP_CONTAINS("snapshot-8", storage.error().mDetail.c_str());
}

TEST(raft_storage, RefusalsSurviveATruncatedBatch)
{
  refusal_batch batch;
  batch.mHost.mValue = "e1";
  refusal kept;
  kept.mNumber = 1;
  batch.mRefusals = { kept };
  constexpr wall_ms kDay = 86'400'000;
  {
    auto store = refusal_store::Create(mFolder, 14);
    store.value().Store(batch, kDay).value();
  }
  std::ofstream(mFolder / "refusals-1", std::ios::app) << "half";
  std::ofstream(mFolder / "refusals-x") << "no day";
  auto store = refusal_store::Create(mFolder, 14);
  store.value().Store(batch, kDay).value();
  LONGS_EQUAL(2, store.value().Read(0).size());
  // Days past the retention are deleted.
  store.value().Store(batch, 20 * kDay).value();
  LONGS_EQUAL(1, store.value().Read(0).size());
}

TEST(raft_storage, RefusalsAreReadThatWereStoredAfterADiskWasFull)
{
  refusal_batch batch;
  batch.mHost.mValue = "e1";
  batch.mRefusals.resize(20);
  constexpr wall_ms kDay = 86'400'000;
  auto store = refusal_store::Create(mFolder, 14);
  store.value().Store(batch, kDay).value();
  auto size = std::filesystem::file_size(mFolder / "refusals-1");
  {
    file_size_limit full(size + size / 2);
    CHECK(!store.value().Store(batch, kDay).has_value());
  }
  store.value().Store(batch, kDay).value();
  LONGS_EQUAL(2, store.value().Read(0).size());
}

TEST(raft_storage, AnAccessTokenAuthorizesOnlyItself)
{
  auto path = mFolder / "token";
  std::ofstream(path) << "0123456789abcdef\n";
  auto token = access_token::Create(path.string());
  CHECK(token.value().Authorizes("Bearer 0123456789abcdef"));
  CHECK(!token.value().Authorizes("Bearer 0123456789abcdeg"));
  CHECK(!token.value().Authorizes("Bearer 0123456789abcdef0"));
  CHECK(!token.value().Authorizes(""));
  std::ofstream(path) << "short\n";
  CHECK(access_token::Create(path.string()).error().mCode ==
        token_error::TooShort);
  CHECK(access_token::Create("").value().Authorizes(""));
}

TEST(raft_storage, AWithdrawnAccessTokenIsRefusedAtOnce)
{
  auto path = mFolder / "token";
  std::ofstream(path) << "0123456789abcdef\n";
  auto token = access_token::Create(path.string());
  CHECK(token.value().Authorizes("Bearer 0123456789abcdef"));
  std::ofstream(path) << "fedcba9876543210\n";
  CHECK(!token.value().Authorizes("Bearer 0123456789abcdef"));
  CHECK(token.value().Authorizes("Bearer fedcba9876543210"));
  std::filesystem::remove(path);
  CHECK(!token.value().Authorizes("Bearer fedcba9876543210"));
}
