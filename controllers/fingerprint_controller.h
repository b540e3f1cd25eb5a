#pragma once

#include "core/ids.h"
#include "core/sharded_map.h"

#include <atomic>

namespace hibiscusspool {

/**
 * Fingerprints of requests that a server has answered without crashing; these
 * need no canary again. All are discarded when the maximum is reached.
 */
class fingerprint_controller
{
  std::size_t mMaxFingerprints;
  std::atomic<std::size_t> mCount{ 0 };
  sharded_map<fingerprint_id, bool> mHarmless;

public:
  explicit fingerprint_controller(std::size_t aMaxFingerprints)
    : mMaxFingerprints(aMaxFingerprints)
  {
  }

  [[nodiscard]] bool IsHarmless(const fingerprint_id& aFingerprint) const
  {
    return mHarmless.Get(aFingerprint).has_value();
  }

  void SetHarmless(const fingerprint_id& aFingerprint)
  {
    if (mCount >= mMaxFingerprints) {
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
