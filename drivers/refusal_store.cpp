#include "drivers/refusal_store.h"

#include "core/log_event.h"
#include "messages/refusal_codec.h"

#include <fcntl.h>
#include <unistd.h>

namespace hibiscusspool {

namespace {

constexpr wall_ms kMsPerDay = 86'400'000;
const std::string kPrefix = "refusals-";

void
LogUnreadable(const std::string& aCause)
{
  log_event("refusals_unreadable", log_event::severity::Warning)
    .Add("cause", aCause);
}

}

refusal_store::~refusal_store()
{
  if (mOpenFile != nullptr && mOpenFile->mFile >= 0) {
    close(mOpenFile->mFile);
  }
}

result<refusal_store, file_error>
refusal_store::Create(const std::filesystem::path& aFolder,
                      std::int64_t aRetentionDays)
{
  std::error_code problem;
  std::filesystem::create_directories(aFolder, problem);
  if (problem) {
    return Fail(file_error::CannotWrite,
                aFolder.string() + ": " + problem.message());
  }
  return refusal_store(aFolder, aRetentionDays);
}

std::vector<std::int64_t>
refusal_store::Days() const
{
  std::vector<std::int64_t> days;
  auto numbers = FileNumbers(mFolder, kPrefix);
  if (!numbers) {
    LogUnreadable(numbers.error().mDetail);
    return days;
  }
  for (std::uint64_t day : numbers.value()) {
    days.push_back(static_cast<std::int64_t>(day));
  }
  return days;
}

void
refusal_store::DeleteExpiredDays(std::int64_t aToday) const
{
  for (std::int64_t day : Days()) {
    if (day < aToday - mRetentionDays) {
      std::error_code ignored;
      std::filesystem::remove(mFolder / (kPrefix + std::to_string(day)),
                              ignored);
    }
  }
}

result<void, file_error>
refusal_store::OpenDay(std::int64_t aDay)
{
  if (mOpenFile->mDay == aDay && mOpenFile->mFile >= 0) {
    return boost::outcome_v2::success();
  }
  if (mOpenFile->mFile >= 0) {
    close(mOpenFile->mFile);
  }
  std::filesystem::path path = mFolder / (kPrefix + std::to_string(aDay));
  // Reading stops at a batch that a crash truncated, so it would hide all
  // batches appended after it.
  std::size_t validBytes = 0;
  auto bytes = ReadWholeFile(path);
  if (!bytes && bytes.error().mCode != file_error::NotFound) {
    return bytes.error();
  }
  if (bytes) {
    while (auto next = ParseFrame(bytes.value(), validBytes)) {
      validBytes = next->mEnd;
    }
    if (validBytes < bytes.value().size()) {
      log_event("refusals_cut", log_event::severity::Warning)
        .Add("file", path.string())
        .Add("offset", validBytes);
      std::error_code problem;
      std::filesystem::resize_file(path, validBytes, problem);
      if (problem) {
        return Fail(file_error::CannotWrite,
                    path.string() + ": " + problem.message());
      }
    }
  }
  mOpenFile->mFile =
    open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  mOpenFile->mDay = aDay;
  mOpenFile->mBytes = validBytes;
  if (mOpenFile->mFile < 0) {
    return Fail(file_error::CannotWrite, "Could not open " + path.string());
  }
  DeleteExpiredDays(aDay);
  return SyncFolder(mFolder);
}

result<void, file_error>
refusal_store::Store(const refusal_batch& aBatch, wall_ms aNow)
{
  wire::RefusalBatch batch;
  WriteRefusals(aBatch, batch);
  std::lock_guard guard(mOpenFile->mLock);
  auto opened = OpenDay(aNow / kMsPerDay);
  if (!opened) {
    return opened.error();
  }
  std::string bytes = MakeFrame(batch.SerializeAsString());
  auto stored = AppendAndSync(mOpenFile->mFile, bytes);
  if (stored) {
    mOpenFile->mBytes += bytes.size();
    return stored;
  }
  // Part of the batch would hide those that are appended after it.
  auto size = static_cast<off_t>(mOpenFile->mBytes);
  if (ftruncate(mOpenFile->mFile, size) != 0) {
    // Opened again, the file is cut.
    close(mOpenFile->mFile);
    mOpenFile->mFile = -1;
  }
  return stored;
}

std::vector<refusal_batch>
refusal_store::Read(wall_ms aFrom) const
{
  std::vector<refusal_batch> batches;
  for (std::int64_t day : Days()) {
    if (day < aFrom / kMsPerDay) {
      continue;
    }
    auto bytes = ReadWholeFile(mFolder / (kPrefix + std::to_string(day)));
    if (!bytes) {
      LogUnreadable(bytes.error().mDetail);
    }
    std::size_t offset = 0;
    while (bytes) {
      auto next = ParseFrame(bytes.value(), offset);
      wire::RefusalBatch batch;
      if (!next || !batch.ParseFromString(next->mPayload)) {
        break;
      }
      batches.push_back(ReadRefusals(batch));
      offset = next->mEnd;
    }
  }
  return batches;
}

}
