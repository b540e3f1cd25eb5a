#pragma once

#include "core/failure.h"
#include "decisions/admission/refusal.h"
#include "drivers/synced_file.h"

#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace hibiscusspool {

/**
 * The refusals stored on a control host, in one file of synced frames per day.
 * Files older than the retention are deleted.
 */
class refusal_store
{
  struct open_file
  {
    std::mutex mLock;
    std::int64_t mDay = -1;
    int mFile = -1;
    /** Bytes of complete batches. */
    std::uint64_t mBytes = 0;
  };

  std::filesystem::path mFolder;
  std::int64_t mRetentionDays;
  std::unique_ptr<open_file> mOpenFile;

  refusal_store(std::filesystem::path aFolder, std::int64_t aRetentionDays)
    : mFolder(std::move(aFolder))
    , mRetentionDays(aRetentionDays)
    , mOpenFile(std::make_unique<open_file>())
  {
  }

  /** Opens the day's file and deletes those past the retention. */
  result<void, file_error> OpenDay(std::int64_t aDay);
  void DeleteExpiredDays(std::int64_t aToday) const;
  /** The days with files; logs a warning if the folder can't be read. */
  [[nodiscard]] std::vector<std::int64_t> Days() const;

public:
  refusal_store(refusal_store&&) noexcept = default;
  refusal_store& operator=(refusal_store&&) = delete;
  ~refusal_store();

  static result<refusal_store, file_error> Create(
    const std::filesystem::path& aFolder,
    std::int64_t aRetentionDays);

  /** Appends and syncs a batch. */
  result<void, file_error> Store(const refusal_batch& aBatch, wall_ms aNow);
  /** Reads the batches that were stored since the day of `aFrom`. */
  [[nodiscard]] std::vector<refusal_batch> Read(wall_ms aFrom) const;
};

}
