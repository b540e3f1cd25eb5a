#include "controllers/team_stats_controller.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

constexpr unsigned kLatencyBinCount = 240;
constexpr double kMinLatencyMs = 0.1;
constexpr double kMaxLatencyMs = 20'000;

/** True for a refusal caused by the caller; it counts against no objective. */
bool
IsCallerError(refusal_reason aReason)
{
  switch (aReason) {
    case refusal_reason::BadRequest:
    case refusal_reason::BodyTooLarge:
    case refusal_reason::UnknownTeam:
    case refusal_reason::MissingKey:
    case refusal_reason::KeyReused:
    case refusal_reason::Quarantined:
    case refusal_reason::UnknownKey:
      return true;
    default:
      return false;
  }
}

}

latency_histogram
MakeLatencyHistogram()
{
  using namespace boost::histogram;
  return make_histogram(axis::regular<double, axis::transform::log>(
    kLatencyBinCount, kMinLatencyMs, kMaxLatencyMs));
}

double
QuantileOf(const latency_histogram& aHistogram, double aQuantile)
{
  using boost::histogram::indexed;
  auto coverage = boost::histogram::coverage::all;
  double total = 0;
  for (auto&& bin : indexed(aHistogram, coverage)) {
    total += *bin;
  }
  double target = total * aQuantile;
  double cumulative = 0;
  for (auto&& bin : indexed(aHistogram, coverage)) {
    cumulative += *bin;
    if (cumulative >= target && *bin > 0) {
      return std::min(kMaxLatencyMs, static_cast<double>(bin.bin().upper()));
    }
  }
  return 0;
}

void
team_stats_controller::Count(const request_result& aResult,
                             const team_policy& aPolicy,
                             wall_ms aNow)
{
  double latencyMs = static_cast<double>(aResult.mDuration.count()) / 1000;
  mTeams.Update(aResult.mTeam, [&](team_stats& aTeam) {
    aTeam.mAttempts += aResult.mAttempts;
    aTeam.mHedges += aResult.mHedges;
    aTeam.mRetries += aResult.mRetries;
    if (aResult.mIsRefused) {
      ++aTeam.mRefused[static_cast<std::size_t>(aResult.mReason)];
      if (!IsCallerError(aResult.mReason)) {
        aTeam.mBurn.Add(objective::Availability, true, aNow);
      }
      return;
    }
    ++aTeam.mAnswered;
    aTeam.mLatency(latencyMs);
    aTeam.mCoverageSum += aResult.mCoverage;
    bool isPartial = aResult.mCoverage < 1;
    aTeam.mPartial += isPartial ? 1 : 0;
    bool isLate = aResult.mDuration > aPolicy.mLatencyObjective;
    aTeam.mBurn.Add(objective::Availability, false, aNow);
    aTeam.mBurn.Add(objective::Latency, isLate, aNow);
    aTeam.mBurn.Add(objective::Coverage, isPartial, aNow);
  });
}

}
