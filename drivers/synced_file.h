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

/** The beginning of a frame whose payload the caller appends. */
std::string
StartFrame();

/** Completes a frame that `StartFrame` began; the payload is not copied. */
void
SealFrame(std::string& aFrame);

/** Reads the frame at an offset; nothing if the bytes there are not one
 * complete frame. */
std::optional<frame>
ParseFrame(const std::string& aBytes, std::size_t aOffset);

/** True if a complete frame starts anywhere after an offset. */
bool
HasFrameAfter(const std::string& aBytes, std::size_t aOffset);

/** Reads a file one frame at a time, so that memory doesn't depend on the
 * file's size. */
class frame_reader
{
  std::filesystem::path mPath;
  int mFile = -1;
  std::uint64_t mSize = 0;
  std::uint64_t mOffset = 0;

  frame_reader(std::filesystem::path aPath, int aFile, std::uint64_t aSize)
    : mPath(std::move(aPath))
    , mFile(aFile)
    , mSize(aSize)
  {
  }

  /** Reads up to this many bytes from the offset on; fewer at the end. */
  [[nodiscard]] result<std::string, file_error> ReadAt(
    std::uint64_t aOffset,
    std::uint64_t aBytes) const;

public:
  frame_reader(const frame_reader&) = delete;
  frame_reader& operator=(const frame_reader&) = delete;
  frame_reader(frame_reader&& aOther) noexcept;
  frame_reader& operator=(frame_reader&&) = delete;
  ~frame_reader();

  static result<frame_reader, file_error> Open(
    const std::filesystem::path& aPath);

  /** The payload of the next frame; nothing, and the offset stays, at the end
   * of the file and where the bytes are not one complete frame. */
  result<std::optional<std::string>, file_error> Next();
  /** True if a complete frame starts anywhere after the offset. */
  [[nodiscard]] result<bool, file_error> HasFrameAhead() const;
  /** Where the next frame begins. */
  [[nodiscard]] std::uint64_t Offset() const { return mOffset; }
  [[nodiscard]] std::uint64_t Size() const { return mSize; }
  [[nodiscard]] bool IsAtEnd() const { return mOffset >= mSize; }
};

}
