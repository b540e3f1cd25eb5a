#pragma once

#include "core/clock.h"

#include <cstdint>

namespace hibiscusspool {

/**
 * How many attempts this host keeps under way at one server: additive
 * increase while the limit is used and answers come, multiplicative decrease
 * at most once a service time when the server sheds or falls behind.
 */
class server_limit
{
  double mLimit = kFirst;
  steady_time mCutAt;

public:
  static constexpr double kFirst = 4;
  static constexpr double kHighest = 256;

  void OnAnswer(std::uint32_t aOutstanding);
  void OnOverload(steady_time aNow, microseconds aServiceTime);
  /** Falls to one attempt, for a server that turned cold or came back. */
  void Restart() { mLimit = 1; }
  [[nodiscard]] std::uint32_t Allowed() const
  {
    return static_cast<std::uint32_t>(mLimit);
  }
};

/** Service time of one server, as a moving average. */
class service_time
{
  double mMicroseconds = kFirst;
  bool mHasSample = false;

public:
  /** Assumed before the first answer: 1 ms. */
  static constexpr double kFirst = 1000;

  void Add(microseconds aSample);
  [[nodiscard]] microseconds Mean() const
  {
    return microseconds(static_cast<std::int64_t>(mMicroseconds));
  }
};

/** Follows a quantile of a stream of durations without keeping them. */
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
  /** True once there were enough samples to go by. */
  [[nodiscard]] bool HasEnoughSamples() const;
};

/** Allows extra work as a share of the regular work. */
class ratio_budget
{
  double mRatio;
  double mSaved;

public:
  /** Most that can be saved up, in attempts. */
  static constexpr double kMostSaved = 20;

  explicit ratio_budget(double aRatio)
    : mRatio(aRatio)
    , mSaved(1)
  {
  }
  void OnRegular();
  /** Takes one extra attempt if there is one. */
  bool TrySpend();
};

}
