#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace hibiscusspool {

/** A backend server that can accept an attempt now. */
struct replica_candidate
{
  /** Position in the caller's list. */
  std::size_t mPosition = 0;
  /** Attempts of this host in progress on the server. */
  std::uint32_t mOutstanding = 0;
  microseconds mServiceTime{ 0 };
  bool mIsOwnDomain = false;
  /** An idle connection is open. */
  bool mHasConnection = false;
  /** Penalty for the network path and the failure rate, as a time. */
  microseconds mPenalty{ 0 };
};

/** Expected time until the response to an attempt that is sent now. */
microseconds
ExpectedTime(const replica_candidate& aCandidate);

/**
 * True if the first is expected to respond sooner. Between equals, an open
 * connection and then the own failure domain decide.
 */
bool
IsBetter(const replica_candidate& aOne, const replica_candidate& aOther);

/**
 * Picks the better of two random candidates of the own failure domain and the
 * better of two others, and of these the one with the lower expected time. So
 * the own domain is always considered, and hosts don't all send to the best
 * server.
 */
std::optional<std::size_t>
PickReplica(std::vector<replica_candidate> aCandidates,
            std::mt19937_64& aRandom);

}
