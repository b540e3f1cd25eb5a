#pragma once

#include "core/ids.h"

#include <cstdint>

namespace hibiscusspool {

/** The size of the log since the latest snapshot. */
struct log_usage
{
  /** Entries that are applied, and that a snapshot would replace. */
  log_index mAppliedEntries = 0;
  /** Bytes of the payloads in memory. */
  std::uint64_t mMemoryBytes = 0;
  /** Bytes of the files on disk. */
  std::uint64_t mDiskBytes = 0;
  /** Bytes of the latest snapshot. */
  std::uint64_t mSnapshotBytes = 0;
  /** All members that can be reached have the applied entries, so none of them
   * would need the snapshot. */
  bool mIsReplicated = true;
};

struct log_limits
{
  /** Number of entries after which a snapshot replaces them. */
  log_index mMaxEntries = 4096;
  /** Maximum size of the log in bytes, both in memory and on disk. */
  std::uint64_t mMaxBytes = 32ULL << 20U;
};

/** True if a snapshot should replace the applied entries now. */
bool
IsCompactionDue(const log_usage& aUsage, const log_limits& aLimits);

/**
 * True if the log has room for a command of this size. Small commands may use
 * space that large ones must leave, so that elections, failure domains and
 * servers are still recorded while large changes are refused.
 */
bool
HasRoomFor(const log_usage& aUsage,
           const log_limits& aLimits,
           std::uint64_t aBytes);

}
