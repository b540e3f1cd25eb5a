#include "decisions/snapshot_choice.h"

#include <cmath>
#include <functional>

namespace hibiscusspool {

std::size_t
NeededServices(std::size_t aInScope, double aMinimumCoverage)
{
  // A share such as 0.9 of 10 must not round up to 10 by a last bit.
  constexpr double kRounding = 1e-9;
  double needed =
    std::ceil(aMinimumCoverage * static_cast<double>(aInScope) - kRounding);
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
  std::optional<snapshot_plan> widest;
  for (const auto& [snapshot, count] : available) {
    if (count >= needed) {
      return snapshot_plan{ snapshot, count };
    }
    if (!widest || count > widest->mAvailable) {
      widest = snapshot_plan{ snapshot, count };
    }
  }
  return widest;
}

}
