#include "decisions/rollout/version_odds.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace hibiscusspool {

namespace {

/** Chance that a server's machine is in trouble in a segment, on a bad day. */
constexpr double kTrouble = 0.15;
/** What a bad version adds to the rate, as parts of the rest up to 1. */
constexpr std::array kAddedRates{ 0.2, 0.35, 0.5, 0.7, 0.9, 0.98 };

/** The likelihood of one server's results in a segment. */
double
Likelihood(const server_results& aResults, double aRate)
{
  double inTrouble = 1 / (static_cast<double>(aResults.mTotal) + 1);
  return (1 - kTrouble) *
           BinomialProbability(aResults.mTotal, aResults.mBad, aRate) +
         kTrouble * inTrouble;
}

double
LogLikelihood(const std::vector<server_results>& aResults, double aRate)
{
  double sum = 0;
  for (const server_results& results : aResults) {
    sum += std::log(Likelihood(results, aRate));
  }
  return sum;
}

}

double
BinomialProbability(std::uint64_t aTotal, std::uint64_t aBad, double aRate)
{
  if (aBad > aTotal) {
    return 0;
  }
  auto total = static_cast<double>(aTotal);
  auto bad = static_cast<double>(aBad);
  double logChoices = std::lgamma(total + 1) - std::lgamma(bad + 1) -
                      std::lgamma(total - bad + 1);
  return std::exp(logChoices + bad * std::log(aRate) +
                  (total - bad) * std::log1p(-aRate));
}

double
VersionOdds(const std::vector<server_results>& aResults, double aRate)
{
  std::array<double, kAddedRates.size()> logs{};
  for (std::size_t index = 0; index < logs.size(); ++index) {
    logs[index] =
      LogLikelihood(aResults, aRate + (1 - aRate) * kAddedRates[index]);
  }
  // The mean of the likelihoods, without an underflow.
  double greatest = *std::max_element(logs.begin(), logs.end());
  double sum = 0;
  for (double value : logs) {
    sum += std::exp(value - greatest);
  }
  double bad = greatest + std::log(sum / static_cast<double>(logs.size()));
  return bad - LogLikelihood(aResults, aRate);
}

}
