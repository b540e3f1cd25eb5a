#pragma once

#include "core/failure.h"
#include "core/name_table.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusspool {

enum class file_error
{
  /** There is no such file, as opposed to one that can't be looked at. */
  NotFound,
  CannotRead,
  CannotWrite,
};

template<>
inline constexpr name_table<file_error, 3> kNames<file_error>{ {
  { file_error::NotFound, "not_found" },
  { file_error::CannotRead, "cannot_read" },
  { file_error::CannotWrite, "cannot_write" },
} };

/** All bytes of a file; a read that fails halfway is an error. */
result<std::string, file_error>
ReadWholeFile(const std::filesystem::path& aPath);

/** Syncs a folder, so that the creation and removal of its files is durable. */
result<void, file_error>
SyncFolder(const std::filesystem::path& aFolder);

/** The sorted numbers of a folder's files that are named by this prefix and a
 * number. */
result<std::vector<std::uint64_t>, file_error>
FileNumbers(const std::filesystem::path& aFolder, const std::string& aPrefix);

/** Writes all bytes to an open file. */
result<void, file_error>
WriteAll(int aFile, const std::string& aBytes);

/** Appends all bytes to an open file and syncs its data. */
result<void, file_error>
AppendAndSync(int aFile, const std::string& aBytes);

/** A sequence of bytes in a file, protected by checksums. */
struct frame
{
  std::string mPayload;
  /** Offset of the byte after the frame. */
  std::size_t mEnd = 0;
};

/** The payload behind a header with magic number, length and two hashes. */
std::string
MakeFrame(const std::string& aPayload);

/** Reads the frame at an offset; nothing if the bytes there are not one
 * complete frame. */
std::optional<frame>
ParseFrame(const std::string& aBytes, std::size_t aOffset);

/** True if a complete frame starts anywhere after an offset. */
bool
HasFrameAfter(const std::string& aBytes, std::size_t aOffset);

}
