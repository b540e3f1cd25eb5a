#include "controllers/catalog_controller.h"

#include "core/log_event.h"

#include <algorithm>

namespace hibiscusspool {

/** Takes in one fact of the catalog. */
struct catalog_controller::applier
{
  catalog_controller& mCatalog;
  bool mIsFresh;
  steady_time mNow;

  void operator()(const template_record& aRecord) const
  {
    mCatalog.mTemplates.Set(aRecord.mTemplate, aRecord);
    for (const team_id& team : mCatalog.Teams()) {
      mCatalog.FillTeam(team);
    }
  }
  void operator()(const team_record& aRecord) const
  {
    mCatalog.mTeams.Set(aRecord.mTeam, aRecord);
    mCatalog.FillTeam(aRecord.mTeam);
  }
  void operator()(const failure_domain_record& aRecord) const
  {
    mCatalog.mFailureDomains.Set(aRecord.mFailureDomain, aRecord);
    mCatalog.RefreshDomains();
  }
  void operator()(const entry_host_record& aRecord) const
  {
    mCatalog.mEntryHosts.Set(aRecord.mHost, aRecord);
    mCatalog.RefreshHosts(mNow);
  }
  void operator()(const server_record& aRecord) const
  {
    mCatalog.mBackends.Put(aRecord, mIsFresh, mNow);
  }
  void operator()(const quarantine_record& aRecord) const
  {
    mCatalog.mQuarantine.Set(aRecord.mFingerprint, aRecord);
  }
  // Claims stay on the control hosts.
  void operator()(const claim_record& /*aRecord*/) const {}
  void operator()(const configuration_record& aRecord) const
  {
    mCatalog.SetConfiguration(aRecord);
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
  // A stream that lags behind what is held must not take anything back.
  if (aUpdate.mIndex < mIndex) {
    return;
  }
  if (aUpdate.mIsFullState) {
    RemoveAllBut(aUpdate.mRecordChanges, aNow);
  }
  applier apply{ *this, !aUpdate.mIsFullState, aNow };
  for (const record_change& fact : aUpdate.mRecordChanges) {
    std::visit(apply, fact);
  }
  mIndex = aUpdate.mIndex;
}

void
catalog_controller::FillTeam(const team_id& aTeam)
{
  auto team = mTeams.Get(aTeam);
  auto basis =
    team ? mTemplates.Get(team->mTemplate) : std::optional<template_record>();
  if (!team || !basis) {
    mViews.Take(aTeam);
    return;
  }
  auto policy = ExpandTemplate(*basis, *team);
  if (!policy) {
    // The control hosts check this before they accept a change.
    log_event("team_unfit", log_event::severity::Error)
      .Add("team", aTeam.mValue)
      .Add("cause", policy.error().mDetail);
    mViews.Take(aTeam);
    return;
  }
  mViews.Set(
    aTeam,
    { std::move(policy.value()), std::max(team->mVersion, basis->mVersion) });
}

void
catalog_controller::RefreshHosts(steady_time aNow)
{
  std::vector<host_id> holders;
  std::uint32_t serving = 0;
  std::uint32_t known = 0;
  mEntryHosts.ForEach(
    [&](const host_id& aHost, const entry_host_record& aRecord) {
      // A leaving host still finishes requests over its connections.
      if (aRecord.mState != entry_host_state::Silent) {
        holders.push_back(aHost);
      }
      ++known;
      serving += aRecord.mState == entry_host_state::Serving ? 1 : 0;
    });
  std::sort(holders.begin(), holders.end());
  mServingHosts = std::max(1U, serving);
  mKnownHosts = std::max(1U, known);
  mBackends.SetHosts(std::move(holders), aNow);
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
      mViews.Take(team_id{ aRemoval.mName });
      return;
    case record_kind::FailureDomain:
      mFailureDomains.Take(failure_domain_id{ aRemoval.mName });
      RefreshDomains();
      return;
    case record_kind::EntryHost:
      mEntryHosts.Take(host_id{ aRemoval.mName });
      RefreshHosts(aNow);
      return;
    case record_kind::Server:
      mBackends.Remove(server_id{ aRemoval.mName }, aNow);
      return;
    case record_kind::Quarantine:
      mQuarantine.Take(fingerprint_id{ aRemoval.mName });
      return;
    case record_kind::Claim:
    case record_kind::Configuration:
      return;
  }
}

namespace {

/** Names of the records in a whole set of facts, by kind. */
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
  // There is one configuration, which is replaced and never taken away.
  void operator()(const configuration_record& /*aRecord*/) const {}
  void operator()(const record_removal& /*aRecord*/) const {}
};

template<typename records>
void
ListNames(const records& aRecords,
          record_kind aKind,
          std::vector<record_removal>& aNames)
{
  aRecords.ForEach([&](const auto& aName, const auto& /*aRecord*/) {
    aNames.push_back({ aKind, aName.mValue });
  });
}

}

void
catalog_controller::RemoveAllBut(const std::vector<record_change>& aFacts,
                                 steady_time aNow)
{
  std::set<std::pair<record_kind, std::string>> kept;
  for (const record_change& fact : aFacts) {
    std::visit(name_collector{ kept }, fact);
  }
  std::vector<record_removal> held;
  ListNames(mTemplates, record_kind::Template, held);
  ListNames(mTeams, record_kind::Team, held);
  ListNames(mFailureDomains, record_kind::FailureDomain, held);
  ListNames(mEntryHosts, record_kind::EntryHost, held);
  ListNames(mQuarantine, record_kind::Quarantine, held);
  for (const backend_status& view : mBackends.Statuses(aNow)) {
    held.push_back({ record_kind::Server, view.mRecord.mServer.mValue });
  }
  for (const record_removal& name : held) {
    if (!kept.contains({ name.mKind, name.mName })) {
      Remove(name, aNow);
    }
  }
}

std::optional<versioned_policy>
catalog_controller::Team(const team_id& aTeam) const
{
  return mViews.Get(aTeam);
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
  std::sort(named.begin(), named.end(), [](const auto& aOne, const auto& aTwo) {
    return aOne.first < aTwo.first;
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
catalog_controller::SetConfiguration(const configuration_record& aRecord)
{
  std::vector<std::string> unfit;
  auto routes =
    std::make_shared<const route_table>(route_table::Create(aRecord, unfit));
  for (const std::string& cause : unfit) {
    // The control hosts check this before they accept a configuration.
    log_event("route_unfit", log_event::severity::Error).Add("cause", cause);
  }
  log_event("configuration_in_force")
    .Add("number", aRecord.mNumber)
    .Add("version", aRecord.mVersion)
    .Add("routes", aRecord.mRoutes.size());
  std::lock_guard guard(mRoutesLock);
  mRoutes = std::move(routes);
}

service_id
catalog_controller::NextService(const route_record& aRoute)
{
  if (aRoute.mBackends.size() == 1) {
    return aRoute.mBackends.front().mService;
  }
  return mChoices.Update(
    aRoute.mName, [&](std::optional<weighted_choice>& aChoice) {
      if (!aChoice || !aChoice->IsBuiltFrom(aRoute.mBackends)) {
        // Hosts begin their cycles apart, as each sees few requests.
        auto hash = std::hash<std::string>{}(mSelf.mValue + aRoute.mName);
        constexpr std::size_t kSteps = 1024;
        double spread = static_cast<double>(hash % kSteps) / kSteps;
        aChoice.emplace(aRoute.mBackends, spread);
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
