#pragma once

#include "drivers/data_folder.h"

#include <filesystem>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hibiscusspool::tests {

/** The files of a folder, by name. */
using folder_state = std::map<std::string, std::string>;

/**
 * Follows the operations on a folder and derives the states that a loss of
 * power may leave: each write and resize since a file's last sync is there,
 * missing or torn; each name that was created, renamed or removed since the
 * folder's last sync is kept or lost, independently of the others. A new file
 * is durable with its own sync.
 */
class crash_disk
{
  struct change
  {
    bool mIsResize = false;
    std::uint64_t mOffset = 0;
    std::string mBytes;
  };
  struct file
  {
    std::string mSynced;
    std::vector<change> mPending;
  };
  struct name_change
  {
    std::string mOldName;
    std::string mNewName;
    std::size_t mFile = 0;
  };

  std::vector<file> mFiles;
  std::map<std::string, std::size_t> mNames;
  std::map<std::string, std::size_t> mSyncedNames;
  std::vector<name_change> mPendingNames;

  [[nodiscard]] std::vector<std::size_t> ChoiceCounts() const;
  [[nodiscard]] folder_state MakeState(
    const std::vector<std::size_t>& aChoices) const;

public:
  /** A disk that holds these files, all of them synced. */
  explicit crash_disk(const folder_state& aFiles);

  void Follow(const file_operation& aOperation);
  /** The files as they are now, synced or not: what a killed process leaves. */
  [[nodiscard]] folder_state FilesInPlace() const;
  /** The files without anything that is not synced. */
  [[nodiscard]] folder_state SyncedFiles() const;
  /** All states that a loss of power may leave now, or that many of them,
   * drawn at random. */
  [[nodiscard]] std::vector<folder_state> States(
    std::size_t aMax,
    std::mt19937_64& aRandom) const;
};

/** Replaces a folder's files by those of a state. */
void
WriteState(const std::filesystem::path& aFolder, const folder_state& aState);

}
