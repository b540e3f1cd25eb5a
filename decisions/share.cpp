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

/** Allocates each of a server's remaining units to a different host. */
void
AllocateRemainder(const server_id& aServer,
                  std::uint32_t aRemainder,
                  const std::vector<host_id>& aHosts,
                  std::vector<std::uint32_t>& aAllocated,
                  std::vector<std::size_t>& aChosen)
{
  struct rank
  {
    std::uint32_t mAllocated = 0;
    std::uint64_t mWeight = 0;
    std::size_t mHostIndex = 0;
  };
  std::vector<rank> ranks;
  ranks.reserve(aHosts.size());
  for (std::size_t index = 0; index < aHosts.size(); ++index) {
    ranks.push_back(
      { aAllocated[index], Weight(aServer, aHosts[index]), index });
  }
  auto last = ranks.begin() + static_cast<std::ptrdiff_t>(aRemainder);
  std::partial_sort(
    ranks.begin(), last, ranks.end(), [](const rank& aOne, const rank& aOther) {
      return std::tuple(aOne.mAllocated, ~aOne.mWeight, aOne.mHostIndex) <
             std::tuple(aOther.mAllocated, ~aOther.mWeight, aOther.mHostIndex);
    });
  aChosen.clear();
  for (auto chosen = ranks.begin(); chosen != last; ++chosen) {
    ++aAllocated[chosen->mHostIndex];
    aChosen.push_back(chosen->mHostIndex);
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
  auto ownIndex = static_cast<std::size_t>(self - aHosts.begin());
  auto hosts = static_cast<std::uint32_t>(aHosts.size());
  std::vector<std::uint32_t> allocated(aHosts.size(), 0);
  std::vector<std::size_t> chosen;
  for (std::size_t index = 0; index < aServers.size(); ++index) {
    const server_capacity& server = aServers[index];
    shares[index] = server.mUnits / hosts;
    std::uint32_t remainder = server.mUnits % hosts;
    if (remainder == 0) {
      continue;
    }
    AllocateRemainder(server.mServer, remainder, aHosts, allocated, chosen);
    bool isOwn =
      std::find(chosen.begin(), chosen.end(), ownIndex) != chosen.end();
    shares[index] += isOwn ? 1 : 0;
  }
  return shares;
}

void
server_share::SetInitial(std::uint32_t aUnits)
{
  mUsable = aUnits;
  mPendingIncreases.clear();
}

void
server_share::SetTarget(std::uint32_t aUnits,
                        steady_time aNow,
                        milliseconds aHandoverDelay)
{
  mUsable = std::min(Usable(aNow), aUnits);
  std::erase_if(mPendingIncreases, [&](const pending_increase& aIncrease) {
    return aIncrease.mUsableAt <= aNow;
  });
  std::uint32_t granted = mUsable;
  for (pending_increase& increase : mPendingIncreases) {
    increase.mUnits = std::min(increase.mUnits, aUnits);
    granted = std::max(granted, increase.mUnits);
  }
  if (aUnits > granted) {
    mPendingIncreases.push_back({ aUnits, aNow + aHandoverDelay });
  }
}

bool
server_share::HasPendingIncrease(steady_time aNow) const
{
  return std::any_of(mPendingIncreases.begin(),
                     mPendingIncreases.end(),
                     [&](const pending_increase& aIncrease) {
                       return aIncrease.mUsableAt > aNow;
                     });
}

std::uint32_t
server_share::Usable(steady_time aNow) const
{
  std::uint32_t usable = mUsable;
  for (const pending_increase& increase : mPendingIncreases) {
    if (increase.mUsableAt <= aNow) {
      usable = std::max(usable, increase.mUnits);
    }
  }
  return usable;
}

}
