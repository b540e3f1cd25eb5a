#include "decisions/share.h"

#include <algorithm>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

std::uint64_t
Weight(const server_id& aServer, const host_id& aHost)
{
  std::uint64_t seed =
    XXH3_64bits(aServer.mValue.data(), aServer.mValue.size());
  return XXH3_64bits_withSeed(aHost.mValue.data(), aHost.mValue.size(), seed);
}

}

std::uint32_t
ShareOf(const server_id& aServer,
        std::uint32_t aUnits,
        const std::vector<host_id>& aHosts,
        const host_id& aSelf)
{
  bool isInView =
    std::find(aHosts.begin(), aHosts.end(), aSelf) != aHosts.end();
  if (!isInView) {
    return 0;
  }
  auto hosts = static_cast<std::uint32_t>(aHosts.size());
  std::uint32_t each = aUnits / hosts;
  std::uint32_t leftOver = aUnits % hosts;
  if (leftOver == 0) {
    return each;
  }
  std::uint64_t own = Weight(aServer, aSelf);
  std::uint32_t rank = 0;
  for (const host_id& host : aHosts) {
    std::uint64_t weight = Weight(aServer, host);
    bool isBefore = weight > own || (weight == own && host < aSelf);
    rank += isBefore ? 1 : 0;
  }
  return each + (rank < leftOver ? 1 : 0);
}

void
share_holder::SetFresh(std::uint32_t aUnits)
{
  mUsable = aUnits;
  mGains.clear();
}

void
share_holder::SetTarget(std::uint32_t aUnits,
                        steady_time aNow,
                        milliseconds aHandOver)
{
  mUsable = std::min(Usable(aNow), aUnits);
  std::erase_if(mGains,
                [&](const gain& aGain) { return aGain.mUsableAt <= aNow; });
  std::uint32_t granted = mUsable;
  for (gain& waiting : mGains) {
    waiting.mUnits = std::min(waiting.mUnits, aUnits);
    granted = std::max(granted, waiting.mUnits);
  }
  if (aUnits > granted) {
    mGains.push_back({ aUnits, aNow + aHandOver });
  }
}

bool
share_holder::HasGain(steady_time aNow) const
{
  return std::any_of(mGains.begin(), mGains.end(), [&](const gain& aGain) {
    return aGain.mUsableAt > aNow;
  });
}

std::uint32_t
share_holder::Usable(steady_time aNow) const
{
  std::uint32_t usable = mUsable;
  for (const gain& waiting : mGains) {
    if (waiting.mUsableAt <= aNow) {
      usable = std::max(usable, waiting.mUnits);
    }
  }
  return usable;
}

}
