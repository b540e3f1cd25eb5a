#include "decisions/control_host_choice.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

constexpr milliseconds kMinAvoidance{ 2000 };
constexpr milliseconds kMaxAvoidance{ 30'000 };

}

control_host_choice
control_host_choice::Create(const std::vector<host_id>& aHosts,
                            std::uint64_t aSeed)
{
  control_host_choice choice;
  choice.mSeed = aSeed;
  choice.mInitialHosts = aHosts;
  for (const host_id& host : aHosts) {
    choice.Add(host);
  }
  return choice;
}

void
control_host_choice::Add(const host_id& aHost)
{
  candidate added;
  added.mWeight =
    XXH3_64bits_withSeed(aHost.mValue.data(), aHost.mValue.size(), mSeed);
  mCandidates.emplace(aHost, added);
}

void
control_host_choice::SetHosts(const std::vector<host_id>& aHosts)
{
  auto contains = [](const std::vector<host_id>& aList, const host_id& aHost) {
    return std::find(aList.begin(), aList.end(), aHost) != aList.end();
  };
  for (const host_id& host : aHosts) {
    Add(host);
  }
  for (auto& [host, entry] : mCandidates) {
    entry.mIsListed = contains(aHosts, host);
  }
  std::erase_if(mCandidates, [&](const auto& aEntry) {
    return !aEntry.second.mIsListed && !contains(mInitialHosts, aEntry.first);
  });
}

host_id
control_host_choice::Preferred(steady_time aNow) const
{
  auto preferred = std::min_element(
    mCandidates.begin(),
    mCandidates.end(),
    [&](const auto& aOne, const auto& aOther) {
      auto rank = [&](const candidate& aCandidate) {
        return std::tuple(std::max(aCandidate.mAvoidUntil, aNow),
                          !aCandidate.mIsListed,
                          ~aCandidate.mWeight);
      };
      return rank(aOne.second) < rank(aOther.second);
    });
  return preferred == mCandidates.end() ? host_id{} : preferred->first;
}

void
control_host_choice::OnFailure(const host_id& aHost, steady_time aNow)
{
  auto found = mCandidates.find(aHost);
  if (found == mCandidates.end()) {
    return;
  }
  candidate& failed = found->second;
  failed.mAvoidance =
    std::clamp(failed.mAvoidance * 2, kMinAvoidance, kMaxAvoidance);
  failed.mAvoidUntil = aNow + failed.mAvoidance;
}

void
control_host_choice::OnSuccess(const host_id& aHost)
{
  auto found = mCandidates.find(aHost);
  if (found != mCandidates.end()) {
    found->second.mAvoidUntil = {};
    found->second.mAvoidance = milliseconds(0);
  }
}

}
