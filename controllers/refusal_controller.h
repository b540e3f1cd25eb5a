#pragma once

#include "core/sharded_map.h"
#include "decisions/admission/refusal.h"

#include <atomic>
#include <map>

namespace hibiscusspool {

/**
 * Refusals of this incarnation of the host, numbered from 1 without gaps and
 * kept until the disk hosts have stored them. If they exceed the maximum, the
 * oldest are dropped, which shows as a gap in the numbers of the report.
 */
class refusal_controller
{
  host_id mSelf;
  incarnation_number mIncarnation;
  std::size_t mMaxRefusals;
  std::atomic<std::uint64_t> mLastNumber{ 0 };
  sharded_map<std::uint64_t, refusal> mRefusals;
  std::atomic<std::uint64_t> mOldestNumber{ 1 };

public:
  refusal_controller(host_id aSelf,
                     incarnation_number aIncarnation,
                     std::size_t aMaxRefusals)
    : mSelf(std::move(aSelf))
    , mIncarnation(aIncarnation)
    , mMaxRefusals(aMaxRefusals)
  {
  }

  /** Assigns a number and an id to the refusal and keeps it. */
  refusal Record(refusal aRefusal);
  /** The refusals after a number, in order, at most `aMaxCount`. */
  [[nodiscard]] refusal_batch ReadAfter(std::uint64_t aNumber,
                                        std::size_t aMaxCount) const;
  /** Discards refusals that every disk host in use has synced. */
  void DiscardUpTo(std::uint64_t aNumber);
  [[nodiscard]] std::uint64_t LastNumber() const { return mLastNumber; }
};

}
