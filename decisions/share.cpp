#include "decisions/share.h"

#include <algorithm>
#include <tuple>

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

namespace {

/** Gives each of a server's left-over units to one host. */
void
DealLeftOver(const server_id& aServer,
             std::uint32_t aLeftOver,
             const std::vector<host_id>& aHosts,
             std::vector<std::uint32_t>& aDealt,
             std::vector<std::size_t>& aChosen)
{
  struct rank
  {
    std::uint32_t mDealt = 0;
    std::uint64_t mWeight = 0;
    std::size_t mPlace = 0;
  };
  std::vector<rank> ranks;
  ranks.reserve(aHosts.size());
  for (std::size_t place = 0; place < aHosts.size(); ++place) {
    ranks.push_back({ aDealt[place], Weight(aServer, aHosts[place]), place });
  }
  auto last = ranks.begin() + static_cast<std::ptrdiff_t>(aLeftOver);
  std::partial_sort(
    ranks.begin(), last, ranks.end(), [](const rank& aOne, const rank& aTwo) {
      return std::tuple(aOne.mDealt, ~aOne.mWeight, aOne.mPlace) <
             std::tuple(aTwo.mDealt, ~aTwo.mWeight, aTwo.mPlace);
    });
  aChosen.clear();
  for (auto chosen = ranks.begin(); chosen != last; ++chosen) {
    ++aDealt[chosen->mPlace];
    aChosen.push_back(chosen->mPlace);
  }
}

}

std::vector<std::uint32_t>
AllocateShares(const std::vector<server_capacity>& aServers,
               const std::vector<host_id>& aHosts,
               const host_id& aSelf)
{
  std::vector<std::uint32_t> shares(aServers.size(), 0);
  auto self = std::find(aHosts.begin(), aHosts.end(), aSelf);
  if (self == aHosts.end()) {
    return shares;
  }
  auto ownPlace = static_cast<std::size_t>(self - aHosts.begin());
  auto hosts = static_cast<std::uint32_t>(aHosts.size());
  std::vector<std::uint32_t> dealt(aHosts.size(), 0);
  std::vector<std::size_t> chosen;
  for (std::size_t place = 0; place < aServers.size(); ++place) {
    const server_capacity& server = aServers[place];
    shares[place] = server.mUnits / hosts;
    std::uint32_t leftOver = server.mUnits % hosts;
    if (leftOver == 0) {
      continue;
    }
    DealLeftOver(server.mServer, leftOver, aHosts, dealt, chosen);
    bool isOwn =
      std::find(chosen.begin(), chosen.end(), ownPlace) != chosen.end();
    shares[place] += isOwn ? 1 : 0;
  }
  return shares;
}

void
server_share::SetInitial(std::uint32_t aUnits)
{
  mUsable = aUnits;
  mGains.clear();
}

void
server_share::SetTarget(std::uint32_t aUnits,
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
server_share::HasPendingIncrease(steady_time aNow) const
{
  return std::any_of(mGains.begin(), mGains.end(), [&](const gain& aGain) {
    return aGain.mUsableAt > aNow;
  });
}

std::uint32_t
server_share::Usable(steady_time aNow) const
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
