#include "decisions/group/log_bounds.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

/** Commands up to this size may use the reserve. */
constexpr std::uint64_t kSmallCommandBytes = 16 << 10;

std::uint64_t
BytesOf(const log_usage& aUsage)
{
  return std::max(aUsage.mMemoryBytes, aUsage.mDiskBytes);
}

}

bool
IsCompactionDue(const log_usage& aUsage, const log_limits& aLimits)
{
  if (aUsage.mAppliedEntries == 0) {
    return false;
  }
  if (aUsage.mAppliedEntries >= aLimits.mMaxEntries) {
    return true;
  }
  // A larger snapshot is written less often.
  std::uint64_t dueBytes = std::clamp(
    aUsage.mSnapshotBytes, aLimits.mMaxBytes / 4, aLimits.mMaxBytes / 8 * 3);
  std::uint64_t urgentBytes = aLimits.mMaxBytes / 2;
  std::uint64_t bytes = BytesOf(aUsage);
  return bytes >= urgentBytes || (bytes >= dueBytes && aUsage.mIsReplicated);
}

bool
HasRoomFor(const log_usage& aUsage,
           const log_limits& aLimits,
           std::uint64_t aBytes)
{
  bool isSmall = aBytes <= kSmallCommandBytes;
  std::uint64_t limit = isSmall ? aLimits.mMaxBytes : aLimits.mMaxBytes / 4 * 3;
  return BytesOf(aUsage) + aBytes <= limit;
}

}
