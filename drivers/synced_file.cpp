#include "drivers/synced_file.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>

#include <fcntl.h>
#include <unistd.h>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

constexpr std::uint32_t kMagic = 0x48705331;
constexpr std::size_t kMaxPayloadBytes = 1U << 30U;
constexpr std::size_t kReadBlockBytes = 64 << 10;

/**
 * Stored in the machine's byte order, which is little-endian on the
 * architectures that Debian packages are built for.
 */
struct frame_header
{
  std::uint32_t mMagic = kMagic;
  std::uint32_t mLength = 0;
  std::uint64_t mPayloadHash = 0;
  std::uint64_t mHeaderHash = 0;
};

std::uint64_t
HashHeader(const frame_header& aHeader)
{
  return XXH3_64bits(&aHeader, offsetof(frame_header, mHeaderHash));
}

/** The header at the start of these bytes, if it is valid. */
std::optional<frame_header>
ParseHeader(std::string_view aBytes)
{
  frame_header header;
  if (aBytes.size() < sizeof header) {
    return std::nullopt;
  }
  std::memcpy(&header, aBytes.data(), sizeof header);
  bool isValid = header.mMagic == kMagic &&
                 header.mHeaderHash == HashHeader(header) &&
                 header.mLength <= kMaxPayloadBytes;
  return isValid ? std::optional(header) : std::nullopt;
}

std::optional<std::uint64_t>
NumberAfter(const std::string& aPrefix, const std::string& aName)
{
  if (!aName.starts_with(aPrefix)) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* start = aName.data() + aPrefix.size();
  const char* end = aName.data() + aName.size();
  auto [stop, problem] = std::from_chars(start, end, number);
  if (problem != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return number;
}

failure<file_error>
FailWithErrno(file_error aCode, const std::filesystem::path& aPath)
{
  return Fail(aCode, aPath.string() + ": " + std::strerror(errno));
}

}

result<std::string, file_error>
ReadWholeFile(const std::filesystem::path& aPath)
{
  int file = open(aPath.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    bool isMissing = errno == ENOENT;
    return FailWithErrno(
      isMissing ? file_error::NotFound : file_error::CannotRead, aPath);
  }
  std::string bytes;
  std::string block(kReadBlockBytes, '\0');
  ssize_t count = 0;
  do {
    count = read(file, block.data(), block.size());
    if (count > 0) {
      bytes.append(block, 0, static_cast<std::size_t>(count));
    }
  } while (count > 0 || (count < 0 && errno == EINTR));
  int cause = errno;
  close(file);
  if (count < 0) {
    errno = cause;
    return FailWithErrno(file_error::CannotRead, aPath);
  }
  return bytes;
}

result<std::vector<std::uint64_t>, file_error>
FileNumbers(const std::filesystem::path& aFolder, const std::string& aPrefix)
{
  std::vector<std::uint64_t> numbers;
  std::error_code problem;
  std::filesystem::directory_iterator file(aFolder, problem);
  while (!problem && file != std::filesystem::directory_iterator()) {
    auto number = NumberAfter(aPrefix, file->path().filename().string());
    if (number) {
      numbers.push_back(*number);
    }
    file.increment(problem);
  }
  if (problem) {
    return Fail(file_error::CannotRead,
                aFolder.string() + ": " + problem.message());
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

result<void, file_error>
WriteAll(int aFile, const std::string& aBytes)
{
  std::size_t written = 0;
  while (written < aBytes.size()) {
    ssize_t count =
      write(aFile, aBytes.data() + written, aBytes.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return FailWithErrno(file_error::CannotWrite, "write");
    }
    written += static_cast<std::size_t>(count);
  }
  return boost::outcome_v2::success();
}

result<void, file_error>
AppendAndSync(int aFile, const std::string& aBytes)
{
  auto written = WriteAll(aFile, aBytes);
  if (!written) {
    return written.error();
  }
  if (fdatasync(aFile) != 0) {
    return FailWithErrno(file_error::CannotWrite, "fdatasync");
  }
  return boost::outcome_v2::success();
}

result<void, file_error>
SyncFolder(const std::filesystem::path& aFolder)
{
  int folder = open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return FailWithErrno(file_error::CannotRead, aFolder);
  }
  int synced = fsync(folder);
  close(folder);
  if (synced != 0) {
    return FailWithErrno(file_error::CannotWrite, aFolder);
  }
  return boost::outcome_v2::success();
}

std::string
StartFrame()
{
  return std::string(sizeof(frame_header), '\0');
}

void
SealFrame(std::string& aFrame)
{
  std::string_view payload =
    std::string_view(aFrame).substr(sizeof(frame_header));
  frame_header header;
  header.mLength = static_cast<std::uint32_t>(payload.size());
  header.mPayloadHash = XXH3_64bits(payload.data(), payload.size());
  header.mHeaderHash = HashHeader(header);
  std::memcpy(aFrame.data(), &header, sizeof header);
}

std::string
MakeFrame(const std::string& aPayload)
{
  std::string bytes = StartFrame();
  bytes += aPayload;
  SealFrame(bytes);
  return bytes;
}

std::optional<frame>
ParseFrame(const std::string& aBytes, std::size_t aOffset)
{
  std::string_view rest = std::string_view(aBytes).substr(aOffset);
  auto header = ParseHeader(rest);
  if (!header || rest.size() - sizeof *header < header->mLength) {
    return std::nullopt;
  }
  std::size_t start = aOffset + sizeof *header;
  bool isPayloadValid =
    XXH3_64bits(aBytes.data() + start, header->mLength) == header->mPayloadHash;
  if (!isPayloadValid) {
    return std::nullopt;
  }
  return frame{ aBytes.substr(start, header->mLength),
                start + header->mLength };
}

bool
HasFrameAfter(const std::string& aBytes, std::size_t aOffset)
{
  std::string magic(sizeof kMagic, '\0');
  std::memcpy(magic.data(), &kMagic, sizeof kMagic);
  std::size_t found = aBytes.find(magic, aOffset + 1);
  while (found != std::string::npos) {
    if (ParseFrame(aBytes, found)) {
      return true;
    }
    found = aBytes.find(magic, found + 1);
  }
  return false;
}

frame_reader::frame_reader(frame_reader&& aOther) noexcept
  : mPath(std::move(aOther.mPath))
  , mFile(std::exchange(aOther.mFile, -1))
  , mSize(aOther.mSize)
  , mOffset(aOther.mOffset)
{
}

frame_reader::~frame_reader()
{
  if (mFile >= 0) {
    close(mFile);
  }
}

result<frame_reader, file_error>
frame_reader::Open(const std::filesystem::path& aPath)
{
  int file = open(aPath.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    bool isMissing = errno == ENOENT;
    return FailWithErrno(
      isMissing ? file_error::NotFound : file_error::CannotRead, aPath);
  }
  frame_reader reader(aPath, file, 0);
  off_t size = lseek(file, 0, SEEK_END);
  if (size < 0) {
    return FailWithErrno(file_error::CannotRead, aPath);
  }
  reader.mSize = static_cast<std::uint64_t>(size);
  return reader;
}

result<std::string, file_error>
frame_reader::ReadAt(std::uint64_t aOffset, std::uint64_t aBytes) const
{
  if (lseek(mFile, static_cast<off_t>(aOffset), SEEK_SET) < 0) {
    return FailWithErrno(file_error::CannotRead, mPath);
  }
  std::string bytes(std::min(aBytes, mSize - std::min(mSize, aOffset)), '\0');
  std::size_t total = 0;
  while (total < bytes.size()) {
    ssize_t count = read(mFile, bytes.data() + total, bytes.size() - total);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return FailWithErrno(file_error::CannotRead, mPath);
    }
    if (count == 0) {
      break;
    }
    total += static_cast<std::size_t>(count);
  }
  bytes.resize(total);
  return bytes;
}

result<std::optional<std::string>, file_error>
frame_reader::Next()
{
  std::optional<std::string> payload;
  auto head = ReadAt(mOffset, sizeof(frame_header));
  if (!head) {
    return head.error();
  }
  auto header = ParseHeader(head.value());
  std::uint64_t start = mOffset + sizeof(frame_header);
  if (!header || mSize - start < header->mLength) {
    return payload;
  }
  auto bytes = ReadAt(start, header->mLength);
  if (!bytes) {
    return bytes.error();
  }
  bool isComplete = bytes.value().size() == header->mLength &&
                    XXH3_64bits(bytes.value().data(), bytes.value().size()) ==
                      header->mPayloadHash;
  if (isComplete) {
    mOffset = start + header->mLength;
    payload = std::move(bytes.value());
  }
  return payload;
}

result<bool, file_error>
frame_reader::HasFrameAhead() const
{
  auto rest = ReadAt(mOffset, mSize - mOffset);
  if (!rest) {
    return rest.error();
  }
  return HasFrameAfter(rest.value(), 0);
}

}
