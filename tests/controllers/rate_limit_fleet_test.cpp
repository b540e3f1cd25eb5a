#include "controllers/backend_controller.h"

#include <deque>
#include <map>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kStart{ std::chrono::hours(1) };
constexpr milliseconds kStep{ 5 };
constexpr milliseconds kServiceTime{ 15 };
const service_id kService{ "s" };

struct fleet_options
{
  int mHosts = 17;
  int mServers = 3;
  std::uint32_t mConnections = 66;
  /** Servers that announce a limit, which are the first ones. */
  int mLimitedServers = 3;
  double mPerSecond = 40;
  /** Requests per second of all callers. */
  double mDemand = 180;
  /** Part of the callers that use the first host, besides an even part. */
  double mSkew = 0;
  std::uint64_t mSeed = 1;
};

/**
 * Entry hosts that send the requests of their callers to the servers of one
 * service, some of which announce a limit in each response.
 */
class fleet
{
  struct running
  {
    std::size_t mHost = 0;
    attempt_permit mPermit;
    steady_time mEndsAt;
  };

  fleet_options mOptions;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<backend_controller>> mHosts;
  std::vector<bool> mIsInView;
  std::deque<running> mRunning;
  /** When each limited server got requests of hosts that it had told. */
  std::map<server_id, std::deque<steady_time>> mArrivals;
  double mDue = 0;

  static host_id NameOf(std::size_t aHost)
  {
    return host_id{ "e" + std::to_string(100 + aHost) };
  }

  bool IsLimited(const server_id& aServer) const
  {
    return mIsLimiting &&
           std::stoi(aServer.mValue.substr(1)) < 100 + mOptions.mLimitedServers;
  }

  void Start(std::size_t aHost, bool aIsExtra)
  {
    choice_request choice;
    choice.mService = kService;
    choice.mSnapshot = 1;
    choice.mRateRequest.mIsExtra = aIsExtra;
    auto permit = mHosts[aHost]->Choose(choice, mNow);
    if (!permit) {
      ++mRefused;
      return;
    }
    if (!mHosts[aHost]->ConfirmSend(*permit, true, mNow)) {
      mHosts[aHost]->Finish(*permit, { attempt_status::Withdrawn }, mNow);
      ++mRefused;
      return;
    }
    ++mSent;
    if (IsLimited(permit->mServer)) {
      auto& arrivals = mArrivals[permit->mServer];
      arrivals.push_back(mNow);
      while (arrivals.front() <= mNow - kRateWindow) {
        arrivals.pop_front();
      }
      ++mSentToLimited;
      mMaxInWindow = std::max(mMaxInWindow, arrivals.size());
    }
    mRunning.push_back({ aHost, *permit, mNow + kServiceTime });
  }

public:
  steady_time mNow = kStart;
  bool mIsLimiting = true;
  std::uint64_t mSent = 0;
  std::uint64_t mSentToLimited = 0;
  std::uint64_t mRefused = 0;
  /** Maximum number of requests that a limited server got in a window. */
  std::size_t mMaxInWindow = 0;

  explicit fleet(fleet_options aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
    for (int number = 0; number < mOptions.mHosts; ++number) {
      backend_config config;
      config.mSelf = NameOf(static_cast<std::size_t>(number));
      config.mFailureDomain.mValue = std::to_string(number % 4);
      config.mRampDuration = milliseconds(0);
      config.mColdAfterRefusals = 0;
      config.mSeed = mOptions.mSeed;
      mHosts.push_back(std::make_unique<backend_controller>(
        config,
        backend_hooks{ [](const std::vector<connection_id>&) {},
                       [](const server_id&) {} }));
      mIsInView.push_back(true);
    }
    SetView(mNow - std::chrono::minutes(1));
    for (int number = 0; number < mOptions.mServers; ++number) {
      server_record record;
      record.mServer.mValue = "b" + std::to_string(100 + number);
      record.mIncarnation = 1;
      record.mService = kService;
      record.mFailureDomain.mValue = std::to_string(number % 4);
      record.mConnections = mOptions.mConnections;
      record.mState = server_state::Ready;
      record.mSnapshots = { 1 };
      for (auto& host : mHosts) {
        host->Put(record, true, mNow - std::chrono::minutes(1));
      }
    }
  }

  void SetView(steady_time aNow)
  {
    std::vector<share_holder> holders;
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      if (mIsInView[host]) {
        holders.push_back(
          { NameOf(host), failure_domain_id{ std::to_string(host % 4) } });
      }
    }
    for (auto& host : mHosts) {
      host->SetHosts(holders, aNow);
    }
  }

  /** Takes a host out of the view, or back into it. */
  void ToggleHost(std::size_t aHost)
  {
    mIsInView[aHost] = !mIsInView[aHost];
    SetView(mNow);
  }

  void ResetCounts()
  {
    mSent = 0;
    mSentToLimited = 0;
    mRefused = 0;
    mMaxInWindow = 0;
    mArrivals.clear();
  }

  std::size_t RandomHost()
  {
    std::uniform_real_distribution<double> fraction(0, 1);
    if (fraction(mRandom) < mOptions.mSkew) {
      return 0;
    }
    return std::uniform_int_distribution<std::size_t>(0, mHosts.size() - 1)(
      mRandom);
  }

  void Run(milliseconds aDuration)
  {
    std::exponential_distribution<double> gap(mOptions.mDemand);
    double step = static_cast<double>(kStep.count()) / 1000;
    for (steady_time end = mNow + aDuration; mNow < end; mNow += kStep) {
      while (!mRunning.empty() && mRunning.front().mEndsAt <= mNow) {
        running ended = mRunning.front();
        mRunning.pop_front();
        attempt_report report{ attempt_status::Answered, kServiceTime, 0 };
        report.mNotice.mRate.mKind = rate_notice_kind::Unlimited;
        if (IsLimited(ended.mPermit.mServer)) {
          report.mNotice.mRate = { rate_notice_kind::Limited,
                                   mOptions.mPerSecond };
        }
        mHosts[ended.mHost]->Finish(ended.mPermit, report, mNow);
      }
      for (mDue -= step; mDue <= 0; mDue += gap(mRandom)) {
        std::size_t host = RandomHost();
        bool isExtra = std::uniform_int_distribution<int>(0, 9)(mRandom) == 0;
        Start(host, isExtra);
      }
    }
  }

  /** Requests that a limited server may get in a window. */
  std::size_t Allowed() const
  {
    return TotalQuota(mOptions.mPerSecond).mRequests;
  }
  /** Part of the limits that was used. */
  double UsedPart(milliseconds aDuration) const
  {
    double allowed = mOptions.mPerSecond * mOptions.mLimitedServers *
                     static_cast<double>(aDuration.count()) / 1000;
    return static_cast<double>(mSentToLimited) / allowed;
  }
};

constexpr milliseconds kSettling{ 5000 };
constexpr milliseconds kDay{ 20'000 };

}

TEST_GROUP(rate_limit_fleet){};

TEST(rate_limit_fleet, ServersGetNoMoreThanTheRateTheyAnnounced)
{
  for (double perSecond : { 0.0, 0.3, 2.0, 3.2, 40.0, 90.0 }) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      fleet_options options;
      options.mServers = perSecond < 10 ? 13 : 3;
      options.mLimitedServers = perSecond < 10 ? 8 : 3;
      options.mPerSecond = perSecond;
      options.mSeed = seed;
      fleet all(options);
      all.Run(kSettling);
      all.ResetCounts();
      all.Run(kDay);
      if (all.mMaxInWindow > all.Allowed() + 1) {
        std::printf("rate %.1f seed %d\n", perSecond, static_cast<int>(seed));
      }
      // Hosts without a part of the rate may make a trial.
      CHECK(all.mMaxInWindow <= all.Allowed() + 1);
    }
  }
}

TEST(rate_limit_fleet, NearlyAllOfTheRateIsUsedUnderLoad)
{
  fleet_options options;
  options.mDemand = 240;
  for (double perSecond : { 10.0, 40.0 }) {
    options.mPerSecond = perSecond;
    fleet all(options);
    all.Run(kSettling);
    all.ResetCounts();
    all.Run(kDay);
    CHECK(all.UsedPart(kDay) > 0.85);
    CHECK(all.mMaxInWindow <= all.Allowed());
  }
}

TEST(rate_limit_fleet, RateIsKeptWhileHostsComeAndGo)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    fleet_options options;
    options.mHosts = 9;
    options.mDemand = 300;
    options.mSeed = seed;
    fleet all(options);
    all.Run(kSettling);
    all.ResetCounts();
    std::mt19937_64 random(seed);
    for (int change = 0; change < 30; ++change) {
      all.Run(milliseconds(500 + random() % 1500));
      all.ToggleHost(random() % 9);
    }
    CHECK(all.mMaxInWindow <= all.Allowed() + 1);
  }
}

TEST(rate_limit_fleet, RateIsKeptByAFleetWithFewerConnectionsThanHosts)
{
  fleet_options options;
  options.mHosts = 105;
  options.mConnections = 55;
  options.mPerSecond = 60;
  options.mDemand = 700;
  fleet all(options);
  all.Run(kSettling);
  all.ResetCounts();
  all.Run(kDay);
  CHECK(all.mMaxInWindow <= all.Allowed());
  CHECK(all.UsedPart(kDay) > 0.8);
}

TEST(rate_limit_fleet, TrafficReturnsInStepsWhenTheLimitEnds)
{
  fleet_options options;
  options.mPerSecond = 10;
  options.mDemand = 300;
  fleet all(options);
  all.Run(kSettling);
  all.mIsLimiting = false;
  std::vector<std::uint64_t> perSecond;
  for (int second = 0; second < 8; ++second) {
    all.ResetCounts();
    all.Run(milliseconds(1000));
    perSecond.push_back(all.mSent);
  }
  CHECK(perSecond[0] < 150);
  CHECK(perSecond[7] > 270);
}
