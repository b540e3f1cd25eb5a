#include "drivers/data_folder.h"

#include "core/log_event.h"

#include <cerrno>
#include <cstring>

#include <fcntl.h>
#include <unistd.h>

namespace hibiscusspool {

namespace {

/** Ends the name of a new file until it replaces the old one. */
const std::string kUnfinishedSuffix = ".new";

failure<file_error>
FailWithErrno(file_error aCode, const std::filesystem::path& aPath)
{
  return Fail(aCode, aPath.string() + ": " + std::strerror(errno));
}

}

result<data_folder, file_error>
data_folder::Create(const std::filesystem::path& aPath, file_observer aObserver)
{
  std::error_code problem;
  std::vector<std::filesystem::path> missing;
  for (auto path = std::filesystem::absolute(aPath, problem);
       path.has_relative_path() && !std::filesystem::exists(path, problem);
       path = path.parent_path()) {
    missing.push_back(path);
  }
  std::filesystem::create_directories(aPath, problem);
  if (problem) {
    return Fail(file_error::CannotWrite,
                aPath.string() + ": " + problem.message());
  }
  // A loss of power could take a new folder away, with all its files. An
  // earlier attempt may have created this one and failed to sync it.
  if (missing.empty()) {
    missing.push_back(std::filesystem::absolute(aPath, problem));
  }
  for (const std::filesystem::path& path : missing) {
    auto synced = SyncFolder(path.parent_path());
    if (!synced) {
      return synced.error();
    }
  }
  data_folder folder(aPath, std::move(aObserver));
  folder.Report({ file_operation_kind::FolderSynced, "..", {}, 0, {} });
  return folder;
}

void
data_folder::Report(const file_operation& aOperation) const
{
  if (mObserver) {
    mObserver(aOperation);
  }
}

result<std::vector<std::uint64_t>, file_error>
data_folder::Numbers(const std::string& aPrefix) const
{
  return FileNumbers(mPath, aPrefix);
}

result<bool, file_error>
data_folder::Contains(const std::string& aName) const
{
  std::error_code problem;
  bool exists = std::filesystem::exists(mPath / aName, problem);
  if (problem) {
    return Fail(file_error::CannotRead,
                (mPath / aName).string() + ": " + problem.message());
  }
  return exists;
}

result<std::uint64_t, file_error>
data_folder::Size(const std::string& aName) const
{
  std::error_code problem;
  std::uint64_t size = std::filesystem::file_size(mPath / aName, problem);
  if (problem) {
    return Fail(file_error::CannotRead,
                (mPath / aName).string() + ": " + problem.message());
  }
  return size;
}

result<std::string, file_error>
data_folder::Read(const std::string& aName) const
{
  return ReadWholeFile(mPath / aName);
}

result<frame_reader, file_error>
data_folder::OpenFrames(const std::string& aName) const
{
  return frame_reader::Open(mPath / aName);
}

result<int, file_error>
data_folder::OpenForAppend(const std::string& aName) const
{
  auto exists = Contains(aName);
  if (!exists) {
    return exists.error();
  }
  std::filesystem::path path = mPath / aName;
  int file =
    open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file < 0) {
    return FailWithErrno(file_error::CannotWrite, path);
  }
  if (!exists.value()) {
    Report({ file_operation_kind::Created, aName, {}, 0, {} });
  }
  return file;
}

result<void, file_error>
data_folder::Append(int aFile,
                    const std::string& aName,
                    std::uint64_t aSize,
                    const std::string& aBytes) const
{
  auto written = WriteAll(aFile, aBytes);
  if (!written) {
    return written.error();
  }
  Report({ file_operation_kind::Written, aName, {}, aSize, aBytes });
  if (fdatasync(aFile) != 0) {
    return FailWithErrno(file_error::CannotWrite, mPath / aName);
  }
  Report({ file_operation_kind::Synced, aName, {}, 0, {} });
  return boost::outcome_v2::success();
}

result<void, file_error>
data_folder::Resize(const std::string& aName, std::uint64_t aSize) const
{
  return ChangeAndSync(aName, aSize);
}

result<void, file_error>
data_folder::SyncFile(const std::string& aName) const
{
  return ChangeAndSync(aName, std::nullopt);
}

result<void, file_error>
data_folder::ChangeAndSync(const std::string& aName,
                           std::optional<std::uint64_t> aNewSize) const
{
  std::filesystem::path path = mPath / aName;
  int file = open(path.c_str(), O_WRONLY | O_CLOEXEC);
  if (file < 0) {
    return FailWithErrno(file_error::CannotWrite, path);
  }
  bool isChanged =
    !aNewSize || ftruncate(file, static_cast<off_t>(*aNewSize)) == 0;
  if (aNewSize && isChanged) {
    Report({ file_operation_kind::Resized, aName, {}, *aNewSize, {} });
  }
  bool isSynced = isChanged && fdatasync(file) == 0;
  int cause = errno;
  close(file);
  if (!isSynced) {
    errno = cause;
    return FailWithErrno(file_error::CannotWrite, path);
  }
  Report({ file_operation_kind::Synced, aName, {}, 0, {} });
  return boost::outcome_v2::success();
}

result<void, file_error>
data_folder::Replace(const std::string& aName, const std::string& aBytes) const
{
  std::string temporary = aName + kUnfinishedSuffix;
  std::filesystem::path path = mPath / temporary;
  int file = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (file < 0) {
    return FailWithErrno(file_error::CannotWrite, path);
  }
  Report({ file_operation_kind::Created, temporary, {}, 0, {} });
  auto written = Append(file, temporary, 0, aBytes);
  close(file);
  if (!written) {
    // It may hold space that the next attempt needs.
    Remove(temporary);
    return written.error();
  }
  if (rename(path.c_str(), (mPath / aName).c_str()) != 0) {
    return FailWithErrno(file_error::CannotWrite, mPath / aName);
  }
  Report({ file_operation_kind::Renamed, temporary, aName, 0, {} });
  return Sync();
}

void
data_folder::Remove(const std::string& aName) const
{
  std::error_code problem;
  std::filesystem::remove(mPath / aName, problem);
  if (problem) {
    log_event("file_not_removed", log_event::severity::Warning)
      .Add("file", (mPath / aName).string())
      .Add("cause", problem.message());
    return;
  }
  Report({ file_operation_kind::Removed, aName, {}, 0, {} });
}

void
data_folder::RemoveUnfinished() const
{
  std::error_code problem;
  std::vector<std::string> unfinished;
  for (std::filesystem::directory_iterator entry(mPath, problem), end;
       !problem && entry != end;
       entry.increment(problem)) {
    std::string name = entry->path().filename().string();
    if (name.ends_with(kUnfinishedSuffix)) {
      unfinished.push_back(std::move(name));
    }
  }
  if (problem) {
    // They are removed at a later start.
    log_event("old_files_kept", log_event::severity::Warning)
      .Add("prefix", "*" + kUnfinishedSuffix)
      .Add("cause", problem.message());
  }
  for (const std::string& name : unfinished) {
    log_event("unfinished_file_removed").Add("file", (mPath / name).string());
    Remove(name);
  }
}

result<void, file_error>
data_folder::Sync() const
{
  auto synced = SyncFolder(mPath);
  if (synced) {
    Report({ file_operation_kind::FolderSynced, {}, {}, 0, {} });
  }
  return synced;
}

}
