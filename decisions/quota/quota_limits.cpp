#include "decisions/quota/quota_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

/** Parts of the margin. What is left over is for the requests that busy hosts
 * admit before they learn that the team is metered. */
constexpr double kGrantPart = 0.2;
constexpr double kDeputyPart = 0.35;
constexpr double kLocalPart = 0.05;

std::uint64_t
Weight(const team_id& aTeam, const host_id& aHost)
{
  std::uint64_t seed = XXH3_64bits(aTeam.mValue.data(), aTeam.mValue.size());
  return XXH3_64bits_withSeed(aHost.mValue.data(), aHost.mValue.size(), seed);
}

}

quota_limits
LimitsOf(const quota_terms& aTerms, const quota_bounds& aBounds)
{
  double seconds = std::chrono::duration<double>(aBounds.mWindow).count();
  quota_limits limits;
  limits.mQuota = aTerms.mRatePerSecond * seconds + aTerms.mBurst;
  double margin = limits.mQuota * aBounds.mOvershoot + aBounds.mSlack;
  limits.mGrant = limits.mQuota + margin * kGrantPart;
  limits.mDeputy = margin * kDeputyPart;
  limits.mLocal = margin * kLocalPart;
  return limits;
}

std::size_t
DealtShare(double aRequests,
           const team_id& aTeam,
           const host_id& aHost,
           const std::vector<host_id>& aHosts)
{
  if (aHosts.empty()) {
    return 0;
  }
  auto whole = static_cast<std::size_t>(std::max(0.0, std::floor(aRequests)));
  std::uint64_t own = Weight(aTeam, aHost);
  auto before = static_cast<std::size_t>(
    std::count_if(aHosts.begin(), aHosts.end(), [&](const host_id& aOther) {
      return aOther != aHost && Weight(aTeam, aOther) > own;
    }));
  std::size_t remainder = whole % aHosts.size();
  return whole / aHosts.size() + (before < remainder ? 1 : 0);
}

std::vector<std::size_t>
RankOwners(const team_id& aTeam, const std::vector<host_id>& aHosts)
{
  constexpr std::size_t kRanks = 2;
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  ranked.reserve(aHosts.size());
  for (std::size_t host = 0; host < aHosts.size(); ++host) {
    ranked.emplace_back(Weight(aTeam, aHosts[host]), host);
  }
  std::size_t count = std::min(kRanks, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(),
                    std::greater<>());
  std::vector<std::size_t> owners;
  for (std::size_t rank = 0; rank < count; ++rank) {
    owners.push_back(ranked[rank].second);
  }
  return owners;
}

}
