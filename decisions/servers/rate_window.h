#pragma once

#include "core/clock.h"

#include <cstdint>
#include <vector>

namespace hibiscusspool {

using rate_entry_number = std::uint64_t;

/** A request as the limits of a rate see it. */
struct rate_request
{
  /** 0 is the most urgent. */
  std::uint32_t mPriority = 0;
  /** A hedge or a retry, which another request should not have to wait for. */
  bool mIsExtra = false;
};

/** Requests that may be sent in any span of time of this length. */
struct rate_quota
{
  std::uint32_t mRequests = 0;
  milliseconds mWindow{ 0 };
};

/**
 * The requests that were sent to one server in a sliding window. At most the
 * quota is sent in each window, and at most a quarter of it, rounded up, in
 * each quarter of a window, so that callers aren't refused for seconds after
 * a burst. Less urgent requests leave an eighth of the quota to more urgent
 * ones, if there are any, and extra ones a quarter to all others.
 */
class rate_window
{
  struct entry
  {
    rate_entry_number mNumber = 0;
    steady_time mAt;
    rate_request mRequest;
  };

  /** Sorted by time. */
  std::vector<entry> mEntries;

  [[nodiscard]] std::uint32_t QuotaFor(const rate_request& aRequest,
                                       const rate_quota& aQuota) const;

public:
  /** When a request may be sent; `steady_time::max()` if the quota never has
   * room for it. */
  [[nodiscard]] steady_time RoomAt(const rate_request& aRequest,
                                   const rate_quota& aQuota,
                                   steady_time aNow) const;
  /** Counts a request that is sent now. */
  void Add(rate_entry_number aNumber,
           const rate_request& aRequest,
           const rate_quota& aQuota,
           steady_time aNow);
  /** Stops counting a request; false if it wasn't counted. */
  bool Remove(rate_entry_number aNumber);
  /** Number of counted requests, or of the extra ones among them. */
  [[nodiscard]] std::size_t Count() const { return mEntries.size(); }
  [[nodiscard]] std::size_t ExtraCount() const;
  void Clear() { mEntries.clear(); }
};

}
