#include "decisions/rollout/version_odds.h"
#include "tests/decisions/rollout/simulated_rollout.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace test;

constexpr int kSeeds = 60;
/** The platform's limits. */
constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;
constexpr milliseconds kRollbackTime{ 5000 };
/** Until all hosts have learned of the end. */
constexpr milliseconds kPublishTime{ 500 };

using fault_function = decltype(simulated_load::mFault);

bool
Hits(double aChance, std::mt19937_64& aRandom)
{
  return std::bernoulli_distribution(aChance)(aRandom);
}

simulated_result
SlowedBy(simulated_result aResult, int aFactor)
{
  aResult.mDuration *= aFactor;
  return aResult;
}

struct play_summary
{
  int mRolledBack = 0;
  int mCompleted = 0;
  int mEndedLate = 0;
  int mOverExposed = 0;
  int mLeftLate = 0;
};

play_summary
PlaySeeds(simulated_load aLoad)
{
  play_summary summary;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    aLoad.mSeed = static_cast<std::uint64_t>(seed);
    simulated_outcome outcome = PlayRollout(aLoad);
    bool isRolledBack = outcome.mState == rollout_state::RolledBack;
    bool isCompleted = outcome.mState == rollout_state::Completed;
    summary.mRolledBack += isRolledBack ? 1 : 0;
    summary.mCompleted += isCompleted ? 1 : 0;
    summary.mEndedLate += isRolledBack || isCompleted ? 0 : 1;
    double allowed =
      kExposureShare * static_cast<double>(outcome.mAllRequests) +
      kExposureSlack;
    if (isRolledBack && static_cast<double>(outcome.mNewRequests) > allowed) {
      ++summary.mOverExposed;
    }
    if (isRolledBack && outcome.mFiftiethBadAt &&
        outcome.mEndedAt + kPublishTime >
          *outcome.mFiftiethBadAt + kRollbackTime) {
      ++summary.mLeftLate;
    }
  }
  return summary;
}

void
CheckRolledBack(const simulated_load& aLoad, int aMinRolledBack = kSeeds)
{
  play_summary summary = PlaySeeds(aLoad);
  CHECK_TEXT(summary.mRolledBack >= aMinRolledBack,
             std::to_string(summary.mRolledBack).c_str());
  LONGS_EQUAL(0, summary.mEndedLate);
  LONGS_EQUAL(0, summary.mOverExposed);
  LONGS_EQUAL(0, summary.mLeftLate);
}

/** Failures of the new version from a time on. */
fault_function
FailsFrom(milliseconds aFrom, double aChance)
{
  return [=](const simulated_attempt& aAttempt,
             simulated_result aResult,
             std::mt19937_64& aRandom) {
    aResult.mIsFailure =
      aAttempt.mIsNew && aAttempt.mAt >= aFrom && Hits(aChance, aRandom);
    return aResult;
  };
}

/** One machine after the other is slow, hangs or fails for some seconds, of
 * either version, and all servers fail now and then. */
fault_function
BadDay(std::uint64_t aSalt)
{
  return [=](const simulated_attempt& aAttempt,
             simulated_result aResult,
             std::mt19937_64& aRandom) {
    constexpr double kOrdinaryFailures = 0.004;
    aResult.mIsFailure = Hits(kOrdinaryFailures, aRandom);
    auto period = static_cast<std::uint64_t>(aAttempt.mAt.count() / 4000);
    std::mt19937_64 fate(aSalt * 1000 + period);
    bool isNew = fate() % 2 == 0;
    std::size_t server = fate() % 3;
    std::size_t kind = fate() % 3;
    if (isNew != aAttempt.mIsNew || server != aAttempt.mServer) {
      return aResult;
    }
    if (kind == 0) {
      return SlowedBy(aResult, 8);
    }
    if (kind == 1) {
      aResult.mDuration = std::chrono::seconds(1);
      return aResult;
    }
    aResult.mIsFailure = true;
    return aResult;
  };
}

}

TEST_GROUP(rollout_step){};

TEST(rollout_step, BinomialProbabilitiesMatchKnownValues)
{
  DOUBLES_EQUAL(0.3486784, BinomialProbability(10, 0, 0.1), 1e-6);
  DOUBLES_EQUAL(0.0573956, BinomialProbability(10, 3, 0.1), 1e-6);
  DOUBLES_EQUAL(1e-6, BinomialProbability(3, 3, 0.01), 1e-12);
  DOUBLES_EQUAL(0, BinomialProbability(3, 4, 0.01), 1e-12);
}

// Guards against counting the many failures of one machine as evidence against
// the version, and few failures on all machines as chance.
TEST(rollout_step, FailuresOnAllServersSayMoreThanThoseOfOne)
{
  std::vector<server_history> one{ { { 8, 8 }, { 8, 8 } },
                                   { { 8, 0 }, { 8, 0 } },
                                   { { 8, 0 }, { 8, 0 } } };
  std::vector<server_history> all{ { { 8, 3 }, { 8, 3 } },
                                   { { 8, 2 }, { 8, 2 } },
                                   { { 8, 3 }, { 8, 2 } } };
  CHECK(VersionOdds(one, 0.01) < 0);
  CHECK(VersionOdds(all, 0.01) > 5);
  CHECK(VersionOdds({}, 0.01) == 0);
}

// Guards against a rollout of a healthy version that misses its deadline, or is
// rolled back by chance.
TEST(rollout_step, AHealthyVersionIsCompletedInTime)
{
  play_summary summary = PlaySeeds({});
  LONGS_EQUAL(kSeeds, summary.mCompleted);
}

// Guards against blaming a version for crashed, hung and slow machines, which
// hit servers of both versions on bad days.
TEST(rollout_step, AHealthyVersionIsCompletedOnBadDays)
{
  int completed = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    simulated_load load;
    load.mSeed = static_cast<std::uint64_t>(seed);
    load.mFault = BadDay(load.mSeed);
    completed += PlayRollout(load).mState == rollout_state::Completed ? 1 : 0;
  }
  // Faults that hit two of three new servers and none of the old ones look
  // like a bad version.
  CHECK_TEXT(completed >= kSeeds - 3, std::to_string(completed).c_str());
}

TEST(rollout_step, AVersionThatFailsAtOnceIsRolledBack)
{
  simulated_load load;
  load.mFault = FailsFrom(milliseconds(0), 0.4);
  CheckRolledBack(load);
}

TEST(rollout_step, AVersionThatFailsLaterIsRolledBack)
{
  simulated_load load;
  load.mFault = FailsFrom(milliseconds(5000), 0.4);
  CheckRolledBack(load);
}

// Guards against a bad version that is missed on a bad day, when servers of the
// old version fail too.
TEST(rollout_step, ABadVersionIsRolledBackOnBadDays)
{
  int rolledBack = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    simulated_load load;
    load.mSeed = static_cast<std::uint64_t>(seed);
    load.mFault = [day = BadDay(load.mSeed),
                   bad = FailsFrom({}, 0.4)](const simulated_attempt& aAttempt,
                                             simulated_result aResult,
                                             std::mt19937_64& aRandom) {
      simulated_result result = day(aAttempt, aResult, aRandom);
      bool isBad = bad(aAttempt, aResult, aRandom).mIsFailure;
      result.mIsFailure = result.mIsFailure || isBad;
      return result;
    };
    rolledBack += PlayRollout(load).mState == rollout_state::RolledBack ? 1 : 0;
  }
  LONGS_EQUAL(kSeeds, rolledBack);
}

TEST(rollout_step, ASlowVersionIsRolledBack)
{
  simulated_load load;
  load.mFault = [](const simulated_attempt& aAttempt,
                   simulated_result aResult,
                   std::mt19937_64& /*aRandom*/) {
    return aAttempt.mIsNew ? SlowedBy(aResult, 4) : aResult;
  };
  CheckRolledBack(load);
}

TEST(rollout_step, AVersionThatFailsOnOneRouteIsRolledBack)
{
  simulated_load load;
  load.mFault = [](const simulated_attempt& aAttempt,
                   simulated_result aResult,
                   std::mt19937_64& aRandom) {
    aResult.mIsFailure =
      aAttempt.mIsNew && aAttempt.mRoute == 0 && Hits(0.4, aRandom);
    return aResult;
  };
  CheckRolledBack(load);
}

// Guards against a version that fails only under the load that each server has
// once all requests go to it; without the concentration of the share none of
// its servers would have that load before.
TEST(rollout_step, AVersionThatFailsUnderLoadIsRolledBack)
{
  simulated_load load;
  load.mFault = [](const simulated_attempt& aAttempt,
                   simulated_result aResult,
                   std::mt19937_64& aRandom) {
    aResult.mIsFailure =
      aAttempt.mIsNew && aAttempt.mLoad >= 3 && Hits(0.5, aRandom);
    return aResult;
  };
  CheckRolledBack(load);
}

// Guards against a version whose 50th bad response comes early, and which the
// few segments until then don't tell from a machine in trouble.
TEST(rollout_step, ABadVersionIsLeftInTimeUnderHighLoad)
{
  for (std::size_t servers : { 1, 3 }) {
    for (double chance : { 0.2, 1.0 }) {
      simulated_load load;
      load.mRates = { 360, 630, 100 };
      load.mOldServers = servers;
      load.mNewServers = servers;
      load.mFault = FailsFrom(milliseconds(0), chance);
      CheckRolledBack(load);
    }
  }
}

// Guards against a service with few requests, whose share alone would give no
// evidence before the deadline.
TEST(rollout_step, ABadVersionOfAServiceWithFewRequestsIsRolledBack)
{
  simulated_load load;
  load.mRates = { 10 };
  load.mOldServers = 4;
  load.mNewServers = 4;
  load.mFault = FailsFrom(milliseconds(0), 0.4);
  CheckRolledBack(load, kSeeds - 2);
}

TEST(rollout_step, AServiceWithoutRequestsIsCompleted)
{
  simulated_load load;
  load.mRates = {};
  CHECK(PlayRollout(load).mState == rollout_state::Completed);
}

TEST(rollout_step, AVersionThatAnsweredNothingIsRolledBack)
{
  rollout_record record;
  record.mDuration = std::chrono::seconds(12);
  rollout_evidence evidence;
  evidence.mCollectedFor = std::chrono::seconds(12);
  rollout_row row{ team_id{ "r" }, server_id{ "n" }, true, {} };
  row.mCounts.mRequests = 1;
  row.mCounts.mFailures = 1;
  evidence.mSegments = { { row } };
  rollout_step step =
    StepRollout(record, evidence, {}, std::chrono::seconds(11));
  CHECK(step.mVerdict == rollout_verdict::RollBack);
}

// Guards against a new leader that completes a rollout before the hosts have
// sent it their counts.
TEST(rollout_step, ALeaderWithoutCountsDoesNotConclude)
{
  rollout_record record;
  record.mDuration = std::chrono::seconds(12);
  rollout_evidence evidence;
  evidence.mCollectedFor = milliseconds(200);
  rollout_step step =
    StepRollout(record, evidence, {}, std::chrono::seconds(11));
  CHECK(step.mVerdict == rollout_verdict::Keep);
  evidence.mCollectedFor = milliseconds(1600);
  step = StepRollout(record, evidence, {}, std::chrono::seconds(11));
  CHECK(step.mVerdict == rollout_verdict::Complete);
}

// Guards against a load that grows after the share was set: the leader stops
// the version's requests before the limit.
TEST(rollout_step, TheShareEndsBeforeTheExposureLimit)
{
  rollout_record record;
  record.mDuration = std::chrono::seconds(60);
  rollout_evidence evidence;
  rollout_row target{ team_id{ "r" }, server_id{ "n" }, true, {} };
  target.mCounts.mRequests = 140;
  target.mCounts.mAnswered[5] = 140;
  rollout_row other{ team_id{ "r" }, server_id{ "o" }, false, {} };
  other.mCounts.mRequests = 860;
  other.mCounts.mAnswered[5] = 860;
  evidence.mSegments = { { target, other } };
  rollout_step step = StepRollout(record, evidence, {}, milliseconds(5000));
  DOUBLES_EQUAL(0, step.mShare, 1e-9);
}
