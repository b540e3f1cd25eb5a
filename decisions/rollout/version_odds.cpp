#include "decisions/rollout/version_odds.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace hibiscusspool {

namespace {

/** Chance that a server's machine is in trouble in its first segment, gets into
 * trouble in a later one, and stays in trouble, on a bad day. */
constexpr double kTroubleAtFirst = 0.15;
constexpr double kTroubleBegins = 0.1;
constexpr double kTroubleStays = 0.6;
/** What a bad version adds to the rate, as parts of the rest up to 1. */
constexpr std::array kAddedRates{ 0.2, 0.35, 0.5, 0.7, 0.9, 0.98 };

/** The logarithm of the likelihood of one server's results: the forward
 * algorithm over the two states of its machine. */
double
LogLikelihood(const server_history& aHistory, double aRate)
{
  double logScale = 0;
  double well = 1 - kTroubleAtFirst;
  double inTrouble = kTroubleAtFirst;
  bool isFirst = true;
  for (const server_results& results : aHistory) {
    if (!isFirst) {
      double begins = well * kTroubleBegins;
      double ends = inTrouble * (1 - kTroubleStays);
      well += ends - begins;
      inTrouble += begins - ends;
    }
    isFirst = false;
    well *= BinomialProbability(results.mTotal, results.mBad, aRate);
    inTrouble /= static_cast<double>(results.mTotal) + 1;
    double sum = well + inTrouble;
    logScale += std::log(sum);
    well /= sum;
    inTrouble /= sum;
  }
  return logScale;
}

double
LogLikelihood(const std::vector<server_history>& aHistories, double aRate)
{
  double sum = 0;
  for (const server_history& history : aHistories) {
    sum += LogLikelihood(history, aRate);
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
VersionOdds(const std::vector<server_history>& aHistories, double aRate)
{
  std::array<double, kAddedRates.size()> logs{};
  for (std::size_t index = 0; index < logs.size(); ++index) {
    logs[index] =
      LogLikelihood(aHistories, aRate + (1 - aRate) * kAddedRates[index]);
  }
  // The mean of the likelihoods, without an underflow.
  double greatest = *std::max_element(logs.begin(), logs.end());
  double sum = 0;
  for (double value : logs) {
    sum += std::exp(value - greatest);
  }
  double bad = greatest + std::log(sum / static_cast<double>(logs.size()));
  return bad - LogLikelihood(aHistories, aRate);
}

}
