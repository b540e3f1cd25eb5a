#include "decisions/servers/share.h"

#include <algorithm>
#include <string>
#include <tuple>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

/** A number in [0, 1) that depends on the name only. */
double
FractionOf(const std::string& aName)
{
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(XXH3_64bits(aName.data(), aName.size())) / kRange;
}

/** The position at a fraction of a ring of `aCount` places. */
std::size_t
PositionAt(double aFraction, std::size_t aCount)
{
  auto position =
    static_cast<std::size_t>(aFraction * static_cast<double>(aCount));
  return std::min(position, aCount - 1);
}

}

share_ring
share_ring::Create(std::vector<share_holder> aHosts, const host_id& aSelf)
{
  std::sort(aHosts.begin(),
            aHosts.end(),
            [](const share_holder& aOne, const share_holder& aOther) {
              return std::tie(aOne.mFailureDomain, aOne.mHost) <
                     std::tie(aOther.mFailureDomain, aOther.mHost);
            });
  share_ring ring;
  ring.mHostCount = aHosts.size();
  for (std::size_t position = 0; position < aHosts.size(); ++position) {
    const share_holder& holder = aHosts[position];
    auto [entry, isNew] =
      ring.mSegments.try_emplace(holder.mFailureDomain, segment{ position, 0 });
    ++entry->second.mCount;
    if (holder.mHost == aSelf) {
      ring.mOwnPosition = position;
      ring.mOwnDomain = holder.mFailureDomain;
    }
  }
  return ring;
}

bool
share_ring::HasRemainderUnit(const server_capacity& aServer,
                             std::size_t aRemainder,
                             double aArcStart) const
{
  segment home;
  auto found = mSegments.find(aServer.mFailureDomain);
  if (found != mSegments.end()) {
    home = found->second;
  }
  std::size_t own = *mOwnPosition;
  if (home.mCount > 0 && mOwnDomain == aServer.mFailureDomain) {
    std::size_t start = PositionAt(aArcStart, home.mCount);
    std::size_t distance =
      (own - home.mBegin + home.mCount - start) % home.mCount;
    return distance < aRemainder;
  }
  if (aRemainder <= home.mCount) {
    return false;
  }
  // The number of hosts outside the server's domain before a position.
  auto othersBefore = [&](std::size_t aPosition) {
    std::size_t passed =
      aPosition > home.mBegin ? aPosition - home.mBegin : std::size_t(0);
    return aPosition - std::min(passed, home.mCount);
  };
  std::size_t others = mHostCount - home.mCount;
  std::size_t start = PositionAt(aArcStart, mHostCount);
  std::size_t distance =
    (othersBefore(own) + others - othersBefore(start)) % others;
  return distance < aRemainder - home.mCount;
}

std::vector<std::uint32_t>
share_ring::Allocate(const service_id& aService,
                     const std::vector<server_capacity>& aServers) const
{
  std::vector<std::uint32_t> shares(aServers.size(), 0);
  if (!mOwnPosition) {
    return shares;
  }
  double start = FractionOf(aService.mValue);
  for (std::size_t index = 0; index < aServers.size(); ++index) {
    const server_capacity& server = aServers[index];
    std::size_t remainder = server.mUnits % mHostCount;
    double arcStart =
      start + static_cast<double>(index) / static_cast<double>(shares.size());
    arcStart -= arcStart >= 1 ? 1 : 0;
    bool hasUnit =
      remainder > 0 && HasRemainderUnit(server, remainder, arcStart);
    shares[index] = static_cast<std::uint32_t>(server.mUnits / mHostCount) +
                    (hasUnit ? 1 : 0);
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
