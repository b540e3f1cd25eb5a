#include "decisions/admission/overload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

constexpr std::size_t kShards = 36;
constexpr std::size_t kServersOfShard = 3;
constexpr std::size_t kSlots = 4;
/** The page's load leaves most slots idle even when it is 2.2 times as high and
 * servers are three times slower. Load and hosts are multiplied, so that the
 * slots are too few then and each host still sees about one request a second.
 */
constexpr int kScale = 4;
/** Time of a request and of an attempt that no server spends. */
constexpr int kOwnMs = 12;

/** One kind of request of docs/HARD-LOAD.md. */
struct kind
{
  overload_rank mRank;
  int mDeadlineMs = 0;
  double mPerSecond = 0;
  double mCoverage = 1;
  double mWorkMs = 0;
};

struct deployment
{
  std::size_t mHosts = 0;
  int mPauseMs = 0;
  int mPauseEveryMs = 0;
  /** By priority: urgent, main, patient. */
  std::array<kind, 3> mKinds;
};

const deployment kProfiles{
  104,
  120,
  3000,
  { { { { 0, milliseconds(50) }, 300, 36.4, 0.85, 3.8 },
      { { 1, milliseconds(150) }, 600, 63, 0.95, 11 },
      { { 2, milliseconds(800) }, 2000, 21, 1, 90 } } }
};
const deployment kHuts{
  76,
  150,
  3600,
  { { { { 0, milliseconds(80) }, 300, 26.4, 0.85, 5 },
      { { 1, milliseconds(200) }, 800, 79.1, 0.95, 15 },
      { { 2, milliseconds(500) }, 3000, 26.4, 1, 120 } } }
};

/** A period in which load or servers differ from the ordinary. */
struct trouble
{
  int mFromMs = 0;
  int mToMs = 0;
  double mLoad = 1;
  /** Time of work relative to the usual; 0 if the servers do nothing. */
  double mSlowness = 1;
  /** The first shards, and the first servers of each, that it applies to. */
  std::size_t mShards = kShards;
  std::size_t mServers = kServersOfShard;

  [[nodiscard]] bool IsAt(int aMs) const
  {
    return aMs >= mFromMs && aMs < mToMs;
  }
};

struct outcome
{
  int mRequests = 0;
  int mRefused = 0;
  int mInTime = 0;

  void Add(const outcome& aOther)
  {
    mRequests += aOther.mRequests;
    mRefused += aOther.mRefused;
    mInTime += aOther.mInTime;
  }
  [[nodiscard]] double InTime() const { return mInTime * 1.0 / mRequests; }
};

struct played_request
{
  const kind* mKind = nullptr;
  std::size_t mHost = 0;
  int mStartMs = 0;
  std::size_t mNeeded = 1;
  std::size_t mAnswered = 0;
  bool mHasEnded = false;
  outcome* mOutcome = nullptr;
};

struct played_part
{
  std::shared_ptr<played_request> mRequest;
  std::size_t mService = 0;
  std::size_t mAsker = 0;
  double mWorkMs = 0;
};

}

namespace {

/** Time to notice an overload and to let queues empty, for hosts that see one
 * request a second: two of them, and the longest deadline of a scattered one,
 * in whole seconds. */
constexpr int kNoticeMs = 3'000;
/** Time within which all is admitted again. */
constexpr int kRecoveryMs = 4'000;
constexpr int kBurstMs = 20'000;
constexpr int kBurstEndMs = 28'000;
const trouble kBurst{ kBurstMs, kBurstEndMs, 2.2, 3 };

/** The part of the scattered demand, in work, for which servers have slots. */
double
CapacityByDemand(const deployment& aDeployment, const trouble& aTrouble)
{
  double demand = 0;
  for (std::size_t priority = 0; priority < 2; ++priority) {
    const kind& scattered = aDeployment.mKinds[priority];
    demand += kScale * scattered.mPerSecond * scattered.mWorkMs / 1000;
  }
  demand *= aTrouble.mLoad * aTrouble.mSlowness;
  double paused = 1.0 * aDeployment.mPauseMs / aDeployment.mPauseEveryMs;
  return kServersOfShard * kSlots * (1 - paused) / demand;
}

}

/**
 * Plays a deployment's load, one millisecond after the other, on hosts that
 * each decide by themselves. A server works on as many parts as it has slots;
 * the others wait. Each request is divided among three hosts, which
 * see the times of its parts.
 */
TEST_GROUP(overload)
{
  const deployment* mDeployment = nullptr;
  std::mt19937 mRandom{ 7 };
  std::vector<overload_control> mControls;
  std::vector<trouble> mTroubles;
  std::array<std::array<std::deque<played_part>, 6>, kShards + 1> mServers;
  /** What callers got, by second and priority. */
  std::array<std::array<outcome, 3>, 60> mSeconds{};
  int mNowMs = 0;
  int mNextFingerprint = 0;
  bool mRefuses = true;
  /** How often a refused request is sent again before its Retry-After. */
  int mRepeats = 0;
  int mEarlyRepeats = 0;

  void Restart()
  {
    mControls.clear();
    mServers = {};
    mSeconds = {};
    mNowMs = 0;
  }
  [[nodiscard]] outcome Sum(std::size_t aPriority, int aFromMs, int aToMs) const
  {
    outcome sum;
    for (int second = aFromMs / 1000; second * 1000 < aToMs; ++second) {
      sum.Add(mSeconds[static_cast<std::size_t>(second)][aPriority]);
    }
    return sum;
  }

  double Uniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution<double>(aFrom, aTo)(mRandom);
  }
  std::size_t Pick(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }
  [[nodiscard]] steady_time Now() const
  {
    return steady_time(std::chrono::hours(1)) + milliseconds(mNowMs);
  }

  static overload_request RequestOf(
    const kind& aKind, const std::string& aFingerprint, steady_time aNow)
  {
    overload_request request;
    request.mTeam.mValue = std::to_string(aKind.mRank.mPriority);
    request.mRank = aKind.mRank;
    static const std::vector<service_id> kPlain{ { "plain" } };
    static const std::vector<service_id> kAllShards = [] {
      std::vector<service_id> shards;
      for (std::size_t shard = 0; shard < kShards; ++shard) {
        shards.push_back({ "shard" + std::to_string(shard) });
      }
      return shards;
    }();
    request.mServices = aKind.mRank.mPriority == 2 ? kPlain : kAllShards;
    request.mNeeded = static_cast<std::size_t>(std::ceil(
      aKind.mCoverage * static_cast<double>(request.mServices.size())));
    request.mRepeatKey = aFingerprint;
    request.mDeadline = aNow + milliseconds(aKind.mDeadlineMs);
    return request;
  }

  overload_verdict Arrive(
    const kind& aKind, std::size_t aHost, const std::string& aFingerprint)
  {
    overload_request request = RequestOf(aKind, aFingerprint, Now());
    overload_news news;
    overload_verdict verdict = mControls[aHost].Submit(request, Now(), news);
    outcome& counted =
      mSeconds[static_cast<std::size_t>(mNowMs) / 1000][aKind.mRank.mPriority];
    ++counted.mRequests;
    if (!verdict.mIsAdmitted && mRefuses) {
      ++counted.mRefused;
      return verdict;
    }
    auto played = std::make_shared<played_request>(played_request{
      &aKind, aHost, mNowMs, request.mNeeded, 0, false, &counted });
    for (std::size_t part = 0; part < request.mServices.size(); ++part) {
      bool isPlain = request.mServices.size() == 1;
      std::size_t service = isPlain ? kShards : part;
      std::size_t servers = isPlain ? 6 : kServersOfShard;
      auto& one = mServers[service][Pick(servers)];
      auto& other = mServers[service][Pick(servers)];
      auto& chosen = one.size() <= other.size() ? one : other;
      chosen.push_back({ played,
                         service,
                         (aHost + part % 3 * 11) % mControls.size(),
                         aKind.mWorkMs * Uniform(0.5, 1.5) });
    }
    return verdict;
  }

  void EndPart(const played_part& aPart, bool aIsAnswered)
  {
    played_request& request = *aPart.mRequest;
    int tookMs = mNowMs - request.mStartMs + kOwnMs;
    mControls[aPart.mAsker].OnAttempt(
      { aPart.mService == kShards ? "plain"
                                  : "shard" + std::to_string(aPart.mService) },
      { std::to_string(request.mKind->mRank.mPriority) },
      { aIsAnswered ? attempt_end::Responded : attempt_end::GivenUp,
        milliseconds(tookMs) },
      Now());
    request.mAnswered += aIsAnswered ? 1 : 0;
    if (!request.mHasEnded && request.mAnswered >= request.mNeeded) {
      request.mHasEnded = true;
      bool isInTime = tookMs <= request.mKind->mRank.mObjective.count();
      request.mOutcome->mInTime += isInTime ? 1 : 0;
    }
  }

  [[nodiscard]] double SpeedOf(std::size_t aService, std::size_t aServer) const
  {
    auto phase = static_cast<int>(97 * (aService * 6 + aServer));
    if ((mNowMs + phase) % mDeployment->mPauseEveryMs < mDeployment->mPauseMs) {
      return 0;
    }
    // The servers of the patient kind have enough slots.
    double speed = aService == kShards ? 2 * kScale : 1;
    for (const trouble& now : mTroubles) {
      if (now.IsAt(mNowMs) && aService < now.mShards &&
          aServer < now.mServers) {
        speed = now.mSlowness == 0 ? 0 : speed / now.mSlowness;
      }
    }
    return speed;
  }

  void Work(std::deque<played_part> & aServer, double aSpeed)
  {
    // Parts of requests that have ended or are out of time are cancelled.
    std::erase_if(aServer, [this](const played_part& aPart) {
      const played_request& request = *aPart.mRequest;
      bool isOver = request.mHasEnded ||
                    mNowMs - request.mStartMs >= request.mKind->mDeadlineMs;
      if (isOver) {
        EndPart(aPart, false);
      }
      return isOver;
    });
    std::size_t running = std::min(kSlots, aServer.size());
    for (std::size_t slot = 0; slot < running; ++slot) {
      aServer[slot].mWorkMs -= aSpeed;
    }
    std::erase_if(aServer, [this](const played_part& aPart) {
      if (aPart.mWorkMs <= 0) {
        EndPart(aPart, true);
      }
      return aPart.mWorkMs <= 0;
    });
  }

  void Step()
  {
    double load = 1;
    for (const trouble& now : mTroubles) {
      load *= now.IsAt(mNowMs) ? now.mLoad : 1;
    }
    for (const kind& played : mDeployment->mKinds) {
      std::poisson_distribution<int> arrivals(kScale * played.mPerSecond *
                                              load / 1000);
      for (int left = arrivals(mRandom); left > 0; --left) {
        std::size_t host = Pick(mControls.size());
        std::string fingerprint = std::to_string(++mNextFingerprint);
        bool isRefused = !Arrive(played, host, fingerprint).mIsAdmitted;
        for (int repeat = 0; repeat < mRepeats && isRefused; ++repeat) {
          overload_news news;
          auto verdict = mControls[host].Submit(
            RequestOf(played, fingerprint, Now()), Now(), news);
          CHECK(!verdict.mIsAdmitted);
          mEarlyRepeats +=
            verdict.mCause == overload_cause::EarlyRepeat ? 1 : 0;
        }
      }
    }
    for (std::size_t service = 0; service <= kShards; ++service) {
      for (std::size_t server = 0; server < 6; ++server) {
        Work(mServers[service][server], SpeedOf(service, server));
      }
    }
    ++mNowMs;
  }

  void CheckNothingRefused(int aFromMs, int aToMs)
  {
    for (std::size_t priority = 0; priority < 3; ++priority) {
      LONGS_EQUAL(0, Sum(priority, aFromMs, aToMs).mRefused);
    }
  }

  /** Callers get at least what fits, the urgent ones first. */
  void CheckServed(const deployment& aDeployment, const trouble& aTrouble)
  {
    double fits = CapacityByDemand(aDeployment, aTrouble);
    int from = aTrouble.mFromMs + kNoticeMs;
    outcome urgent = Sum(0, from, aTrouble.mToMs);
    outcome main = Sum(1, from, aTrouble.mToMs);
    outcome patient = Sum(2, from, aTrouble.mToMs);
    outcome all = urgent;
    all.Add(main);
    all.Add(patient);
    CHECK(all.InTime() >= fits);
    CHECK(urgent.InTime() >= fits);
    CHECK(urgent.InTime() > main.InTime());
    CHECK(main.mInTime > 0);
    // The patient kind has servers of its own, which have room.
    LONGS_EQUAL(0, patient.mRefused);
    CHECK(patient.InTime() >= 0.99);
  }

  void CheckBurst(const deployment& aDeployment)
  {
    mTroubles = { { kBurstMs, kBurstEndMs, 2.2, 3 } };
    Play(aDeployment, kBurstEndMs + kRecoveryMs + 6000);
    CheckNothingRefused(0, kBurstMs);
    CheckServed(aDeployment, mTroubles.front());
    CheckNothingRefused(kBurstEndMs + kRecoveryMs,
                        kBurstEndMs + kRecoveryMs + 6000);
  }

  /** One host learns the usual times of attempts. */
  void Learn()
  {
    mDeployment = &kHuts;
    mControls.emplace_back(0);
    for (int count = 0; count < 10; ++count) {
      Arrive(kHuts.mKinds[0], 0, "l");
      Arrive(kHuts.mKinds[1], 0, "l");
      mNowMs += 500;
      Answer(36, 20, 0);
    }
  }
  /** Both scattered kinds get answers that took the given time. */
  void Answer(int aParts, int aTookMs, int aAfterMs)
  {
    mNowMs += aAfterMs;
    for (int part = 0; part < aParts; ++part) {
      for (const char* team : { "0", "1" }) {
        mControls[0].OnAttempt(
          { "shard" + std::to_string(part) },
          { team },
          { attempt_end::Responded, milliseconds(aTookMs) },
          Now());
      }
    }
  }
  void BeginOverload()
  {
    Learn();
    Answer(36, 400, 0);
    Answer(36, 400, 450);
    Arrive(kHuts.mKinds[1], 0, "first");
    CHECK(mControls[0].IsOverloaded({ "shard0" }));
  }

  void Play(const deployment& aDeployment, int aUntilMs)
  {
    mDeployment = &aDeployment;
    for (std::size_t host = mControls.size();
         host < aDeployment.mHosts * kScale;
         ++host) {
      mControls.emplace_back(host);
    }
    while (mNowMs < aUntilMs) {
      Step();
    }
  }
};

// Guards against a load that is no overload, which would prove nothing.
TEST(overload, WithoutRefusalsAlmostAllScatteredRequestsAreLate)
{
  mRefuses = false;
  mTroubles = { kBurst };
  Play(kHuts, kBurstEndMs);
  outcome scattered = Sum(0, kBurstMs, kBurstEndMs);
  scattered.Add(Sum(1, kBurstMs, kBurstEndMs));
  CHECK(scattered.InTime() < CapacityByDemand(kHuts, kBurst) / 2);
}

// Guards against overload in which everything is late, urgent requests first,
// and against refusals that outlast it.
TEST(overload, TheProfilesBurstServesWhatFits)
{
  CheckBurst(kProfiles);
}

TEST(overload, TheHutsBurstServesWhatFits)
{
  CheckBurst(kHuts);
}

// Guards against refusals in a burst that the servers can bear.
TEST(overload, ABurstWithinCapacityRefusesNothing)
{
  for (const deployment* played : { &kProfiles, &kHuts }) {
    Restart();
    mTroubles = { { 10'000, 13'000, 1.7, 1 } };
    Play(*played, 16'000);
    CheckNothingRefused(0, 16'000);
  }
}

// Guards against refusals for pauses, slow servers and crashed ones.
TEST(overload, InCalmNothingIsRefused)
{
  const std::vector<trouble> kKinds{
    // Regular pauses alone.
    { 0, 0 },
    // A slow server in each of three shards, and in each of all.
    { 5'000, 25'000, 1, 11, 3, 1 },
    { 5'000, 25'000, 1, 5, kShards, 1 },
    // A server in each of three shards answers nothing any more.
    { 5'000, 25'000, 1, 0, 3, 1 },
    // All servers are slow, with room left.
    { 5'000, 25'000, 1, 2 },
  };
  for (const trouble& played : kKinds) {
    for (const deployment* on : { &kProfiles, &kHuts }) {
      Restart();
      mTroubles = { played };
      Play(*on, 30'000);
      CheckNothingRefused(0, 30'000);
    }
  }
}

// Guards against refusals on account of a shard that is not needed for the
// coverage.
TEST(overload, OneSlowShardRefusesNothing)
{
  mTroubles = { { 10'000, 18'000, 1.7, 10, 1 } };
  Play(kHuts, 20'000);
  CheckNothingRefused(0, 20'000);
}

// Guards against overload of a few shards that the coverage needs.
TEST(overload, SlowShardsThatAreNeededLimitWhatIsAdmitted)
{
  mTroubles = { { 10'000, 18'000, 1.7, 10, 8 } };
  Play(kHuts, 24'000);
  CHECK(Sum(1, 13'000, 18'000).mRefused > 0);
  CheckNothingRefused(22'000, 24'000);
}

// Guards against callers who repeat at once and so take the room of others.
TEST(overload, EarlyRepeatsTakeNothingFromOthers)
{
  mTroubles = { kBurst };
  mRepeats = 10;
  Play(kHuts, kBurstEndMs);
  CHECK(mEarlyRepeats > 1000);
  CheckServed(kHuts, kBurst);
}

// Guards against a host that believes its own pause to be an overload.
TEST(overload, AttemptsThatWereInFlightTogetherAreNotEnough)
{
  Learn();
  mNowMs += 1000;
  Answer(36, 1200, 2000);
  CHECK(Arrive(kHuts.mKinds[1], 0, "next").mIsAdmitted);
  CHECK(!mControls[0].IsOverloaded({ "shard0" }));
}

// Guards against a host that adds up its pauses to an overload.
TEST(overload, LateAttemptsOfLongAgoAreNoEvidence)
{
  Learn();
  for (int count = 0; count < 5; ++count) {
    Answer(36, 400, 3000);
    std::string name = "n" + std::to_string(count);
    CHECK(Arrive(kHuts.mKinds[1], 0, name).mIsAdmitted);
    CHECK(!mControls[0].IsOverloaded({ "shard0" }));
  }
}

// Guards against requests that take longer than others of their route passing
// for overload.
TEST(overload, SomeLongRequestsOfARouteAreNoEvidence)
{
  Learn();
  for (int count = 0; count < 4000; ++count) {
    std::string name = "n" + std::to_string(count);
    CHECK(Arrive(kHuts.mKinds[2], 0, name).mIsAdmitted);
    int tookMs = Uniform(0, 1) < 0.15 ? 900 : 120;
    mControls[0].OnAttempt({ "plain" },
                           { "2" },
                           { attempt_end::Responded, milliseconds(tookMs) },
                           Now());
    mNowMs += count % 20 == 0 ? 50 : 0;
  }
}

// Guards against an overload of servers that get whole requests going
// unnoticed.
TEST(overload, ServersOfWholeRequestsCanBeOverloaded)
{
  Learn();
  int refused = 0;
  for (int count = 0; count < 300; ++count) {
    std::string name = "n" + std::to_string(count);
    refused += Arrive(kHuts.mKinds[2], 0, name).mIsAdmitted ? 0 : 1;
    int tookMs = count < 100 ? 120 : 1500;
    mControls[0].OnAttempt({ "plain" },
                           { "2" },
                           { attempt_end::Responded, milliseconds(tookMs) },
                           Now());
    mNowMs += 20 + (count >= 100 ? 30 : 0);
  }
  CHECK(refused > 0);
}

// Guards against refusing for ever where servers are slow for another reason.
TEST(overload, RefusalsThatDoNotHelpEnd)
{
  BeginOverload();
  for (int count = 0; count < 100; ++count) {
    Answer(36, 700, 0);
    Arrive(kHuts.mKinds[1], 0, "f" + std::to_string(count));
    mNowMs += 100;
  }
  CHECK(!mControls[0].IsOverloaded({ "shard0" }));
  CHECK(Arrive(kHuts.mKinds[1], 0, "last").mIsAdmitted);
}

// Guards against a Retry-After that brings all ranks back together.
TEST(overload, UrgentCallersReturnFirst)
{
  BeginOverload();
  auto maxRetry = [this](const kind& aKind) {
    milliseconds longest{ 0 };
    for (int count = 0; count < 40; ++count) {
      longest =
        std::max(longest, Arrive(aKind, 0, std::to_string(count)).mRetryAfter);
    }
    return longest;
  };
  milliseconds main = maxRetry(kHuts.mKinds[1]);
  CHECK(main >= milliseconds(200));
  CHECK(maxRetry(kHuts.mKinds[0]) < main);
}

// Guards against work for a request that can't be answered in time any more.
TEST(overload, ARequestWithoutEnoughTimeIsRefusedAtOnce)
{
  BeginOverload();
  kind urgent = kHuts.mKinds[0];
  urgent.mDeadlineMs = 100;
  for (int count = 0; count < 20; ++count) {
    Answer(36, 400, 0);
    CHECK(!Arrive(urgent, 0, std::to_string(count)).mIsAdmitted);
  }
}

// Guards against starvation of a rank whose share is the smallest.
TEST(overload, EachRankKeepsAShare)
{
  BeginOverload();
  int admitted = 0;
  for (int count = 0; count < 100; ++count) {
    Answer(36, 700, 0);
    Arrive(kHuts.mKinds[0], 0, "u" + std::to_string(count));
    bool isAdmitted =
      Arrive(kHuts.mKinds[1], 0, "m" + std::to_string(count)).mIsAdmitted;
    admitted += isAdmitted ? 1 : 0;
  }
  CHECK(admitted >= 4);
}
