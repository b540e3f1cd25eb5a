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
MakeFrame(const std::string& aPayload)
{
  frame_header header;
  header.mLength = static_cast<std::uint32_t>(aPayload.size());
  header.mPayloadHash = XXH3_64bits(aPayload.data(), aPayload.size());
  header.mHeaderHash = HashHeader(header);
  std::string bytes(sizeof header, '\0');
  std::memcpy(bytes.data(), &header, sizeof header);
  return bytes + aPayload;
}

std::optional<frame>
ParseFrame(const std::string& aBytes, std::size_t aOffset)
{
  frame_header header;
  if (aBytes.size() < aOffset + sizeof header) {
    return std::nullopt;
  }
  std::memcpy(&header, aBytes.data() + aOffset, sizeof header);
  std::size_t start = aOffset + sizeof header;
  bool isHeaderValid = header.mMagic == kMagic &&
                       header.mHeaderHash == HashHeader(header) &&
                       header.mLength <= kMaxPayloadBytes;
  if (!isHeaderValid || aBytes.size() - start < header.mLength) {
    return std::nullopt;
  }
  bool isPayloadValid =
    XXH3_64bits(aBytes.data() + start, header.mLength) == header.mPayloadHash;
  if (!isPayloadValid) {
    return std::nullopt;
  }
  return frame{ aBytes.substr(start, header.mLength), start + header.mLength };
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

}
