#include "decisions/routing/snapshot_choice.h"

#include <cmath>
#include <functional>

namespace hibiscusspool {

std::size_t
NeededServices(std::size_t aInScope, double aMinimumCoverage)
{
  // Keeps a floating-point error from rounding 0.9 of 10 up to 10.
  constexpr double kRoundingTolerance = 1e-9;
  double needed = std::ceil(aMinimumCoverage * static_cast<double>(aInScope) -
                            kRoundingTolerance);
  return static_cast<std::size_t>(std::max(0.0, needed));
}

std::optional<snapshot_plan>
ChooseSnapshot(const std::vector<service_snapshots>& aServices,
               double aMinimumCoverage)
{
  std::map<snapshot_number, std::size_t, std::greater<>> available;
  for (const service_snapshots& service : aServices) {
    for (snapshot_number snapshot : service.mSnapshots) {
      ++available[snapshot];
    }
  }
  std::size_t needed = NeededServices(aServices.size(), aMinimumCoverage);
  std::optional<snapshot_plan> best;
  for (const auto& [snapshot, count] : available) {
    if (count >= needed) {
      return snapshot_plan{ snapshot, count };
    }
    if (!best || count > best->mAvailable) {
      best = snapshot_plan{ snapshot, count };
    }
  }
  return best;
}

}
