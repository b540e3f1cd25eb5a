#pragma once

#include "core/failure.h"
#include "decisions/group/process_phase.h"
#include "drivers/synced_file.h"

#include <filesystem>
#include <optional>
#include <string>

namespace hibiscusspool {

/** What the process before this one left. */
struct previous_process
{
  process_record mRecord;
  /** The line that it wrote when it ended by itself, or empty. */
  std::string mLastWords;
};

/**
 * The file in which a process says how far it has come and why it ended, for
 * the next one on the same host. It is not synced: after a loss of power, the
 * cause of the end is known anyway.
 */
class process_file
{
  int mFile;
  process_record mRecord;
  std::optional<previous_process> mPrevious;

  process_file(int aFile, std::optional<previous_process> aPrevious);
  void Write() const;

public:
  process_file(const process_file&) = delete;
  process_file& operator=(const process_file&) = delete;
  process_file(process_file&& aOther) noexcept;
  process_file& operator=(process_file&&) = delete;
  ~process_file();

  /** Reads what the process before left in an existing folder, and writes that
   * this one is starting. */
  static result<process_file, file_error> Create(
    const std::filesystem::path& aFolder);

  [[nodiscard]] const process_record& Record() const { return mRecord; }
  /** Nothing at the first start. */
  [[nodiscard]] const std::optional<previous_process>& Previous() const
  {
    return mPrevious;
  }
  /** The open file, to which the last words of this process are appended. */
  [[nodiscard]] int File() const { return mFile; }
  void SetPhase(process_phase aPhase);
};

}
