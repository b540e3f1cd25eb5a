#pragma once

#include "core/failure.h"
#include "decisions/refusal.h"
#include "drivers/synced_file.h"

#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace hibiscusspool {

/**
 * Refusals on a control host's disk: a file for each day, of synced frames.
 * Old days are dropped whole.
 */
class refusal_store
{
  struct open_file
  {
    std::mutex mLock;
    std::int64_t mDay = -1;
    int mFile = -1;
  };

  std::filesystem::path mFolder;
  std::int64_t mDaysKept;
  std::unique_ptr<open_file> mOpen;

  refusal_store(std::filesystem::path aFolder, std::int64_t aDaysKept)
    : mFolder(std::move(aFolder))
    , mDaysKept(aDaysKept)
    , mOpen(std::make_unique<open_file>())
  {
  }

  result<void, file_error> OpenDay(std::int64_t aDay);
  void DropOldDays(std::int64_t aToday) const;
  [[nodiscard]] std::vector<std::int64_t> Days() const;

public:
  refusal_store(refusal_store&&) noexcept = default;
  refusal_store& operator=(refusal_store&&) = delete;
  ~refusal_store();

  static result<refusal_store, file_error> Create(
    const std::filesystem::path& aFolder,
    std::int64_t aDaysKept);

  /** Appends and syncs a batch. */
  result<void, file_error> Store(const refusal_batch& aBatch, wall_ms aNow);
  /** Reads what was stored on or after the day of a time. */
  [[nodiscard]] std::vector<refusal_batch> Read(wall_ms aFrom) const;
};

}
