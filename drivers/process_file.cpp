#include "drivers/process_file.h"

#include "core/log_event.h"

#include <cerrno>
#include <cstring>
#include <sstream>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace hibiscusspool {

namespace {

const std::string kFileName = "process";

/** Nothing if the text, which may be cut short, holds no record. */
std::optional<previous_process>
ParsePrevious(const std::string& aText)
{
  std::istringstream text(aText);
  std::string phaseName;
  previous_process previous;
  text >> phaseName >> previous.mRecord.mEarlyEnds;
  auto phase = ValueOf<process_phase>(phaseName);
  if (!text || !phase) {
    return std::nullopt;
  }
  previous.mRecord.mPhase = *phase;
  text.ignore();
  std::getline(text, previous.mLastWords);
  return previous;
}

}

process_file::process_file(int aFile, std::optional<previous_process> aPrevious)
  : mFile(aFile)
  , mRecord(
      NextProcess(aPrevious ? std::optional(aPrevious->mRecord) : std::nullopt))
  , mPrevious(std::move(aPrevious))
{
}

process_file::process_file(process_file&& aOther) noexcept
  : mFile(std::exchange(aOther.mFile, -1))
  , mRecord(aOther.mRecord)
  , mPrevious(std::move(aOther.mPrevious))
{
}

process_file::~process_file()
{
  if (mFile >= 0) {
    close(mFile);
  }
}

result<process_file, file_error>
process_file::Create(const std::filesystem::path& aFolder)
{
  std::filesystem::path path = aFolder / kFileName;
  std::optional<previous_process> previous;
  auto text = ReadWholeFile(path);
  if (text) {
    previous = ParsePrevious(text.value());
  }
  int file =
    open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file < 0) {
    return Fail(file_error::CannotWrite,
                path.string() + ": " + std::strerror(errno));
  }
  process_file created(file, std::move(previous));
  created.Write();
  return created;
}

void
process_file::SetPhase(process_phase aPhase)
{
  mRecord.mPhase = aPhase;
  Write();
}

void
process_file::Write() const
{
  std::string text = std::string(NameOf(mRecord.mPhase)) + ' ' +
                     std::to_string(mRecord.mEarlyEnds) + '\n';
  bool isCut = ftruncate(mFile, 0) == 0;
  auto written = WriteAll(mFile, text);
  if (!isCut || !written) {
    log_event("process_file_not_written", log_event::severity::Warning)
      .Add("cause", written ? "ftruncate" : written.error().mDetail);
  }
}

}
