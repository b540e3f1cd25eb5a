#pragma once

#include "decisions/rollout/rollout_choice.h"
#include "decisions/rollout/rollout_step.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace test {

using namespace hibiscusspool;

struct simulated_result
{
  bool mIsFailure = false;
  microseconds mDuration{ 0 };
};

/** An attempt as a server gets it. */
struct simulated_attempt
{
  bool mIsNew = false;
  std::size_t mServer = 0;
  std::size_t mRoute = 0;
  milliseconds mAt{ 0 };
  /** Attempts at the server within the last 100 ms. */
  std::size_t mLoad = 0;
};

struct simulated_load
{
  std::size_t mHosts = 120;
  std::size_t mOldServers = 3;
  std::size_t mNewServers = 3;
  /** Requests a second of each route. */
  std::vector<double> mRates{ 36, 63, 10 };
  milliseconds mDuration{ 12'000 };
  std::uint64_t mSeed = 1;
  /** The result of an attempt without any fault is passed in. */
  std::function<simulated_result(const simulated_attempt&,
                                 simulated_result,
                                 std::mt19937_64&)>
    mFault;
};

struct simulated_outcome
{
  rollout_state mState = rollout_state::Running;
  milliseconds mEndedAt{ 0 };
  std::size_t mNewRequests = 0;
  std::size_t mAllRequests = 0;
  /** When the version gave its 50th bad response, if it did. */
  std::optional<milliseconds> mFiftiethBadAt;
  std::string mReason;
};

/**
 * Plays a rollout without a network: requests that arrive at random at many
 * hosts, each with the choice of `SidesToTry`, reports that reach the leader
 * late, and the leader's `StepRollout`. After a failure the request goes to an
 * old server, as do the hedges of slow ones.
 */
simulated_outcome
PlayRollout(const simulated_load& aLoad);

}
