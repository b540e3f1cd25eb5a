#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/sharded_map.h"

#include <atomic>

namespace hibiscusspool {

/**
 * Fingerprints of requests that a server has answered without crashing, and
 * when it last did. All are discarded when the maximum is reached.
 */
class fingerprint_controller
{
  std::size_t mMaxFingerprints;
  std::atomic<std::size_t> mCount{ 0 };
  sharded_map<fingerprint_id, steady_time> mHarmless;

public:
  explicit fingerprint_controller(std::size_t aMaxFingerprints)
    : mMaxFingerprints(aMaxFingerprints)
  {
  }

  [[nodiscard]] bool IsHarmless(const fingerprint_id& aFingerprint) const
  {
    return mHarmless.Get(aFingerprint).has_value();
  }

  /** True if a server has answered the request since then. */
  [[nodiscard]] bool WasAnsweredSince(const fingerprint_id& aFingerprint,
                                      steady_time aTime) const
  {
    auto answeredAt = mHarmless.Get(aFingerprint);
    return answeredAt && *answeredAt >= aTime;
  }

  void SetHarmless(const fingerprint_id& aFingerprint, steady_time aNow)
  {
    if (mCount >= mMaxFingerprints) {
      mHarmless.EraseIf([](const auto&, steady_time) { return true; });
      mCount = 0;
    }
    mHarmless.Update(aFingerprint, [&](steady_time& aAnsweredAt) {
      bool isNew = aAnsweredAt == steady_time{};
      mCount += isNew ? 1 : 0;
      aAnsweredAt = aNow;
    });
  }

  void SetHarmful(const fingerprint_id& aFingerprint)
  {
    mHarmless.Take(aFingerprint);
  }
};

}
