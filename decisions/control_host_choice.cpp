#include "decisions/control_host_choice.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

/** Long enough to try all other hosts before one that failed is tried again. */
constexpr milliseconds kMinAvoidance{ 10'000 };
constexpr milliseconds kMaxAvoidance{ 30'000 };

}

control_host_choice
control_host_choice::Create(const std::vector<host_id>& aHosts,
                            failure_domain_id aOwnDomain,
                            std::uint64_t aSeed)
{
  control_host_choice choice;
  choice.mOwnDomain = std::move(aOwnDomain);
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
control_host_choice::AddInitial(const host_id& aHost)
{
  if (std::find(mInitialHosts.begin(), mInitialHosts.end(), aHost) ==
      mInitialHosts.end()) {
    mInitialHosts.push_back(aHost);
    Add(aHost);
  }
}

void
control_host_choice::SetHosts(const std::vector<control_host>& aHosts)
{
  for (auto& [host, entry] : mCandidates) {
    entry.mIsListed = false;
  }
  for (const control_host& listed : aHosts) {
    Add(listed.mHost);
    candidate& entry = mCandidates[listed.mHost];
    entry.mIsListed = true;
    entry.mIsOwnDomain =
      !mOwnDomain.IsEmpty() && listed.mFailureDomain == mOwnDomain;
  }
  std::erase_if(mCandidates, [&](const auto& aEntry) {
    bool isInitial =
      std::find(mInitialHosts.begin(), mInitialHosts.end(), aEntry.first) !=
      mInitialHosts.end();
    return !aEntry.second.mIsListed && !isInitial;
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
                          !aCandidate.mIsOwnDomain,
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
