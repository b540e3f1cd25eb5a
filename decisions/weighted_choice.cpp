#include "decisions/weighted_choice.h"

#include <numeric>

namespace hibiscusspool {

weighted_choice::weighted_choice(std::vector<weighted_service> aAlternatives,
                                 double aSpread)
  : mAlternatives(std::move(aAlternatives))
{
  for (const weighted_service& alternative : mAlternatives) {
    mCredits.push_back(alternative.mWeight * aSpread);
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
  for (std::size_t place = 0; place < mAlternatives.size(); ++place) {
    total += mAlternatives[place].mWeight;
    mCredits[place] += mAlternatives[place].mWeight;
    if (mCredits[place] > mCredits[best]) {
      best = place;
    }
  }
  mCredits[best] -= total;
  return mAlternatives[best].mService;
}

}
