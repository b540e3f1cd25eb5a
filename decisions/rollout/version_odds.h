#pragma once

#include <cstdint>
#include <vector>

namespace hibiscusspool {

/** Results of one server in one segment of time. */
struct server_results
{
  std::uint64_t mTotal = 0;
  std::uint64_t mBad = 0;
};

/** The probability of `aBad` bad results in `aTotal` independent ones, each of
 * which is bad with the probability `aRate`, from 0 to 1 exclusive. */
double
BinomialProbability(std::uint64_t aTotal, std::uint64_t aBad, double aRate);

/** The results of one server in consecutive segments of time. */
using server_history = std::vector<server_results>;

/**
 * The natural logarithm of how much likelier the results are if the version has
 * a rate of its own that is well above `aRate` than if it has that rate. In
 * either case a server's machine may be in trouble for some segments, in which
 * any rate is equally likely: so a machine that is crashed, hung or slow for
 * some time says little, and results that are bad on all servers say much.
 */
double
VersionOdds(const std::vector<server_history>& aHistories, double aRate);

}
