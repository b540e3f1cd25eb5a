#include "controllers/crash_controller.h"
#include "controllers/fingerprint_controller.h"
#include "decisions/state/control_state.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

constexpr milliseconds kStep{ 20 };
constexpr milliseconds kRunTime{ 90 };
constexpr milliseconds kDownTime{ 3000 };
constexpr int kHosts = 6;
constexpr int kServers = 7;
constexpr int kPaths = 200;

struct running_request
{
  std::string mPath;
  int mHost = 0;
  int mServer = 0;
  steady_time mEndsAt;
};

struct simulated_server
{
  incarnation_number mIncarnation = 1;
  steady_time mUpAt;
};

/** Entry hosts that share one control state, servers that crash for other
 * causes, and requests that lose their server by chance or by themselves. */
struct fleet
{
  std::mt19937_64 mRandom;
  steady_time mNow{ std::chrono::hours(1) };
  std::vector<crash_controller> mCrashes{ kHosts };
  std::vector<std::unique_ptr<fingerprint_controller>> mAnswered;
  std::vector<simulated_server> mServers{ kServers };
  std::vector<running_request> mRunning;
  control_state mState{ {} };
  log_index mIndex = 0;
  /** Runs of the harmful request that began. */
  int mHarmfulRuns = 0;
  int mWronglyRefused = 0;
  /** Share of the runs whose connection is lost although the server is sound.
   */
  double mResetShare = 0;

  explicit fleet(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (int host = 0; host < kHosts; ++host) {
      mAnswered.push_back(std::make_unique<fingerprint_controller>(1000));
    }
  }

  int Draw(int aCount)
  {
    return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom);
  }
  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
  }

  void Apply(record_change aChange)
  {
    change_command command;
    command.mProposedAt =
      std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch()).count();
    command.mChanges.push_back(std::move(aChange));
    mState.Apply(++mIndex, command);
  }

  [[nodiscard]] std::optional<quarantine_record> Record(
    const std::string& aPath) const
  {
    for (const record_change& record : mState.Records()) {
      const auto* found = std::get_if<quarantine_record>(&record);
      if (found != nullptr && found->mFingerprint.mValue == aPath) {
        return *found;
      }
    }
    return std::nullopt;
  }

  void Crash(int aServer)
  {
    simulated_server& server = mServers[static_cast<std::size_t>(aServer)];
    for (const running_request& request : mRunning) {
      if (request.mServer == aServer) {
        Lose(request);
      }
    }
    std::erase_if(mRunning, [&](const running_request& aRequest) {
      return aRequest.mServer == aServer;
    });
    ++server.mIncarnation;
    server.mUpAt = mNow + kDownTime;
  }

  void Lose(const running_request& aRequest)
  {
    auto server = static_cast<std::size_t>(aRequest.mServer);
    mCrashes[static_cast<std::size_t>(aRequest.mHost)].OnLost(
      fingerprint_id{ aRequest.mPath },
      { server_id{ std::to_string(server) }, mServers[server].mIncarnation },
      "address",
      mNow);
  }

  /** A request arrives at a host drawn by lot, which asks a server. */
  void Arrive(const std::string& aPath)
  {
    auto record = Record(aPath);
    if (record && record->IsForwardRefused()) {
      mWronglyRefused += aPath == "harmful" ? 0 : 1;
      return;
    }
    int server = Draw(kServers);
    if (mServers[static_cast<std::size_t>(server)].mUpAt > mNow) {
      return;
    }
    int host = Draw(kHosts);
    mRunning.push_back({ aPath, host, server, mNow + kRunTime });
    if (aPath == "harmful") {
      ++mHarmfulRuns;
      Crash(server);
    }
  }

  void EndRuns()
  {
    for (const running_request& request : mRunning) {
      if (request.mEndsAt > mNow) {
        continue;
      }
      if (Chance(mResetShare)) {
        Lose(request);
        continue;
      }
      fingerprint_id id{ request.mPath };
      mAnswered[static_cast<std::size_t>(request.mHost)]->SetHarmless(id, mNow);
      if (Record(request.mPath)) {
        Apply(record_removal{ record_kind::Quarantine, request.mPath });
      }
    }
    std::erase_if(mRunning, [&](const running_request& aRequest) {
      return aRequest.mEndsAt <= mNow;
    });
  }

  void InvestigateCrashes()
  {
    auto fate = [&](const server_start& aStart) {
      auto server = static_cast<std::size_t>(std::stoi(aStart.mServer.mValue));
      return mServers[server].mIncarnation == aStart.mIncarnation
               ? server_fate::Unchanged
               : server_fate::Ended;
    };
    for (std::size_t host = 0; host < kHosts; ++host) {
      for (const due_probe& probe : mCrashes[host].TakeDueProbes(mNow)) {
        auto server =
          static_cast<std::size_t>(std::stoi(probe.mStart.mServer.mValue));
        bool isDown = mServers[server].mUpAt > mNow;
        mCrashes[host].OnProbe(probe.mStart,
                               isDown ? connect_result::Refused
                                      : connect_result::Accepted);
      }
      for (const fingerprint_id& request :
           mCrashes[host].TakeConfirmed(fate, mNow)) {
        if (mAnswered[host]->WasAnsweredSince(request,
                                              mNow - milliseconds(10'000))) {
          continue;
        }
        quarantine_record incident;
        incident.mFingerprint = request;
        incident.mIncidents = 1;
        Apply(incident);
      }
    }
    LiftSuspicions();
  }

  /** Hosts that answered a suspected request of late end the suspicion. */
  void LiftSuspicions()
  {
    for (const record_change& record : mState.Records()) {
      const auto* suspected = std::get_if<quarantine_record>(&record);
      bool wasAnswered =
        suspected != nullptr &&
        std::any_of(mAnswered.begin(), mAnswered.end(), [&](const auto& aHost) {
          return aHost->WasAnsweredSince(suspected->mFingerprint,
                                         mNow - milliseconds(10'000));
        });
      if (wasAnswered) {
        Apply(record_removal{ record_kind::Quarantine,
                              suspected->mFingerprint.mValue });
      }
    }
  }

  /** Requests of others for a while, at a rate for each step. */
  void Run(milliseconds aTime, double aPerStep, double aCrashShare)
  {
    for (steady_time end = mNow + aTime; mNow < end; mNow += kStep) {
      EndRuns();
      std::poisson_distribution<int> arrivals(aPerStep);
      for (int count = arrivals(mRandom); count > 0; --count) {
        Arrive("path" + std::to_string(Draw(kPaths)));
      }
      for (int server = 0; server < kServers; ++server) {
        bool isUp = mServers[static_cast<std::size_t>(server)].mUpAt <= mNow;
        if (isUp && Chance(aCrashShare)) {
          Crash(server);
        }
      }
      InvestigateCrashes();
    }
  }
};

constexpr double kPerStep = 2.4;
/** One crash of a server in 40 s. */
constexpr double kCrashShare = 0.0005;

}

TEST_GROUP(crash_fleet){};

// Guards against requests that crash one server after the other: nobody counted
// the crashes of forwarded requests.
TEST(crash_fleet, ARequestThatCrashesServersSoonReachesNone)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    fleet hosts(seed);
    hosts.Run(milliseconds(5000), kPerStep, kCrashShare);
    for (int sent = 0; sent < 40; ++sent) {
      hosts.Arrive("harmful");
      hosts.Run(milliseconds(1000), kPerStep, kCrashShare);
    }
    CHECK_TEXT(hosts.mHarmfulRuns <= 6, std::to_string(seed).c_str());
    CHECK_TEXT(hosts.mWronglyRefused == 0, std::to_string(seed).c_str());
  }
}

TEST(crash_fleet, CrashesForOtherCausesRefuseNoRequest)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    fleet hosts(seed);
    hosts.mResetShare = 0.1;
    for (int round = 0; round < 4; ++round) {
      hosts.Run(milliseconds(10'000), kPerStep, kCrashShare * 4);
      // All servers of the service end at once.
      for (int server = 0; server < kServers; ++server) {
        hosts.Crash(server);
      }
    }
    hosts.Run(milliseconds(10'000), kPerStep, kCrashShare);
    CHECK_TEXT(hosts.mWronglyRefused == 0, std::to_string(seed).c_str());
  }
}

TEST(crash_fleet, LostConnectionsToSoundServersRefuseNoRequest)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    fleet hosts(seed);
    hosts.mResetShare = 0.6;
    hosts.Run(milliseconds(30'000), kPerStep, 0);
    LONGS_EQUAL(0, hosts.mWronglyRefused);
    LONGS_EQUAL(0, hosts.mState.Records().size());
  }
}
