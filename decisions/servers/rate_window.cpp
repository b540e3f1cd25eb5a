#include "decisions/servers/rate_window.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

constexpr std::uint32_t kBurstParts = 4;
constexpr std::uint32_t kUrgentReserveParts = 8;
constexpr std::uint32_t kFirstAttemptReserveParts = 4;

std::uint32_t
CeilDivide(std::uint32_t aNumber, std::uint32_t aDivisor)
{
  return aNumber / aDivisor + (aNumber % aDivisor > 0 ? 1 : 0);
}

}

std::uint32_t
rate_window::QuotaFor(const rate_request& aRequest,
                      const rate_quota& aQuota) const
{
  std::uint32_t quota = aQuota.mRequests;
  if (aRequest.mIsExtra) {
    return quota - CeilDivide(quota, kFirstAttemptReserveParts);
  }
  bool isLessUrgent =
    std::any_of(mEntries.begin(), mEntries.end(), [&](const entry& aEntry) {
      return aEntry.mRequest.mPriority < aRequest.mPriority;
    });
  return isLessUrgent ? quota - quota / kUrgentReserveParts : quota;
}

steady_time
rate_window::RoomAt(const rate_request& aRequest,
                    const rate_quota& aQuota,
                    steady_time aNow) const
{
  std::uint32_t quota = QuotaFor(aRequest, aQuota);
  if (quota == 0) {
    return steady_time::max();
  }
  steady_time roomAt = aNow;
  // With `aLimit` requests or more, the one that is so many back must have left
  // the span.
  auto awaitRoom = [&](std::uint32_t aLimit, milliseconds aSpan) {
    if (mEntries.size() >= aLimit) {
      const entry& blocking = mEntries[mEntries.size() - aLimit];
      roomAt = std::max(roomAt, blocking.mAt + aSpan);
    }
  };
  awaitRoom(quota, aQuota.mWindow);
  awaitRoom(CeilDivide(aQuota.mRequests, kBurstParts),
            aQuota.mWindow / kBurstParts);
  return roomAt;
}

void
rate_window::Add(rate_entry_number aNumber,
                 const rate_request& aRequest,
                 const rate_quota& aQuota,
                 steady_time aNow)
{
  auto firstKept =
    std::find_if(mEntries.begin(), mEntries.end(), [&](const entry& aEntry) {
      return aEntry.mAt + aQuota.mWindow > aNow;
    });
  mEntries.erase(mEntries.begin(), firstKept);
  mEntries.push_back({ aNumber, aNow, aRequest });
}

bool
rate_window::Remove(rate_entry_number aNumber)
{
  return std::erase_if(mEntries, [&](const entry& aEntry) {
           return aEntry.mNumber == aNumber;
         }) > 0;
}

std::size_t
rate_window::ExtraCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mEntries.begin(), mEntries.end(), [](const entry& aEntry) {
      return aEntry.mRequest.mIsExtra;
    }));
}

}
