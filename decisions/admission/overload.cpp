#include "decisions/admission/overload.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscusspool {

namespace {

/** Weight of one attempt in the averages of its service. */
constexpr double kExcessWeight = 0.9;
constexpr double kTimeWeight = 0.5;
/** One attempt counts as this late at most, so that averages recover within a
 * few attempts. */
constexpr double kMaxLateness = 2;
/** Part of its objective that an attempt may take beyond its usual time; the
 * rest is needed by this host and by the usual time itself. */
constexpr double kBearablePart = 0.4;
/** A service without attempts is assumed to be recovering. */
constexpr double kStaleHalfLifeMs = 1000;
/** An attempt that takes this much longer than usual is evidence of overload:
 * regular pauses of servers last up to 150 ms. */
constexpr milliseconds kLateBeyondUsual{ 200 };
/** Late attempts that are evidence, as a part of a request's services. */
constexpr std::size_t kEvidencePart = 4;
constexpr std::size_t kMinEvidence = 4;
/** Time within which they must be seen, and as many again after them. Most
 * attempts of an overload end by their deadline of less than a second. */
constexpr milliseconds kEvidenceWindow{ 1500 };
/** Level at the begin of overload, when queues have already built up. */
constexpr double kInitialLevel = 0.4;
constexpr double kMinLevel = 0.2;
/** Change of the level in a second while nothing is late. */
constexpr double kLevelPerSecond = 0.4;
/** Change of the level in a second relative to its value, for each unit of
 * lateness above 1. */
constexpr double kDecreasePerSecond = 1.5;
/** Minimum factor by which lateness alone reduces what is admitted. */
constexpr double kMinImmediateFactor = 0.2;
/** Share of its own demand that each rank keeps. */
constexpr double kMinRankShare = 0.05;
/** Time over which demand is remembered. */
constexpr double kDemandMs = 20000;
/** Servers that are still late after this time with the minimum admitted are
 * slow for another reason than load. */
constexpr milliseconds kMaxTimeAtMinimum{ 4000 };
constexpr milliseconds kHoldOff{ 30'000 };
constexpr milliseconds kMinRetryAfter{ 200 };
constexpr milliseconds kMaxRetryAfter{ 5000 };
/** Part of Retry-After over which the repeats of a rank are spread. */
constexpr double kRetrySpread = 0.25;
/** Maximum number of remembered refusals. */
constexpr std::size_t kMaxRefused = 1024;
constexpr double kMsPerSecond = 1000;
constexpr double kUsPerMs = 1000;
/** Assumed time of an attempt until it is known. */
constexpr double kUnknownWorkUs = 1000;

double
Milliseconds(steady_time::duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/** A number from 0 to 1 that is the same for the same value. */
double
UnitHash(std::uint64_t aValue)
{
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  constexpr int kUnusedBits = 32;
  std::uint64_t mixed = aValue * kMultiplier;
  mixed ^= mixed >> kUnusedBits;
  mixed *= kMultiplier;
  return static_cast<double>(mixed >> kUnusedBits) / UINT32_MAX;
}

}

overload_control::overload_control(std::uint64_t aSeed)
  : mInitialCredit(UnitHash(aSeed))
{
}

std::size_t
overload_control::GroupOf(const overload_request& aRequest)
{
  auto [entry, isNew] =
    mGroupOf.try_emplace(aRequest.mServices.front(), mGroups.size());
  if (isNew) {
    mGroups.emplace_back();
  }
  return entry->second;
}

double
overload_control::ExcessUs(const service_times& aTimes, steady_time aNow)
{
  double age = Milliseconds(aNow - aTimes.mSampledAt);
  return aTimes.mExcessUs * std::exp2(-std::max(0.0, age) / kStaleHalfLifeMs);
}

void
overload_control::UpdateStrictest(group& aGroup,
                                  const overload_request& aRequest,
                                  steady_time aNow)
{
  bool isStale = Milliseconds(aNow - aGroup.mStrictestAt) > kDemandMs;
  if (aRequest.mRank > aGroup.mStrictest && !isStale) {
    return;
  }
  aGroup.mStrictest = aRequest.mRank;
  aGroup.mStrictestAt = aNow;
  aGroup.mStrictestPart = static_cast<double>(aRequest.mNeeded) /
                          static_cast<double>(aRequest.mServices.size());
  aGroup.mBearableUs = std::max(
    1.0, kBearablePart * kUsPerMs * Milliseconds(aRequest.mRank.mObjective));
}

template<typename value_of>
double
overload_control::OfSlowestNeeded(const overload_request& aRequest,
                                  std::size_t aNeeded,
                                  value_of aValueOf) const
{
  std::vector<double> values;
  values.reserve(aRequest.mServices.size());
  for (const service_id& service : aRequest.mServices) {
    auto found = mServices.find(service);
    values.push_back(found == mServices.end() ? 0 : aValueOf(found->second));
  }
  std::size_t needed = std::clamp<std::size_t>(aNeeded, 1, values.size());
  auto position = values.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

double
overload_control::WorkOf(const overload_request& aRequest) const
{
  auto services = static_cast<double>(aRequest.mServices.size());
  auto team = mTeams.find(aRequest.mTeam);
  bool isKnown = team != mTeams.end() && team->second.mUsual.HasEnoughSamples();
  return services *
         (isKnown ? static_cast<double>(team->second.mUsual.Value().count())
                  : kUnknownWorkUs);
}

void
overload_control::CountDemand(group& aGroup,
                              const overload_request& aRequest,
                              double aWork,
                              steady_time aNow) const
{
  aGroup.mRanks.try_emplace(aRequest.mRank,
                            rank_demand{ 0, 0, aNow, mInitialCredit });
  for (auto& [rank, demand] : aGroup.mRanks) {
    double kept = std::exp(-Milliseconds(aNow - demand.mUpdatedAt) / kDemandMs);
    demand.mWork *= kept;
    demand.mRequests *= kept;
    demand.mUpdatedAt = aNow;
  }
  rank_demand& demand = aGroup.mRanks.at(aRequest.mRank);
  demand.mWork += aWork;
  demand.mRequests += 1;
}

void
overload_control::RecordLate(group& aGroup,
                             steady_time aSentAt,
                             steady_time aNow)
{
  late_attempts& late = aGroup.mLate;
  // Attempts that were in flight together may share one cause, such as a pause
  // of this host.
  if (late.mKnownAt && aSentAt < *late.mKnownAt) {
    return;
  }
  bool hasEvidence = late.mCount > 0 || late.mKnownAt;
  if (hasEvidence && aNow - late.mFirstAt > kEvidenceWindow) {
    late = {};
  }
  if (late.mCount++ == 0) {
    late.mFirstAt = aNow;
  }
  if (late.mCount < aGroup.mEvidence) {
    return;
  }
  aGroup.mIsSuspected = aGroup.mIsSuspected || late.mKnownAt.has_value();
  late = { 0, aNow, aNow };
}

overload_news
overload_control::UpdateLevel(group& aGroup,
                              double aLateness,
                              steady_time aNow) const
{
  overload_news news;
  if (!aGroup.mIsOverloaded && aLateness < 1) {
    // Some late attempts among many are usual; overload is late throughout.
    aGroup.mLate = {};
  }
  bool isSuspected = std::exchange(aGroup.mIsSuspected, false);
  if (isSuspected && !aGroup.mIsOverloaded) {
    // Services that the request doesn't need may be late without harm.
    if (aLateness >= 1 && aNow >= aGroup.mHoldOffUntil) {
      aGroup.mIsOverloaded = true;
      aGroup.mLevel = kInitialLevel;
      aGroup.mOverloadedSince = aNow;
      aGroup.mMinimumSince = steady_time::max();
      aGroup.mUpdatedAt = aNow;
      return { true, true, false };
    }
  }
  if (!aGroup.mIsOverloaded) {
    return news;
  }
  double seconds = Milliseconds(aNow - aGroup.mUpdatedAt) / kMsPerSecond;
  aGroup.mUpdatedAt = aNow;
  if (aLateness <= 1) {
    double room = 1 - aLateness;
    aGroup.mLevel += kLevelPerSecond * room * room * seconds;
  } else {
    aGroup.mLevel *= std::exp(-kDecreasePerSecond * (aLateness - 1) * seconds);
  }
  bool isAtMinimum = aGroup.mLevel <= kMinLevel;
  aGroup.mLevel = std::max(kMinLevel, aGroup.mLevel);
  aGroup.mMinimumSince =
    isAtMinimum ? std::min(aGroup.mMinimumSince, aNow) : steady_time::max();
  bool isFutile =
    isAtMinimum && aNow - aGroup.mMinimumSince >= kMaxTimeAtMinimum;
  if (isFutile || aGroup.mLevel >= 1) {
    aGroup.mIsOverloaded = false;
    aGroup.mLevel = 1;
    aGroup.mHoldOffUntil = isFutile ? aNow + kHoldOff : aNow;
    return { true, false, isFutile };
  }
  return news;
}

double
overload_control::RankShare(const group& aGroup,
                            const overload_rank& aRank,
                            double aLevel)
{
  double total = 0;
  double below = 0;
  double above = 0;
  double own = 0;
  for (const auto& [rank, demand] : aGroup.mRanks) {
    total += demand.mWork;
    if (rank < aRank) {
      above += demand.mWork;
    } else if (rank == aRank) {
      own = demand.mWork;
    } else {
      below += demand.mWork;
    }
  }
  double left = aLevel * total - above - kMinRankShare * below;
  return std::clamp(left / own, kMinRankShare, 1.0);
}

milliseconds
overload_control::RetryAfter(const group& aGroup,
                             const overload_request& aRequest,
                             steady_time aNow) const
{
  double total = 0;
  double upTo = 0;
  for (const auto& [rank, demand] : aGroup.mRanks) {
    total += demand.mWork;
    upTo += rank <= aRequest.mRank ? demand.mWork : 0;
  }
  // The level that has room for the whole rank, and the time to it at the
  // steepest increase. Overload that has lasted is likely to last on.
  double missing = std::max(0.0, upTo / total - aGroup.mLevel);
  double wait = missing / kLevelPerSecond * kMsPerSecond;
  wait += missing * Milliseconds(aNow - aGroup.mOverloadedSince) / 2;
  wait = std::clamp(wait,
                    static_cast<double>(kMinRetryAfter.count()),
                    static_cast<double>(kMaxRetryAfter.count()));
  double spread =
    UnitHash(std::hash<std::string>{}(aRequest.mRepeatKey) ^
             static_cast<std::uint64_t>(aNow.time_since_epoch().count()));
  return milliseconds(
    static_cast<std::int64_t>(wait * (1 + kRetrySpread * spread)));
}

void
overload_control::RememberRefused(const overload_request& aRequest,
                                  steady_time aUntil,
                                  steady_time aNow)
{
  if (aRequest.mRepeatKey.empty()) {
    return;
  }
  if (mRefused.size() >= kMaxRefused) {
    std::erase_if(mRefused,
                  [&](const auto& aEntry) { return aEntry.second <= aNow; });
  }
  if (mRefused.size() < kMaxRefused) {
    mRefused.insert_or_assign(aRequest.mRepeatKey, aUntil);
  }
}

overload_verdict
overload_control::Refuse(overload_verdict aVerdict,
                         overload_cause aCause,
                         const group& aGroup,
                         const overload_request& aRequest,
                         steady_time aNow)
{
  aVerdict.mIsAdmitted = false;
  aVerdict.mCause = aCause;
  aVerdict.mRetryAfter = RetryAfter(aGroup, aRequest, aNow);
  RememberRefused(aRequest, aNow + aVerdict.mRetryAfter, aNow);
  return aVerdict;
}

overload_verdict
overload_control::Submit(const overload_request& aRequest,
                         steady_time aNow,
                         overload_news& aNews)
{
  std::size_t index = GroupOf(aRequest);
  group& own = mGroups[index];
  team_times& team = mTeams[aRequest.mTeam];
  team.mGroup = index;
  own.mEvidence =
    std::max(kMinEvidence, aRequest.mServices.size() / kEvidencePart);
  overload_verdict verdict;
  UpdateStrictest(own, aRequest, aNow);
  auto strictest = static_cast<std::size_t>(std::ceil(
    own.mStrictestPart * static_cast<double>(aRequest.mServices.size())));
  verdict.mLateness = OfSlowestNeeded(aRequest,
                                      strictest,
                                      [&](const service_times& aTimes) {
                                        return ExcessUs(aTimes, aNow);
                                      }) /
                      own.mBearableUs;
  aNews = UpdateLevel(own, verdict.mLateness, aNow);
  auto refused = mRefused.find(aRequest.mRepeatKey);
  bool isEarlyRepeat =
    own.mIsOverloaded && refused != mRefused.end() && refused->second > aNow;
  if (isEarlyRepeat) {
    // Not counted as demand, or repeats would take room from other requests.
    verdict.mLevel = own.mLevel;
    return Refuse(verdict, overload_cause::EarlyRepeat, own, aRequest, aNow);
  }
  double work = WorkOf(aRequest);
  verdict.mWork = microseconds(static_cast<std::int64_t>(work));
  CountDemand(own, aRequest, work, aNow);
  if (!own.mIsOverloaded) {
    mRefused.erase(aRequest.mRepeatKey);
    return verdict;
  }
  double immediate =
    std::clamp(2 - verdict.mLateness, kMinImmediateFactor, 1.0);
  verdict.mLevel = std::max(kMinLevel, own.mLevel * immediate);
  verdict.mRankShare = RankShare(own, aRequest.mRank, verdict.mLevel);
  double expectedUs = OfSlowestNeeded(
    aRequest, aRequest.mNeeded, [&](const service_times& aTimes) {
      bool isFresh = Milliseconds(aNow - aTimes.mSampledAt) < kStaleHalfLifeMs;
      return isFresh ? aTimes.mMicroseconds : 0.0;
    });
  verdict.mExpected = microseconds(static_cast<std::int64_t>(expectedUs));
  if (aNow + verdict.mExpected > aRequest.mDeadline) {
    return Refuse(verdict, overload_cause::Deadline, own, aRequest, aNow);
  }
  rank_demand& demand = own.mRanks.at(aRequest.mRank);
  double cost = work * demand.mRequests / std::max(1.0, demand.mWork);
  demand.mCredit =
    std::min(demand.mCredit + verdict.mRankShare, 1 + std::max(1.0, cost));
  bool hasRoom = verdict.mRankShare >= 1 || demand.mCredit >= cost;
  if (!hasRoom) {
    return Refuse(verdict, overload_cause::Share, own, aRequest, aNow);
  }
  demand.mCredit = std::max(0.0, demand.mCredit - cost);
  mRefused.erase(aRequest.mRepeatKey);
  return verdict;
}

void
overload_control::OnAttempt(const service_id& aService,
                            const team_id& aTeam,
                            overload_attempt aAttempt,
                            steady_time aNow)
{
  auto found = mTeams.find(aTeam);
  if (found == mTeams.end()) {
    return;
  }
  team_times& team = found->second;
  group& own = mGroups[team.mGroup];
  auto duration = static_cast<double>(aAttempt.mDuration.count());
  auto usual = static_cast<double>(team.mUsual.Value().count());
  double maxExcess = kMaxLateness * own.mBearableUs;
  double excess = std::clamp(duration - usual, 0.0, maxExcess);
  bool isShed = aAttempt.mEnd == attempt_end::Shed;
  if (isShed) {
    // A server without room would have answered later than it can bear.
    excess = maxExcess;
    duration = 0;
  }
  bool isLearnt = team.mUsual.HasEnoughSamples();
  bool hasResponded = aAttempt.mEnd == attempt_end::Responded;
  // Late attempts would make overload the usual state.
  if (hasResponded && (!isLearnt || excess < own.mBearableUs)) {
    team.mUsual.Add(aAttempt.mDuration);
  }
  if (!isLearnt) {
    return;
  }
  service_times& times = mServices[aService];
  double current = ExcessUs(times, aNow);
  auto late = static_cast<double>(microseconds(kLateBeyondUsual).count());
  if (isShed || duration - usual >= late) {
    RecordLate(own, aNow - aAttempt.mDuration, aNow);
  }
  if (aAttempt.mEnd == attempt_end::GivenUp && excess < current) {
    return;
  }
  times.mExcessUs = current + kExcessWeight * (excess - current);
  // A refusal for the deadline is certain only if all of the latest attempts
  // took too long.
  times.mMicroseconds = std::min(
    duration,
    times.mMicroseconds + kTimeWeight * (duration - times.mMicroseconds));
  times.mSampledAt = aNow;
}

bool
overload_control::IsOverloaded(const service_id& aFirstService) const
{
  auto found = mGroupOf.find(aFirstService);
  return found != mGroupOf.end() && mGroups[found->second].mIsOverloaded;
}

}
