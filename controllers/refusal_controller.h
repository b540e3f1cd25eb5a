#pragma once

#include "core/sharded_map.h"
#include "decisions/refusal.h"

#include <atomic>
#include <map>

namespace hibiscusspool {

/**
 * Refusals of this run of the host, numbered from 1 without gaps, until the
 * disk hosts have them. What does not fit any more is dropped, oldest first:
 * its numbers then show as a gap in the report.
 */
class refusal_controller
{
  host_id mSelf;
  incarnation_number mIncarnation;
  std::size_t mMaxKept;
  std::atomic<std::uint64_t> mLastNumber{ 0 };
  sharded_map<std::uint64_t, refusal> mKept;
  std::atomic<std::uint64_t> mOldest{ 1 };

public:
  refusal_controller(host_id aSelf,
                     incarnation_number aIncarnation,
                     std::size_t aMostKept)
    : mSelf(std::move(aSelf))
    , mIncarnation(aIncarnation)
    , mMaxKept(aMostKept)
  {
  }

  /** Gives the refusal its number and id, and keeps it. */
  refusal Record(refusal aRefusal);
  /** The refusals after a number, in order, at most `aMost`. */
  [[nodiscard]] refusal_batch ReadAfter(std::uint64_t aNumber,
                                        std::size_t aMost) const;
  /** Forgets what every disk host in use has synced. */
  void DiscardUpTo(std::uint64_t aNumber);
  [[nodiscard]] std::uint64_t LastNumber() const { return mLastNumber; }
};

}
