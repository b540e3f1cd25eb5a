#include "drivers/raft_storage.h"
#include "tests/drivers/crash_disk.h"

#include <functional>
#include <iostream>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;
using namespace hibiscusspool::tests;

constexpr std::uint64_t kSeed = 20261205;

/** What a member holds: hard state, and the log after a snapshot. */
struct member_state
{
  raft_term mTerm = 0;
  log_index mSnapshot = 0;
  std::map<log_index, raft_entry> mEntries;

  void Append(const std::vector<raft_entry>& aEntries)
  {
    for (const raft_entry& entry : aEntries) {
      mEntries.erase(mEntries.lower_bound(entry.mIndex), mEntries.end());
      mEntries[entry.mIndex] = entry;
    }
  }
};

/** One call on the storage. */
struct storage_step
{
  raft_actions mActions;
  /** Set for a step that stores a snapshot, with the log after it. */
  std::optional<raft_snapshot> mSnapshot;
  std::deque<raft_entry> mTail;

  [[nodiscard]] result<void, storage_error> Run(raft_storage& aStorage) const
  {
    if (mSnapshot) {
      return aStorage.StoreSnapshot(*mSnapshot, *mActions.mHardState, mTail);
    }
    return aStorage.Persist(mActions);
  }

  [[nodiscard]] member_state After(member_state aBefore) const
  {
    aBefore.mTerm = mActions.mHardState->mTerm;
    if (mSnapshot) {
      aBefore.mSnapshot = mSnapshot->mIndex;
      aBefore.mEntries.clear();
      aBefore.Append({ mTail.begin(), mTail.end() });
    } else {
      aBefore.Append(mActions.mAppend);
    }
    return aBefore;
  }
};

raft_entry
Entry(log_index aIndex, raft_term aTerm)
{
  constexpr std::size_t kPayloadBytes = 40;
  std::string payload = std::to_string(aTerm) + ":" + std::to_string(aIndex);
  return { aTerm, aIndex, payload + std::string(kPayloadBytes, 'p'), {} };
}

storage_step
Write(log_index aFirst, log_index aLast, raft_term aTerm)
{
  storage_step step;
  step.mActions.mHardState = raft_hard_state{ aTerm, {} };
  for (log_index index = aFirst; index <= aLast; ++index) {
    step.mActions.mAppend.push_back(Entry(index, aTerm));
  }
  return step;
}

storage_step
Snapshot(log_index aIndex, raft_term aTerm, std::deque<raft_entry> aTail)
{
  storage_step step;
  step.mActions.mHardState = raft_hard_state{ aTerm, {} };
  step.mSnapshot = raft_snapshot{ aIndex, aTerm, {}, "state" };
  step.mTail = std::move(aTail);
  return step;
}

}

TEST_GROUP(raft_storage_crash)
{
  std::filesystem::path mFolder;
  std::mt19937_64 mRandom{ kSeed };
  std::size_t mOpened = 0;

  void setup() override
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "raft-crash-XXXXXX").string();
    mFolder = mkdtemp(pattern.data());
  }
  void teardown() override
  {
    std::filesystem::remove_all(mFolder);
  }

  static void Fail(const std::string& aWhat, const folder_state& aState)
  {
    std::string text = "seed " + std::to_string(kSeed) + ": " + aWhat + " (";
    for (const auto& [name, content] : aState) {
      text += " " + name + "=" + std::to_string(content.size());
    }
    FAIL((text + " )").c_str());
  }

  static bool Holds(const raft_persistent_state& aKept,
                    const member_state& aExpected)
  {
    log_index snapshot = aKept.mSnapshot.mIndex;
    auto expected = aExpected.mEntries.upper_bound(snapshot);
    for (const raft_entry& entry : aKept.mEntries) {
      if (expected == aExpected.mEntries.end() || entry != expected->second) {
        return false;
      }
      ++expected;
    }
    return expected == aExpected.mEntries.end() &&
           aKept.mHardState.mTerm == aExpected.mTerm &&
           snapshot >= aExpected.mSnapshot;
  }

  /** Runs the steps on a disk in a state, and calls `aCheck` at each point at
   * which power may be lost, with what was acknowledged and what may be. */
  using crash_check = std::function<void(
    const crash_disk&, const member_state&, const member_state&)>;
  void Play(const folder_state& aState,
            const member_state& aHeld,
            const std::vector<storage_step>& aSteps,
            const crash_check& aCheck)
  {
    PlayOn(crash_disk(aState), aHeld, aHeld, aSteps, aCheck);
  }

  /** As `Play`, in a new process on a disk as a killed one left it. Of what it
   * reads, only `aDurable` need be synced until it has opened the storage. */
  void PlayOn(crash_disk aDisk,
              const member_state& aDurable,
              member_state aRead,
              const std::vector<storage_step>& aSteps,
              const crash_check& aCheck)
  {
    const folder_state state = aDisk.FilesInPlace();
    WriteState(mFolder, state);
    member_state held = aDurable;
    member_state next = aRead;
    std::vector<std::function<void()>> checks;
    auto observe = [&](const file_operation& aOperation) {
      aDisk.Follow(aOperation);
      checks.push_back(
        [aDisk, held, next, &aCheck] { aCheck(aDisk, held, next); });
    };
    {
      auto storage = raft_storage::Create(mFolder, "disk", observe);
      if (!storage) {
        Fail(storage.error().mDetail, state);
      }
      held = std::move(aRead);
      for (const storage_step& step : aSteps) {
        next = step.After(held);
        CHECK(step.Run(storage.value()).has_value());
        held = next;
        checks.push_back([aDisk, held, &aCheck] { aCheck(aDisk, held, held); });
      }
    }
    for (const auto& check : checks) {
      check();
    }
  }

  /** Opens the storage in a state and returns what it holds, which must be
   * one of the two. */
  member_state Open(const folder_state& aState,
                    const member_state& aHeld,
                    const member_state& aNext)
  {
    WriteState(mFolder, aState);
    auto storage = raft_storage::Create(mFolder, "disk");
    ++mOpened;
    if (!storage) {
      Fail(storage.error().mDetail, aState);
    }
    raft_persistent_state kept = storage.value().TakePersisted();
    if (!Holds(kept, aHeld) && !Holds(kept, aNext)) {
      Fail("acknowledged entries are missing or dropped ones are back", aState);
    }
    member_state found;
    found.mTerm = kept.mHardState.mTerm;
    found.mSnapshot = kept.mSnapshot.mIndex;
    found.Append(kept.mEntries);
    return found;
  }

  /** Opens every state that a loss of power may leave during the steps, and
   * some of those that a second loss of power may leave after that. */
  void LosePower(const std::vector<storage_step>& aSteps)
  {
    constexpr std::size_t kStatesOnce = 300;
    constexpr std::size_t kStatesTwice = 12;
    Play({},
         {},
         aSteps,
         [&](const crash_disk& aDisk,
             const member_state& aHeld,
             const member_state& aNext) {
           for (const folder_state& state :
                aDisk.States(kStatesOnce, mRandom)) {
             member_state found = Open(state, aHeld, aNext);
             if (mRandom() % 4 == 0) {
               LosePowerAgain(state, found, kStatesTwice);
             }
           }
         });
  }

  /** Kills the process after each operation of the steps, lets the next one
   * write on, and opens states that a loss of power may leave after that. */
  void KillThenLosePower(const std::vector<storage_step>& aSteps)
  {
    constexpr std::size_t kStates = 40;
    Play({},
         {},
         aSteps,
         [&](const crash_disk& aKilled,
             const member_state& aHeld,
             const member_state& aNext) {
           // What the next process reads, it answers for.
           member_state found = Open(aKilled.FilesInPlace(), aHeld, aNext);
           PlayOn(aKilled,
                  aHeld,
                  found,
                  WritesAfter(found),
                  [&](const crash_disk& aDisk,
                      const member_state& aOldest,
                      const member_state& aNewest) {
                    for (const folder_state& state :
                         aDisk.States(kStates, mRandom)) {
                      Open(state, aOldest, aNewest);
                    }
                  });
         });
  }

  static std::vector<storage_step> WritesAfter(const member_state& aHeld)
  {
    log_index last =
      aHeld.mEntries.empty() ? aHeld.mSnapshot : aHeld.mEntries.rbegin()->first;
    return { Write(last + 1, last + 2, aHeld.mTerm + 1) };
  }

  void LosePowerAgain(
    const folder_state& aState, const member_state& aHeld, std::size_t aStates)
  {
    Play(aState,
         aHeld,
         WritesAfter(aHeld),
         [&](const crash_disk& aDisk,
             const member_state& aOldest,
             const member_state& aNewest) {
           for (const folder_state& state : aDisk.States(aStates, mRandom)) {
             Open(state, aOldest, aNewest);
           }
         });
  }
};

TEST(raft_storage_crash, OpensWithAllThatWasAcknowledgedAfterWrites)
{
  LosePower({ Write(1, 3, 1), Write(4, 5, 1), Write(4, 6, 2) });
  CHECK(mOpened > 100);
}

TEST(raft_storage_crash, OpensWithAllThatWasAcknowledgedAfterSnapshots)
{
  LosePower({ Write(1, 3, 1),
              Snapshot(2, 1, { Entry(3, 1) }),
              Write(4, 5, 1),
              Write(5, 6, 2),
              Snapshot(6, 2, {}),
              Write(7, 7, 2) });
  CHECK(mOpened > 100);
}

TEST(raft_storage_crash, EntriesThatASnapshotReplacedStayDropped)
{
  LosePower({ Write(1, 3, 1),
              Snapshot(1, 1, { Entry(2, 1), Entry(3, 1) }),
              Write(4, 4, 1),
              Write(5, 6, 1),
              Snapshot(4, 3, {}),
              Write(5, 5, 3) });
  CHECK(mOpened > 100);
}

TEST(raft_storage_crash, WhatAKilledProcessHadNotSyncedIsNotLostLaterWithPower)
{
  KillThenLosePower({ Write(1, 3, 1),
                      Write(4, 6, 2),
                      Snapshot(4, 2, { Entry(5, 2), Entry(6, 2) }),
                      Write(7, 7, 2) });
  CHECK(mOpened > 100);
}
