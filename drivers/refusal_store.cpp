#include "drivers/refusal_store.h"

#include "core/log_event.h"
#include "messages/refusal_codec.h"

#include <algorithm>
#include <charconv>

#include <fcntl.h>
#include <unistd.h>

namespace hibiscusspool {

namespace {

constexpr wall_ms kDayMs = 86'400'000;
const std::string kPrefix = "refusals-";

}

refusal_store::~refusal_store()
{
  if (mOpen != nullptr && mOpen->mFile >= 0) {
    close(mOpen->mFile);
  }
}

result<refusal_store, file_error>
refusal_store::Create(const std::filesystem::path& aFolder,
                      std::int64_t aDaysKept)
{
  std::error_code problem;
  std::filesystem::create_directories(aFolder, problem);
  if (problem) {
    return Fail(file_error::CannotWrite,
                aFolder.string() + ": " + problem.message());
  }
  return refusal_store(aFolder, aDaysKept);
}

std::vector<std::int64_t>
refusal_store::Days() const
{
  std::vector<std::int64_t> days;
  std::error_code problem;
  for (const auto& file :
       std::filesystem::directory_iterator(mFolder, problem)) {
    std::string name = file.path().filename().string();
    std::int64_t day = 0;
    bool isOurs = name.starts_with(kPrefix);
    if (isOurs) {
      std::from_chars(
        name.data() + kPrefix.size(), name.data() + name.size(), day);
      days.push_back(day);
    }
  }
  std::sort(days.begin(), days.end());
  return days;
}

void
refusal_store::DropOldDays(std::int64_t aToday) const
{
  for (std::int64_t day : Days()) {
    if (day < aToday - mDaysKept) {
      std::error_code ignored;
      std::filesystem::remove(mFolder / (kPrefix + std::to_string(day)),
                              ignored);
    }
  }
}

result<void, file_error>
refusal_store::OpenDay(std::int64_t aDay)
{
  if (mOpen->mDay == aDay && mOpen->mFile >= 0) {
    return boost::outcome_v2::success();
  }
  if (mOpen->mFile >= 0) {
    close(mOpen->mFile);
  }
  std::filesystem::path path = mFolder / (kPrefix + std::to_string(aDay));
  // A batch that was cut short by a crash would hide all that follows it.
  std::size_t whole = 0;
  if (auto bytes = ReadWholeFile(path)) {
    frame next;
    while (whole < bytes.value().size() &&
           (next = ParseFrame(bytes.value(), whole)).mState ==
             frame_state::Complete) {
      whole = next.mEnd;
    }
    if (whole < bytes.value().size()) {
      log_event("refusals_cut", log_event::severity::Warning)
        .Add("file", path.string())
        .Add("offset", whole);
      std::filesystem::resize_file(path, whole);
    }
  }
  mOpen->mFile =
    open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  mOpen->mDay = aDay;
  if (mOpen->mFile < 0) {
    return Fail(file_error::CannotWrite, "Can't open " + path.string());
  }
  DropOldDays(aDay);
  return SyncFolder(mFolder);
}

result<void, file_error>
refusal_store::Store(const refusal_batch& aBatch, wall_ms aNow)
{
  wire::RefusalBatch batch;
  WriteRefusals(aBatch, batch);
  std::lock_guard guard(mOpen->mLock);
  auto opened = OpenDay(aNow / kDayMs);
  if (!opened) {
    return opened.error();
  }
  return AppendAndSync(mOpen->mFile, MakeFrame(batch.SerializeAsString()));
}

std::vector<refusal_batch>
refusal_store::Read(wall_ms aFrom) const
{
  std::vector<refusal_batch> batches;
  for (std::int64_t day : Days()) {
    if (day < aFrom / kDayMs) {
      continue;
    }
    auto bytes = ReadWholeFile(mFolder / (kPrefix + std::to_string(day)));
    std::size_t offset = 0;
    while (bytes && offset < bytes.value().size()) {
      frame next = ParseFrame(bytes.value(), offset);
      wire::RefusalBatch batch;
      if (next.mState != frame_state::Complete ||
          !batch.ParseFromString(next.mPayload)) {
        break;
      }
      batches.push_back(ReadRefusals(batch));
      offset = next.mEnd;
    }
  }
  return batches;
}

}
