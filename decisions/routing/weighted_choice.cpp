#include "decisions/routing/weighted_choice.h"

#include <numeric>

namespace hibiscusspool {

weighted_choice::weighted_choice(std::vector<weighted_service> aAlternatives,
                                 double aPhase)
  : mAlternatives(std::move(aAlternatives))
{
  for (const weighted_service& alternative : mAlternatives) {
    mCredits.push_back(alternative.mWeight * aPhase);
  }
}

service_id
weighted_choice::Next()
{
  if (mAlternatives.empty()) {
    return {};
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t index = 0; index < mAlternatives.size(); ++index) {
    total += mAlternatives[index].mWeight;
    mCredits[index] += mAlternatives[index].mWeight;
    if (mCredits[index] > mCredits[best]) {
      best = index;
    }
  }
  mCredits[best] -= total;
  return mAlternatives[best].mService;
}

}
