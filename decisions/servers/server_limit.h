#pragma once

#include "core/clock.h"

#include <cstdint>

namespace hibiscusspool {

/**
 * Limits this host's concurrent attempts on one server by AIMD: additive
 * increase on responses while the limit is used, multiplicative decrease at
 * most once per service time when the server sheds load or falls behind.
 */
class server_limit
{
  double mLimit = kInitialLimit;
  steady_time mDecreasedAt;

public:
  static constexpr double kInitialLimit = 4;
  static constexpr double kMaxLimit = 256;

  void OnResponse(std::uint32_t aOutstanding);
  void OnOverload(steady_time aNow, microseconds aServiceTime);
  /** Resets the limit to 1, for a server that turned cold or came back. */
  void Restart() { mLimit = 1; }
  [[nodiscard]] std::uint32_t Allowed() const
  {
    return static_cast<std::uint32_t>(mLimit);
  }
};

/** Moving average of the service time of one server. */
class service_time
{
  double mMicroseconds = kInitialMicroseconds;
  bool mHasSample = false;

public:
  /** Assumed until the first sample. */
  static constexpr double kInitialMicroseconds = 1000;

  void Add(microseconds aSample);
  [[nodiscard]] microseconds Mean() const
  {
    return microseconds(static_cast<std::int64_t>(mMicroseconds));
  }
};

/** Estimates a quantile of a stream of durations without storing samples. */
class quantile_tracker
{
  double mQuantile;
  double mMicroseconds = 0;
  std::uint64_t mCount = 0;

public:
  explicit quantile_tracker(double aQuantile)
    : mQuantile(aQuantile)
  {
  }
  void Add(microseconds aSample);
  [[nodiscard]] microseconds Value() const
  {
    return microseconds(static_cast<std::int64_t>(mMicroseconds));
  }
  /** True once there are enough samples for a useful estimate. */
  [[nodiscard]] bool HasEnoughSamples() const;
};

/** Token bucket that allows extra attempts in a fixed ratio to regular ones. */
class ratio_budget
{
  double mRatio;
  double mMaxTokens;
  double mTokens;

public:
  /** Each token allows one extra attempt. */
  ratio_budget(double aRatio, double aMaxTokens)
    : mRatio(aRatio)
    , mMaxTokens(aMaxTokens)
    , mTokens(1)
  {
  }
  void OnRegularAttempt();
  /** Takes a token for one extra attempt; false if there is none. */
  bool TrySpend();
};

}
