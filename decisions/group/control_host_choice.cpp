#include "decisions/group/control_host_choice.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

/** Long enough to try all other hosts before one that failed is tried again. */
constexpr milliseconds kMinAvoidance{ 10'000 };
constexpr milliseconds kMaxAvoidance{ 30'000 };
constexpr milliseconds kCutOffAvoidance{ 10'000 };
/** Time until a host that was cut off is asked again while all others are cut
 * off too. */
constexpr milliseconds kMinCutOffRetryDelay{ 2'000 };
constexpr milliseconds kMaxCutOffRetryDelay{ 16'000 };
/** Maximum number of hosts to which those that may be outdated are added. */
constexpr std::size_t kMaxHosts = 32;

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
control_host_choice::AddHosts(const std::vector<control_host>& aHosts)
{
  for (const control_host& host : aHosts) {
    bool isNew = !mCandidates.contains(host.mHost);
    if (!isNew || mCandidates.size() >= kMaxHosts) {
      continue;
    }
    Add(host.mHost);
    candidate& entry = mCandidates[host.mHost];
    entry.mIsListed = false;
    entry.mFailureDomain = host.mFailureDomain;
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
    entry.mFailureDomain = listed.mFailureDomain;
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

bool
control_host_choice::IsInCutOffDomain(const candidate& aCandidate,
                                      steady_time aNow) const
{
  return !aCandidate.mFailureDomain.IsEmpty() &&
         std::any_of(
           mCandidates.begin(), mCandidates.end(), [&](const auto& aEntry) {
             return aEntry.second.mCutOffUntil > aNow &&
                    aEntry.second.mFailureDomain == aCandidate.mFailureDomain;
           });
}

control_host_choice::rank
control_host_choice::RankOf(const candidate& aCandidate, steady_time aNow) const
{
  return { std::max({ aCandidate.mAvoidUntil, aCandidate.mCutOffUntil, aNow }),
           IsInCutOffDomain(aCandidate, aNow),
           !aCandidate.mIsListed,
           !aCandidate.mIsOwnDomain,
           ~aCandidate.mWeight };
}

host_id
control_host_choice::Preferred(steady_time aNow) const
{
  auto preferred = std::min_element(mCandidates.begin(),
                                    mCandidates.end(),
                                    [&](const auto& aOne, const auto& aOther) {
                                      return RankOf(aOne.second, aNow) <
                                             RankOf(aOther.second, aNow);
                                    });
  return preferred == mCandidates.end() ? host_id{} : preferred->first;
}

bool
control_host_choice::HasUntried(steady_time aNow) const
{
  return std::any_of(
    mCandidates.begin(), mCandidates.end(), [&](const auto& aEntry) {
      const candidate& entry = aEntry.second;
      return std::max(entry.mAvoidUntil, entry.mCutOffRetryAt) <= aNow;
    });
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
control_host_choice::OnCutOff(const host_id& aHost, steady_time aNow)
{
  auto found = mCandidates.find(aHost);
  if (found == mCandidates.end()) {
    return;
  }
  candidate& cutOff = found->second;
  if (cutOff.mCutOffRetryAt > aNow) {
    return;
  }
  cutOff.mCutOffRetryDelay = std::clamp(
    cutOff.mCutOffRetryDelay * 2, kMinCutOffRetryDelay, kMaxCutOffRetryDelay);
  cutOff.mCutOffRetryAt = aNow + cutOff.mCutOffRetryDelay;
  cutOff.mCutOffUntil = aNow + kCutOffAvoidance;
}

void
control_host_choice::OnSuccess(const host_id& aHost)
{
  auto found = mCandidates.find(aHost);
  if (found != mCandidates.end()) {
    found->second.mCutOffUntil = {};
    found->second.mCutOffRetryAt = {};
    found->second.mCutOffRetryDelay = milliseconds(0);
    found->second.mAvoidUntil = {};
    found->second.mAvoidance = milliseconds(0);
  }
}

}
