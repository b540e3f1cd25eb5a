#pragma once

#include "core/ids.h"
#include "core/sharded_map.h"

#include <atomic>

namespace hibiscusspool {

/**
 * Fingerprints of requests that servers have answered without harm, so that
 * the same request needs no canary again. Bounded: it forgets all when full.
 */
class fingerprint_controller
{
  std::size_t mMaxKept;
  std::atomic<std::size_t> mCount{ 0 };
  sharded_map<fingerprint_id, bool> mHarmless;

public:
  explicit fingerprint_controller(std::size_t aMostKept)
    : mMaxKept(aMostKept)
  {
  }

  [[nodiscard]] bool IsHarmless(const fingerprint_id& aFingerprint) const
  {
    return mHarmless.Get(aFingerprint).has_value();
  }

  void SetHarmless(const fingerprint_id& aFingerprint)
  {
    if (mCount >= mMaxKept) {
      mHarmless.EraseIf([](const auto&, bool) { return true; });
      mCount = 0;
    }
    mHarmless.Set(aFingerprint, true);
    ++mCount;
  }

  void SetHarmful(const fingerprint_id& aFingerprint)
  {
    mHarmless.Take(aFingerprint);
  }
};

}
