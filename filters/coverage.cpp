#include "filters/coverage.h"

#include "decisions/routing/snapshot_choice.h"

namespace hibiscusspool {

bool
ComputeCoverage(request_context& aRequest)
{
  // The denominator is all services in scope, not only those that answered.
  std::size_t inScope = aRequest.mServices.size();
  std::size_t answered = aRequest.mResponses.size();
  aRequest.mCoverage =
    static_cast<double>(answered) / static_cast<double>(inScope);
  return answered >= NeededServices(inScope, aRequest.mPolicy.mMinimumCoverage);
}

}
