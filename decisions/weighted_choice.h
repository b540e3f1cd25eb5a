#pragma once

#include "decisions/configuration.h"

#include <vector>

namespace hibiscusspool {

/**
 * Smooth weighted round robin: each choice adds every alternative's weight to
 * its credit and takes the one with the most, so that parts are exact over a
 * few choices.
 */
class weighted_choice
{
  std::vector<weighted_service> mAlternatives;
  std::vector<double> mCredits;

public:
  /** `aSpread`, 0 to 1, sets where in its cycle this host begins. */
  weighted_choice(std::vector<weighted_service> aAlternatives, double aSpread);

  /** True while it still stands for these alternatives. */
  [[nodiscard]] bool IsBuiltFrom(
    const std::vector<weighted_service>& aAlternatives) const
  {
    return mAlternatives == aAlternatives;
  }
  service_id Next();
};

}
