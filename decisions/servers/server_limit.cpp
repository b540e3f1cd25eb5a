#include "decisions/servers/server_limit.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

constexpr double kDecreaseFactor = 0.7;
constexpr double kSampleWeight = 0.1;
constexpr double kQuantileStep = 0.02;
constexpr std::uint64_t kMinSamples = 50;

}

void
server_limit::OnResponse(std::uint32_t aOutstanding)
{
  // An unused limit is no evidence of the server's capacity.
  if (aOutstanding + 1 < Allowed()) {
    return;
  }
  mLimit = std::min(kMaxLimit, mLimit + 1.0 / mLimit);
}

void
server_limit::OnOverload(steady_time aNow, microseconds aServiceTime)
{
  if (aNow - mDecreasedAt < aServiceTime) {
    return;
  }
  mDecreasedAt = aNow;
  mLimit = std::max(1.0, mLimit * kDecreaseFactor);
}

void
service_time::Add(microseconds aSample)
{
  auto sample = static_cast<double>(aSample.count());
  if (!mHasSample) {
    mHasSample = true;
    mMicroseconds = sample;
    return;
  }
  mMicroseconds += kSampleWeight * (sample - mMicroseconds);
}

void
quantile_tracker::Add(microseconds aSample)
{
  auto sample = static_cast<double>(aSample.count());
  ++mCount;
  if (mCount == 1) {
    mMicroseconds = sample;
    return;
  }
  // Steps are larger while there are few samples, to converge quickly.
  double step = std::max(kQuantileStep, 1.0 / static_cast<double>(mCount));
  bool isAbove = sample > mMicroseconds;
  double change = isAbove ? step * mQuantile : -step * (1 - mQuantile);
  mMicroseconds *= 1 + change;
}

bool
quantile_tracker::HasEnoughSamples() const
{
  return mCount >= kMinSamples;
}

void
ratio_budget::OnRegularAttempt()
{
  mTokens = std::min(mMaxTokens, mTokens + mRatio);
}

bool
ratio_budget::TrySpend()
{
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

}
