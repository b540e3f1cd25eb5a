#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace hibiscusspool {

/** One backend server that could take an attempt now. */
struct replica_candidate
{
  /** Place in the caller's own list. */
  std::size_t mPosition = 0;
  /** Attempts that this host has under way there. */
  std::uint32_t mOutstanding = 0;
  microseconds mServiceTime{ 0 };
  bool mIsOwnDomain = false;
  /** A connection is open and unused. */
  bool mHasConnection = false;
  /** What the way there and the chance of a failure count for, in time. */
  microseconds mHandicap{ 0 };
};

/** Expected time until an attempt sent now is answered. */
microseconds
ExpectedTime(const replica_candidate& aCandidate);

/**
 * True when the first is expected to answer sooner. The own failure domain and
 * an open connection decide between equals only.
 */
bool
IsBetter(const replica_candidate& aOne, const replica_candidate& aOther);

/**
 * Picks the better of two random candidates of the own failure domain, and of
 * two of the others, and of these two the better by expected time. So the own
 * domain is always looked at, and nobody sends all to the one best server.
 */
std::optional<std::size_t>
PickReplica(std::vector<replica_candidate> aCandidates,
            std::mt19937_64& aRandom);

}
