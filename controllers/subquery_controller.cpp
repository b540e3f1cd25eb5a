#include "controllers/subquery_controller.h"

#include <algorithm>
#include <map>

#include <xxhash.h>

namespace hibiscusspool {

namespace {

constexpr milliseconds kMinPause{ 500 };
constexpr milliseconds kMaxPause{ 8000 };
/** Subqueries of this host at one other host; more are not sent. */
constexpr std::uint32_t kMaxOutstanding = 8;

std::uint64_t
Hash(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

std::uint64_t
Weight(const host_id& aSelf, const host_id& aHost)
{
  return XXH3_64bits_withSeed(
    aHost.mValue.data(), aHost.mValue.size(), Hash(aSelf.mValue));
}

}

void
subquery_controller::SetHosts(const std::vector<entry_host_record>& aHosts)
{
  std::map<failure_domain_id, std::vector<peer>> chosen;
  for (const entry_host_record& record : aHosts) {
    bool isAvailable = record.mState == entry_host_state::Serving &&
                       !record.mSubqueryAddress.empty() &&
                       record.mHost != mConfig.mSelf;
    if (isAvailable) {
      peer added;
      added.mHost = record.mHost;
      added.mAddress = record.mSubqueryAddress;
      added.mWeight = Weight(mConfig.mSelf, record.mHost);
      added.mHash = Hash(record.mHost.mValue);
      chosen[record.mFailureDomain].push_back(std::move(added));
    }
    mDomainOf.Set(record.mHost, record.mFailureDomain);
    // Domains without an available host are emptied below.
    chosen[record.mFailureDomain];
  }
  for (auto& entry : chosen) {
    ReplacePeers(entry.first, std::move(entry.second));
  }
}

void
subquery_controller::ReplacePeers(const failure_domain_id& aDomain,
                                  std::vector<peer> aPeers)
{
  mPeers.Update(aDomain, [&](std::vector<peer>& aKnown) {
    for (peer& entry : aPeers) {
      auto known =
        std::find_if(aKnown.begin(), aKnown.end(), [&](const peer& aPeer) {
          return aPeer.mHost == entry.mHost;
        });
      if (known != aKnown.end()) {
        entry.mOutstanding = known->mOutstanding;
        entry.mPause = known->mPause;
        entry.mPausedUntil = known->mPausedUntil;
      }
    }
    aKnown = std::move(aPeers);
  });
}

std::optional<assigned_subquery>
subquery_controller::Assign(const subquery_group& aGroup,
                            std::size_t aNumber,
                            std::size_t aGroups,
                            steady_time aNow)
{
  std::optional<assigned_subquery> assigned;
  mPeers.UpdateIfPresent(aGroup.mFailureDomain, [&](std::vector<peer>& aPeers) {
    std::size_t slots = std::clamp<std::size_t>(
      aPeers.size() / mConfig.mHostsPerGroup, 1, aGroups);
    std::vector<peer*> usable;
    for (peer& entry : aPeers) {
      bool isUsable = entry.mPausedUntil <= aNow &&
                      entry.mOutstanding < kMaxOutstanding &&
                      entry.mHash % slots == aNumber % slots;
      if (isUsable) {
        usable.push_back(&entry);
      }
    }
    if (usable.empty()) {
      return;
    }
    auto count = static_cast<std::ptrdiff_t>(
      std::min(usable.size(), mConfig.mHostsPerGroup));
    std::partial_sort(usable.begin(),
                      usable.begin() + count,
                      usable.end(),
                      [](const peer* aOne, const peer* aOther) {
                        return aOne->mWeight > aOther->mWeight;
                      });
    peer& best =
      **std::min_element(usable.begin(),
                         usable.begin() + count,
                         [](const peer* aOne, const peer* aOther) {
                           return aOne->mOutstanding < aOther->mOutstanding;
                         });
    ++best.mOutstanding;
    assigned = { best.mHost, best.mAddress, aGroup.mServices };
  });
  return assigned;
}

std::vector<assigned_subquery>
subquery_controller::Plan(const std::vector<service_id>& aServices,
                          steady_time aNow)
{
  std::vector<assigned_subquery> plan;
  std::size_t groups = SubqueryGroupCount(aServices.size(), mConfig.mCosts);
  if (groups == 0) {
    return plan;
  }
  std::size_t number = 0;
  for (const subquery_group& group :
       PlanSubqueries(mServiceDomains(aServices, aNow),
                      mConfig.mFailureDomain,
                      groups,
                      Hash(mConfig.mFailureDomain.mValue))) {
    if (auto assigned = Assign(group, number++, groups, aNow)) {
      plan.push_back(std::move(*assigned));
    }
  }
  return plan;
}

void
subquery_controller::Finish(const host_id& aHost,
                            bool aHasFailed,
                            steady_time aNow)
{
  auto domain = mDomainOf.Get(aHost);
  if (!domain) {
    return;
  }
  mPeers.UpdateIfPresent(*domain, [&](std::vector<peer>& aPeers) {
    auto found =
      std::find_if(aPeers.begin(), aPeers.end(), [&](const peer& aPeer) {
        return aPeer.mHost == aHost;
      });
    if (found == aPeers.end()) {
      return;
    }
    found->mOutstanding -= found->mOutstanding > 0 ? 1 : 0;
    if (!aHasFailed) {
      found->mPause = milliseconds(0);
      return;
    }
    found->mPause = std::clamp(found->mPause * 2, kMinPause, kMaxPause);
    found->mPausedUntil = aNow + found->mPause;
  });
}

}
