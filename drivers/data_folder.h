#pragma once

#include "core/failure.h"
#include "core/name_table.h"
#include "drivers/synced_file.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusspool {

enum class file_operation_kind
{
  Created,
  Written,
  Resized,
  Synced,
  Renamed,
  Removed,
  FolderSynced,
};

template<>
inline constexpr name_table<file_operation_kind, 7> kNames<file_operation_kind>{
  {
    { file_operation_kind::Created, "created" },
    { file_operation_kind::Written, "written" },
    { file_operation_kind::Resized, "resized" },
    { file_operation_kind::Synced, "synced" },
    { file_operation_kind::Renamed, "renamed" },
    { file_operation_kind::Removed, "removed" },
    { file_operation_kind::FolderSynced, "folder_synced" },
  }
};

/** One operation on a folder's files that has succeeded. */
struct file_operation
{
  file_operation_kind mKind = file_operation_kind::Written;
  /** The file's name in the folder; for a renamed file, the old one. For a
   * synced folder, ".." if it is the one that holds this folder. */
  std::string mName;
  std::string mNewName;
  /** Where the bytes were written, or the new size of a resized file. */
  std::uint64_t mOffset = 0;
  std::string mBytes;
};

/** Called after each operation, in order. */
using file_observer = std::function<void(const file_operation&)>;

/**
 * The files of one folder. What may be left of them after a loss of power
 * depends on the order of writes and syncs, so each operation is reported to an
 * observer, from which tests derive every such state.
 */
class data_folder
{
  std::filesystem::path mPath;
  file_observer mObserver;

  data_folder(std::filesystem::path aPath, file_observer aObserver)
    : mPath(std::move(aPath))
    , mObserver(std::move(aObserver))
  {
  }

  void Report(const file_operation& aOperation) const;
  /** Sets a file's size, if one is given, and syncs it. */
  [[nodiscard]] result<void, file_error> ChangeAndSync(
    const std::string& aName,
    std::optional<std::uint64_t> aNewSize) const;

public:
  /** Opens the folder and creates it if it is missing. */
  static result<data_folder, file_error> Create(
    const std::filesystem::path& aPath,
    file_observer aObserver);

  [[nodiscard]] const std::filesystem::path& Path() const { return mPath; }
  /** The sorted numbers of the files that are named by this prefix and a
   * number. */
  [[nodiscard]] result<std::vector<std::uint64_t>, file_error> Numbers(
    const std::string& aPrefix) const;
  /** False only if there is no such file; one that can't be looked at is an
   * error. */
  [[nodiscard]] result<bool, file_error> Contains(
    const std::string& aName) const;
  /** A file's size in bytes. */
  [[nodiscard]] result<std::uint64_t, file_error> Size(
    const std::string& aName) const;
  [[nodiscard]] result<std::string, file_error> Read(
    const std::string& aName) const;
  /** Opens a file to read it frame by frame. */
  [[nodiscard]] result<frame_reader, file_error> OpenFrames(
    const std::string& aName) const;

  /** Opens a file to append to it, and creates it if it is missing; returns
   * its descriptor, which the caller closes. */
  [[nodiscard]] result<int, file_error> OpenForAppend(
    const std::string& aName) const;
  /** Appends all bytes to an open file of `aSize` bytes, and syncs it. */
  [[nodiscard]] result<void, file_error> Append(
    int aFile,
    const std::string& aName,
    std::uint64_t aSize,
    const std::string& aBytes) const;
  /** Sets a file's size and syncs it: otherwise the bytes that were cut off may
   * return after a loss of power. */
  [[nodiscard]] result<void, file_error> Resize(const std::string& aName,
                                                std::uint64_t aSize) const;
  /** Makes a file's bytes durable, also those that an earlier process wrote. */
  [[nodiscard]] result<void, file_error> SyncFile(
    const std::string& aName) const;
  /** Replaces a file by one with these bytes: writes and syncs a new file,
   * renames it, syncs the folder. */
  [[nodiscard]] result<void, file_error> Replace(
    const std::string& aName,
    const std::string& aBytes) const;
  /** Removes a file; logs a warning if that fails. */
  void Remove(const std::string& aName) const;
  /** Removes the new files of replacements that were cut off. */
  void RemoveUnfinished() const;
  /** Makes creations, renames and removals durable. */
  [[nodiscard]] result<void, file_error> Sync() const;
};

}
