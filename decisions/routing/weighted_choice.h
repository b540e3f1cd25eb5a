#pragma once

#include "decisions/routing/configuration.h"

#include <vector>

namespace hibiscusspool {

/**
 * Smooth weighted round robin: each choice adds every alternative's weight to
 * its credit and takes the one with the highest credit, so that the proportions
 * are exact within a few choices.
 */
class weighted_choice
{
  std::vector<weighted_service> mAlternatives;
  std::vector<double> mCredits;

public:
  /** `aPhase`, 0 to 1, sets where in the cycle this host starts. */
  weighted_choice(std::vector<weighted_service> aAlternatives, double aPhase);

  /** True if it was built from these alternatives. */
  [[nodiscard]] bool IsBuiltFrom(
    const std::vector<weighted_service>& aAlternatives) const
  {
    return mAlternatives == aAlternatives;
  }
  service_id Next();
};

}
