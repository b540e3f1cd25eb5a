#include "decisions/rollout/rollout_step.h"

#include "decisions/rollout/version_odds.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <sstream>

namespace hibiscusspool {

namespace {

/** Logarithm of the odds from which a version is bad, in one of the many looks
 * during a rollout: 10,000 to 1. */
constexpr double kLookOdds = 9.2;
/** The same in the last look, where a bad version would get all requests: 30 to
 * 1. */
constexpr double kLastOdds = 3.4;
/** Bad responses from which the odds of the last look are enough: soon the
 * version must have been left, and one with a single server gives little
 * evidence in a short time. */
constexpr std::uint64_t kManyBad = 40;
/** Servers that must have results in the evidence, if the version has as many.
 */
constexpr std::size_t kEnoughServers = 3;
/** Requests of a server from which each of its segments says much by itself. */
constexpr std::uint64_t kManyRequests = 40;
/** Rates of the old version below which chance is never assumed to lie, as it
 * may have had few requests. */
constexpr double kMinFailureRate = 0.01;
constexpr double kMinSlowRate = 0.05;
/** Added trials without a hit for the rate of the old version. */
constexpr double kPriorTrials = 9;
/** Old responses on a route that are needed to call others slow. */
constexpr std::uint64_t kMinOldResponses = 12;
/** A response is slow from this multiple of the old version's median. */
constexpr int kSlowFactor = 2;
/** Added to it, since new servers' connections have yet to be opened. */
constexpr microseconds kConnectAllowance{ 8000 };
/** Part of the duration that is left when the rollout is concluded, for a
 * change of leader and for the operator to learn the result. */
constexpr int kMarginDivisor = 6;
constexpr milliseconds kMaxMargin{ 3000 };
/** Time with all requests at the new version before the old servers go: their
 * requests end meanwhile, and all hosts learn of it. */
constexpr milliseconds kCompletingTime{ 500 };
constexpr int kCompletingDivisor = 4;
/** Time that a new leader collects reports before it concludes. */
constexpr milliseconds kMinCollectedFor{ 1500 };
/** Part of the exposure limits that is used. */
constexpr double kShareUsed = 0.8;
constexpr double kSlackUsed = 0.6;
/** Exposure at which the leader stops sending requests to the version. */
constexpr double kStopPart = 0.9;
/** Share above which a sudden load would use up the slack at once. */
constexpr double kMaxShare = 0.4;
/** Time after which the measured load is used. */
constexpr milliseconds kLoadMeasuredAfter{ 1500 };

struct segment_row
{
  std::size_t mSegment = 0;
  const rollout_row* mRow = nullptr;
};

using server_tallies = std::map<server_id, server_results>;

struct comparison
{
  server_tallies mOld;
  /** By segment of time. */
  std::map<std::size_t, server_tallies> mNew;
};

server_results
Sum(const server_tallies& aTallies)
{
  server_results sum;
  for (const auto& [server, counted] : aTallies) {
    sum.mTotal += counted.mTotal;
    sum.mBad += counted.mBad;
  }
  return sum;
}

void
Add(comparison& aCompared,
    std::size_t aSegment,
    const rollout_row& aRow,
    const server_results& aTally)
{
  if (aTally.mTotal == 0) {
    return;
  }
  server_tallies& side =
    aRow.mIsTarget ? aCompared.mNew[aSegment] : aCompared.mOld;
  server_results& target = side[aRow.mServer];
  target.mTotal += aTally.mTotal;
  target.mBad += aTally.mBad;
}

/** The rate of the old servers without the worst one. */
double
OldRate(const server_tallies& aOld)
{
  server_results sum = Sum(aOld);
  if (aOld.size() > 1) {
    auto worst = std::max_element(
      aOld.begin(), aOld.end(), [](const auto& aOne, const auto& aOther) {
        return aOne.second.mBad * aOther.second.mTotal <
               aOther.second.mBad * aOne.second.mTotal;
      });
    sum.mTotal -= worst->second.mTotal;
    sum.mBad -= worst->second.mBad;
  }
  return (static_cast<double>(sum.mBad) + 1) /
         (static_cast<double>(sum.mTotal) + 1 + kPriorTrials);
}

server_results
SumOfSegments(const std::map<std::size_t, server_tallies>& aSegments)
{
  server_results sum;
  for (const auto& [segment, tallies] : aSegments) {
    server_results part = Sum(tallies);
    sum.mTotal += part.mTotal;
    sum.mBad += part.mBad;
  }
  return sum;
}

/** The odds that the new servers' version is worse than the others. It may have
 * become so later, so that the evidence may begin at any segment. */
double
OddsOf(const comparison& aCompared, double aMinRate)
{
  double rate = std::max(aMinRate, OldRate(aCompared.mOld));
  std::set<server_id> servers;
  for (const auto& [segment, tallies] : aCompared.mNew) {
    for (const auto& [server, counted] : tallies) {
      servers.insert(server);
    }
  }
  std::size_t needed = std::min(servers.size(), kEnoughServers);
  double greatest = 0;
  std::map<server_id, server_history> histories;
  std::vector<server_history> parts;
  server_tallies sums;
  std::uint64_t total = 0;
  for (auto segment = aCompared.mNew.rbegin(); segment != aCompared.mNew.rend();
       ++segment) {
    for (const auto& [server, counted] : segment->second) {
      histories[server].push_back(counted);
      parts.push_back({ counted });
      sums[server].mTotal += counted.mTotal;
      sums[server].mBad += counted.mBad;
      total += counted.mTotal;
    }
    std::vector<server_history> whole;
    if (total >= kManyRequests * sums.size()) {
      // One machine in trouble for long, while the others had no turn, must not
      // look like a version.
      if (sums.size() < needed) {
        continue;
      }
      for (const auto& [server, history] : histories) {
        whole.push_back(history);
      }
      greatest = std::max(greatest, VersionOdds(whole, rate));
      continue;
    }
    // A few results of a segment say little of whether a machine was in
    // trouble, so that they are also taken together.
    for (const auto& [server, sum] : sums) {
      whole.push_back({ sum });
    }
    greatest = std::max(
      { greatest, VersionOdds(parts, rate), VersionOdds(whole, rate) });
  }
  return greatest;
}

std::uint64_t
CountFrom(const rollout_histogram& aHistogram, std::size_t aBucket)
{
  return std::accumulate(aHistogram.begin() +
                           static_cast<std::ptrdiff_t>(aBucket),
                         aHistogram.end(),
                         std::uint64_t{ 0 });
}

server_results
SlowTally(const rollout_counts& aCounts, std::size_t aFirstSlow)
{
  // Whether an attempt that was cancelled before that would have been slow is
  // unknown.
  std::uint64_t cancelled = CountFrom(aCounts.mCancelled, aFirstSlow);
  return { CountFrom(aCounts.mAnswered, 0) + cancelled,
           CountFrom(aCounts.mAnswered, aFirstSlow) + cancelled };
}

double
MeanBucket(const rollout_histogram& aHistogram)
{
  double sum = 0;
  double weight = 0;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    sum += static_cast<double>(bucket) * aHistogram[bucket];
    weight += aHistogram[bucket];
  }
  return weight > 0 ? sum / weight : 0;
}

/** The first bucket whose responses are slow on a route, if there are enough
 * of the old version. */
std::optional<std::size_t>
FirstSlowBucket(const std::vector<segment_row>& aRows)
{
  std::map<server_id, rollout_histogram> old;
  for (const auto& [segment, row] : aRows) {
    if (row->mIsTarget) {
      continue;
    }
    rollout_histogram& sum = old[row->mServer];
    for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
      sum[bucket] +=
        row->mCounts.mAnswered[bucket] + row->mCounts.mCancelled[bucket];
    }
  }
  if (old.size() > 1) {
    old.erase(std::max_element(
      old.begin(), old.end(), [](const auto& aOne, const auto& aOther) {
        return MeanBucket(aOne.second) < MeanBucket(aOther.second);
      }));
  }
  rollout_histogram all{};
  for (const auto& [server, histogram] : old) {
    for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
      all[bucket] += histogram[bucket];
    }
  }
  std::uint64_t responses = CountFrom(all, 0);
  if (responses < kMinOldResponses) {
    return std::nullopt;
  }
  std::size_t median = 0;
  std::uint64_t below = all[0];
  while (below * 2 < responses) {
    below += all[++median];
  }
  microseconds limit = BucketEdge(median) * kSlowFactor + kConnectAllowance;
  std::size_t first = BucketOf(limit) + 1;
  return first < kLatencyBuckets ? std::optional(first) : std::nullopt;
}

/** A reason to roll back, or nothing. */
std::optional<std::string>
FindFault(const rollout_evidence& aEvidence, double aMinOdds)
{
  std::map<team_id, std::vector<segment_row>> routes;
  for (std::size_t segment = 0; segment < aEvidence.mSegments.size();
       ++segment) {
    for (const rollout_row& row : aEvidence.mSegments[segment]) {
      routes[row.mRoute].push_back({ segment, &row });
    }
  }
  comparison allFailures;
  comparison allSlow;
  std::optional<std::string> fault;
  auto check = [&](const comparison& aCompared,
                   double aMinRate,
                   std::string_view aKind,
                   const std::string& aRoute) {
    server_results newSum = SumOfSegments(aCompared.mNew);
    double minOdds = newSum.mBad >= kManyBad ? kLastOdds : aMinOdds;
    if (fault || OddsOf(aCompared, aMinRate) < minOdds) {
      return;
    }
    server_results oldSum = Sum(aCompared.mOld);
    std::ostringstream reason;
    reason << aKind << ": " << newSum.mBad << " of " << newSum.mTotal
           << " new, " << oldSum.mBad << " of " << oldSum.mTotal << " old, on "
           << aRoute;
    fault = reason.str();
  };
  for (const auto& [route, rows] : routes) {
    comparison failures;
    comparison slow;
    auto firstSlow = FirstSlowBucket(rows);
    for (const auto& [segment, row] : rows) {
      server_results failed{ row->mCounts.Known(), row->mCounts.mFailures };
      Add(failures, segment, *row, failed);
      Add(allFailures, segment, *row, failed);
      if (firstSlow) {
        server_results slowed = SlowTally(row->mCounts, *firstSlow);
        Add(slow, segment, *row, slowed);
        Add(allSlow, segment, *row, slowed);
      }
    }
    check(failures, kMinFailureRate, "failures", route.mValue);
    check(slow, kMinSlowRate, "slow", route.mValue);
  }
  check(allFailures, kMinFailureRate, "failures", "all routes");
  check(allSlow, kMinSlowRate, "slow", "all routes");
  return fault;
}

milliseconds
MarginOf(const rollout_record& aRecord)
{
  return std::min(kMaxMargin, aRecord.mDuration / kMarginDivisor);
}

/** The share that uses the exposure limits at the measured load. */
double
NextShare(const rollout_record& aRecord,
          const rollout_totals& aTotals,
          const exposure_limits& aLimits,
          milliseconds aNow)
{
  auto sent = static_cast<double>(aTotals.mNewRequests + aTotals.mOldRequests);
  double allowed = sent * aLimits.mShare + aLimits.mSlack;
  if (static_cast<double>(aTotals.mNewRequests) > kStopPart * allowed) {
    return 0;
  }
  if (aNow < kLoadMeasuredAfter) {
    return InitialShare(aLimits);
  }
  double expected =
    std::max(1.0,
             sent * static_cast<double>(aRecord.mDuration.count()) /
               static_cast<double>(aNow.count()));
  double share = InitialShare(aLimits) + kSlackUsed * aLimits.mSlack / expected;
  return std::min(std::max(kMaxShare, InitialShare(aLimits)), share);
}

}

rollout_totals
TotalsOf(const rollout_evidence& aEvidence)
{
  rollout_totals totals;
  for (const auto& segment : aEvidence.mSegments) {
    for (const rollout_row& row : segment) {
      (row.mIsTarget ? totals.mNewRequests : totals.mOldRequests) +=
        row.mCounts.mRequests;
      (row.mIsTarget ? totals.mNewFailures : totals.mOldFailures) +=
        row.mCounts.mFailures;
      if (row.mIsTarget) {
        totals.mNewAnswers += CountFrom(row.mCounts.mAnswered, 0);
      }
    }
  }
  return totals;
}

double
InitialShare(const exposure_limits& aLimits)
{
  return aLimits.mShare * kShareUsed;
}

rollout_step
StepRollout(const rollout_record& aRecord,
            const rollout_evidence& aEvidence,
            const exposure_limits& aLimits,
            milliseconds aNow)
{
  rollout_step step;
  rollout_totals totals = TotalsOf(aEvidence);
  step.mShare = aRecord.mShare;
  milliseconds margin = MarginOf(aRecord);
  bool isDue = aNow >= aRecord.mDuration - margin &&
               aEvidence.mCollectedFor >= std::min(kMinCollectedFor, margin);
  if (auto fault = FindFault(aEvidence, isDue ? kLastOdds : kLookOdds)) {
    step.mVerdict = rollout_verdict::RollBack;
    step.mReason = *fault;
    return step;
  }
  if (aRecord.mState == rollout_state::Completing) {
    milliseconds completing =
      std::min(kCompletingTime, margin / kCompletingDivisor);
    bool isDone = aNow >= aRecord.mElapsed + completing;
    step.mVerdict = isDone ? rollout_verdict::Complete : rollout_verdict::Keep;
    step.mReason = aRecord.mReason;
    return step;
  }
  step.mShare = NextShare(aRecord, totals, aLimits, aNow);
  if (!isDue) {
    return step;
  }
  std::ostringstream reason;
  reason << totals.mNewFailures << " failures in " << totals.mNewRequests
         << " new, " << totals.mOldFailures << " in " << totals.mOldRequests
         << " old";
  bool isSilent = totals.mNewRequests > 0 && totals.mNewAnswers == 0;
  step.mVerdict =
    isSilent ? rollout_verdict::RollBack : rollout_verdict::Complete;
  step.mReason = (isSilent ? "no good response: " : "") + reason.str();
  return step;
}

}
