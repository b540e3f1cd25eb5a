#include "controllers/catalog_controller.h"

#include "core/log_event.h"

#include <algorithm>

namespace hibiscusspool {

/** Applies one record change to the catalog. */
struct catalog_controller::record_applier
{
  catalog_controller& mCatalog;
  bool mIsFirstSeen;
  steady_time mNow;

  void operator()(const template_record& aRecord) const
  {
    mCatalog.mTemplates.Set(aRecord.mTemplate, aRecord);
    for (const team_id& team : mCatalog.Teams()) {
      mCatalog.UpdatePolicy(team);
    }
  }
  void operator()(const team_record& aRecord) const
  {
    mCatalog.mTeams.Set(aRecord.mTeam, aRecord);
    mCatalog.UpdatePolicy(aRecord.mTeam);
  }
  void operator()(const failure_domain_record& aRecord) const
  {
    mCatalog.mFailureDomains.Set(aRecord.mFailureDomain, aRecord);
    mCatalog.RefreshDomains();
  }
  void operator()(const entry_host_record& aRecord) const
  {
    mCatalog.mEntryHosts.Set(aRecord.mHost, aRecord);
    mCatalog.mHaveHostsChanged = true;
  }
  void operator()(const server_record& aRecord) const
  {
    mCatalog.mBackends.Put(aRecord, mIsFirstSeen, mNow);
  }
  void operator()(const quarantine_record& aRecord) const
  {
    mCatalog.mQuarantine.Set(aRecord.mFingerprint, aRecord);
  }
  // Claims are kept on the control hosts only.
  void operator()(const claim_record& /*aRecord*/) const {}
  void operator()(const configuration_record& aRecord) const
  {
    mCatalog.SetConfiguration(aRecord);
  }
  void operator()(const rollout_record& aRecord) const
  {
    mCatalog.SetRollout(aRecord, mNow);
  }
  void operator()(const record_removal& aRemoval) const
  {
    mCatalog.Remove(aRemoval, mNow);
  }
};

void
catalog_controller::Apply(const watch_update& aUpdate, steady_time aNow)
{
  std::lock_guard guard(mApplyLock);
  // While two streams overlap, an update from the lagging one must not revert
  // newer changes.
  if (aUpdate.mIndex < mIndex) {
    return;
  }
  if (aUpdate.mIsFullState) {
    RemoveAllExcept(aUpdate.mRecordChanges, aNow);
  }
  record_applier apply{ *this, !aUpdate.mIsFullState, aNow };
  for (const record_change& change : aUpdate.mRecordChanges) {
    std::visit(apply, change);
  }
  if (std::exchange(mHaveHostsChanged, false)) {
    RefreshHosts(aNow);
  }
  mIndex = aUpdate.mIndex;
}

void
catalog_controller::UpdatePolicy(const team_id& aTeam)
{
  auto team = mTeams.Get(aTeam);
  auto templateRecord =
    team ? mTemplates.Get(team->mTemplate) : std::optional<template_record>();
  if (!team || !templateRecord) {
    mPolicies.Take(aTeam);
    return;
  }
  auto policy = ExpandTemplate(*templateRecord, *team);
  if (!policy) {
    // Unexpected: the control hosts check that a team fits its template before
    // they accept a change.
    log_event("team_unfit", log_event::severity::Error)
      .Add("team", aTeam.mValue)
      .Add("cause", policy.error().mDetail);
    mPolicies.Take(aTeam);
    return;
  }
  mPolicies.Set(aTeam,
                { std::move(policy.value()),
                  std::max(team->mVersion, templateRecord->mVersion) });
}

void
catalog_controller::RefreshHosts(steady_time aNow)
{
  std::vector<share_holder> shareHolders;
  std::uint32_t serving = 0;
  std::uint32_t known = 0;
  mEntryHosts.ForEach(
    [&](const host_id& aHost, const entry_host_record& aRecord) {
      // A leaving host still uses its connections to finish requests.
      if (aRecord.mState != entry_host_state::Silent) {
        shareHolders.push_back({ aHost, aRecord.mFailureDomain });
      }
      ++known;
      serving += aRecord.mState == entry_host_state::Serving ? 1 : 0;
    });
  mServingHosts = std::max(1U, serving);
  mKnownHosts = std::max(1U, known);
  mBackends.SetHosts(std::move(shareHolders), aNow);
  mHooks.mOnEntryHosts(EntryHosts());
}

void
catalog_controller::RefreshDomains()
{
  std::set<failure_domain_id> out;
  mFailureDomains.ForEach(
    [&](const failure_domain_id& aName, const failure_domain_record& aRecord) {
      if (aRecord.mState == failure_domain_state::Out) {
        out.insert(aName);
      }
    });
  mBackends.SetDomainsOut(std::move(out));
}

void
catalog_controller::Remove(const record_removal& aRemoval, steady_time aNow)
{
  switch (aRemoval.mKind) {
    case record_kind::Template:
      mTemplates.Take(template_id{ aRemoval.mName });
      return;
    case record_kind::Team:
      mTeams.Take(team_id{ aRemoval.mName });
      mPolicies.Take(team_id{ aRemoval.mName });
      return;
    case record_kind::FailureDomain:
      mFailureDomains.Take(failure_domain_id{ aRemoval.mName });
      RefreshDomains();
      return;
    case record_kind::EntryHost:
      mEntryHosts.Take(host_id{ aRemoval.mName });
      mHaveHostsChanged = true;
      return;
    case record_kind::Server:
      mBackends.Remove(server_id{ aRemoval.mName }, aNow);
      return;
    case record_kind::Quarantine:
      mQuarantine.Take(fingerprint_id{ aRemoval.mName });
      return;
    case record_kind::Rollout:
      mRollouts.Take(service_id{ aRemoval.mName });
      mBackends.RemoveRollout(service_id{ aRemoval.mName });
      return;
    case record_kind::Claim:
    case record_kind::Configuration:
      return;
  }
}

namespace {

/** Collects the kinds and names of the records in a full state. */
struct name_collector
{
  std::set<std::pair<record_kind, std::string>>& mNames;

  void operator()(const template_record& aRecord) const
  {
    mNames.insert({ record_kind::Template, aRecord.mTemplate.mValue });
  }
  void operator()(const team_record& aRecord) const
  {
    mNames.insert({ record_kind::Team, aRecord.mTeam.mValue });
  }
  void operator()(const failure_domain_record& aRecord) const
  {
    mNames.insert(
      { record_kind::FailureDomain, aRecord.mFailureDomain.mValue });
  }
  void operator()(const entry_host_record& aRecord) const
  {
    mNames.insert({ record_kind::EntryHost, aRecord.mHost.mValue });
  }
  void operator()(const server_record& aRecord) const
  {
    mNames.insert({ record_kind::Server, aRecord.mServer.mValue });
  }
  void operator()(const quarantine_record& aRecord) const
  {
    mNames.insert({ record_kind::Quarantine, aRecord.mFingerprint.mValue });
  }
  void operator()(const claim_record& /*aRecord*/) const {}
  void operator()(const rollout_record& aRecord) const
  {
    mNames.insert({ record_kind::Rollout, aRecord.mService.mValue });
  }
  // There is one configuration; it is replaced but never removed.
  void operator()(const configuration_record& /*aRecord*/) const {}
  void operator()(const record_removal& /*aRecord*/) const {}
};

template<typename records>
void
AppendRemovals(const records& aRecords,
               record_kind aKind,
               std::vector<record_removal>& aRemovals)
{
  aRecords.ForEach([&](const auto& aName, const auto& /*aRecord*/) {
    aRemovals.push_back({ aKind, aName.mValue });
  });
}

}

void
catalog_controller::RemoveAllExcept(const std::vector<record_change>& aChanges,
                                    steady_time aNow)
{
  std::set<std::pair<record_kind, std::string>> kept;
  for (const record_change& change : aChanges) {
    std::visit(name_collector{ kept }, change);
  }
  std::vector<record_removal> existing;
  AppendRemovals(mTemplates, record_kind::Template, existing);
  AppendRemovals(mTeams, record_kind::Team, existing);
  AppendRemovals(mFailureDomains, record_kind::FailureDomain, existing);
  AppendRemovals(mEntryHosts, record_kind::EntryHost, existing);
  AppendRemovals(mQuarantine, record_kind::Quarantine, existing);
  AppendRemovals(mRollouts, record_kind::Rollout, existing);
  for (const backend_status& status : mBackends.Statuses(aNow)) {
    existing.push_back({ record_kind::Server, status.mRecord.mServer.mValue });
  }
  for (const record_removal& removal : existing) {
    if (!kept.contains({ removal.mKind, removal.mName })) {
      Remove(removal, aNow);
    }
  }
}

std::optional<versioned_policy>
catalog_controller::Team(const team_id& aTeam) const
{
  return mPolicies.Get(aTeam);
}

std::vector<fingerprint_id>
catalog_controller::QuarantinedRequests() const
{
  std::vector<fingerprint_id> requests;
  mQuarantine.ForEach(
    [&](const fingerprint_id& aRequest, const quarantine_record& /*aRecord*/) {
      requests.push_back(aRequest);
    });
  return requests;
}

std::optional<quarantine_record>
catalog_controller::Quarantine(const fingerprint_id& aFingerprint) const
{
  return mQuarantine.Get(aFingerprint);
}

namespace {

/** Copies of all records, sorted by name. */
template<typename records, typename record>
std::vector<record>
CopyAll(const records& aRecords, std::vector<record> aCopies)
{
  std::vector<std::pair<std::string, record>> named;
  aRecords.ForEach([&](const auto& aName, const record& aRecord) {
    named.emplace_back(aName.mValue, aRecord);
  });
  std::sort(
    named.begin(), named.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  for (auto& [name, copy] : named) {
    aCopies.push_back(std::move(copy));
  }
  return aCopies;
}

}

std::vector<entry_host_record>
catalog_controller::EntryHosts() const
{
  return CopyAll(mEntryHosts, std::vector<entry_host_record>());
}

std::shared_ptr<const route_table>
catalog_controller::Routes() const
{
  std::lock_guard guard(mRoutesLock);
  return mRoutes;
}

void
catalog_controller::SetRollout(const rollout_record& aRecord, steady_time aNow)
{
  auto known = mRollouts.Get(aRecord.mService);
  bool isNews = !known || known->mStartIndex != aRecord.mStartIndex ||
                known->mState != aRecord.mState;
  mRollouts.Set(aRecord.mService, aRecord);
  mBackends.SetRollout(aRecord, aNow);
  if (isNews) {
    log_event("rollout_in_force")
      .Add("service", aRecord.mService.mValue)
      .Add("target_version", aRecord.mTargetVersion)
      .Add("state", NameOf(aRecord.mState))
      .Add("share_permille", aRecord.SharePermille())
      .Add("reason", aRecord.mReason)
      .Add("version", aRecord.mVersion);
  }
}

void
catalog_controller::SetConfiguration(const configuration_record& aRecord)
{
  std::vector<std::string> errors;
  auto routes =
    std::make_shared<const route_table>(route_table::Create(aRecord, errors));
  for (const std::string& cause : errors) {
    // Unexpected: the control hosts check the routes before they accept a
    // configuration.
    log_event("route_unfit", log_event::severity::Error).Add("cause", cause);
  }
  log_event("configuration_in_force")
    .Add("number", aRecord.mNumber)
    .Add("version", aRecord.mVersion)
    .Add("routes", aRecord.mRoutes.size())
    .Add("requires_keys", routes->RequiresKeys() ? "yes" : "no");
  std::lock_guard guard(mRoutesLock);
  mRoutes = std::move(routes);
}

service_id
catalog_controller::NextService(const route_record& aRoute)
{
  if (aRoute.mBackends.size() == 1) {
    return aRoute.mBackends.front().mService;
  }
  return mServiceChoices.Update(
    aRoute.mName, [&](std::optional<weighted_choice>& aChoice) {
      if (!aChoice || !aChoice->IsBuiltFrom(aRoute.mBackends)) {
        // Hosts start at different points of the cycle, since each sees only a
        // few requests and all would otherwise send them to the same services.
        auto hash = std::hash<std::string>{}(mSelf.mValue + aRoute.mName);
        constexpr std::size_t kSteps = 1024;
        double offset = static_cast<double>(hash % kSteps) / kSteps;
        aChoice.emplace(aRoute.mBackends, offset);
      }
      return aChoice->Next();
    });
}

std::vector<team_id>
catalog_controller::Teams() const
{
  std::vector<team_id> teams;
  mTeams.ForEach([&](const team_id& aTeam, const team_record& /*aRecord*/) {
    teams.push_back(aTeam);
  });
  std::sort(teams.begin(), teams.end());
  return teams;
}

bool
catalog_controller::IsDomainOut(const failure_domain_id& aDomain) const
{
  auto record = mFailureDomains.Get(aDomain);
  return record && record->mState == failure_domain_state::Out;
}

}
