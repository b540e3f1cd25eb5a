#include "decisions/state/control_state.h"

#include "decisions/routing/team_policy.h"
#include "decisions/state/change_evaluation.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

template<typename records>
void
AppendRecords(const records& aRecords, std::vector<record_change>& aChanges)
{
  for (const auto& [name, record] : aRecords) {
    aChanges.emplace_back(record);
  }
}

}

change_effects
control_state::Apply(log_index aIndex, const change_command& aCommand)
{
  mIndex = aIndex;
  // A new leader's clock may be behind; the state's time is monotonic.
  mTime = std::max(mTime, aCommand.mProposedAt);
  change_effects effects;
  Expire(effects);
  if (!aCommand.mChangeId.IsEmpty()) {
    auto evaluated = mEvaluated.find(aCommand.mChangeId);
    if (evaluated != mEvaluated.end()) {
      bool isResend = !aCommand.mChanges.empty() &&
                      evaluated->second.mChange == aCommand.mChanges.front();
      effects.mOutcomes.push_back(
        isResend ? evaluated->second.mOutcome
                 : Refuse(change_verdict::KeyReused,
                          0,
                          "This Change-Id was used for another change."));
      return effects;
    }
  }
  for (const record_change& change : aCommand.mChanges) {
    change_outcome outcome = Evaluate(change, aCommand.mIfVersion, effects);
    outcome.mIndex = mIndex;
    effects.mOutcomes.push_back(std::move(outcome));
  }
  if (!aCommand.mChangeId.IsEmpty() && !effects.mOutcomes.empty()) {
    RecordOutcome(aCommand, effects.mOutcomes.front());
  }
  return effects;
}

change_outcome
control_state::Evaluate(const record_change& aProposed,
                        const std::optional<log_index>& aIfVersion,
                        change_effects& aEffects)
{
  return std::visit(
    [&](const auto& aRecord) { return Put(aRecord, aIfVersion, aEffects); },
    aProposed);
}

change_outcome
control_state::Put(const template_record& aProposed,
                   const std::optional<log_index>& aIfVersion,
                   change_effects& aEffects)
{
  log_index current = CurrentVersion(mTemplates, aProposed.mTemplate);
  if (!Matches(aIfVersion, current)) {
    return VersionConflict(current);
  }
  auto checked = CheckTemplate(aProposed);
  if (!checked) {
    return Refuse(change_verdict::Invalid, current, checked.error().mDetail);
  }
  for (const auto& [name, team] : mTeams) {
    if (team.mTemplate != aProposed.mTemplate) {
      continue;
    }
    auto policy = ExpandTemplate(aProposed, team);
    if (!policy) {
      return Refuse(change_verdict::Invalid,
                    current,
                    "Team \"" + name.mValue +
                      "\" would become invalid: " + policy.error().mDetail);
    }
  }
  return StoreRecord(
    mTemplates[aProposed.mTemplate], aProposed, mIndex, aEffects);
}

change_outcome
control_state::Put(const team_record& aProposed,
                   const std::optional<log_index>& aIfVersion,
                   change_effects& aEffects)
{
  log_index current = CurrentVersion(mTeams, aProposed.mTeam);
  if (!Matches(aIfVersion, current)) {
    return VersionConflict(current);
  }
  auto templateEntry = mTemplates.find(aProposed.mTemplate);
  if (templateEntry == mTemplates.end()) {
    return Refuse(change_verdict::Invalid,
                  current,
                  "There is no template \"" + aProposed.mTemplate.mValue +
                    "\".");
  }
  auto policy = ExpandTemplate(templateEntry->second, aProposed);
  if (!policy) {
    return Refuse(change_verdict::Invalid, current, policy.error().mDetail);
  }
  return StoreRecord(mTeams[aProposed.mTeam], aProposed, mIndex, aEffects);
}

change_outcome
control_state::Put(const failure_domain_record& aProposed,
                   const std::optional<log_index>& aIfVersion,
                   change_effects& aEffects)
{
  log_index current = CurrentVersion(mFailureDomains, aProposed.mFailureDomain);
  if (!Matches(aIfVersion, current)) {
    return VersionConflict(current);
  }
  return StoreRecord(
    mFailureDomains[aProposed.mFailureDomain], aProposed, mIndex, aEffects);
}

change_outcome
control_state::Put(const quarantine_record& aProposed,
                   const std::optional<log_index>& /*aIfVersion*/,
                   change_effects& aEffects)
{
  if (aProposed.mIncidents > 0) {
    return PutIncident(aProposed, aEffects);
  }
  auto found = mQuarantine.find(aProposed.mFingerprint);
  bool isTrial = aProposed.mCrashedServers.empty();
  if (isTrial && aProposed.mTrials.empty()) {
    return Refuse(change_verdict::Invalid,
                  0,
                  "The record names neither a crashed server nor a trial.");
  }
  if (isTrial && found != mQuarantine.end()) {
    quarantine_record& existing = found->second;
    const std::string& trial = aProposed.mTrials.front();
    bool isResend =
      std::find(existing.mTrials.begin(), existing.mTrials.end(), trial) !=
      existing.mTrials.end();
    if (isResend) {
      return Accept(existing.mVersion);
    }
    std::size_t attempts =
      existing.mCrashedServers.size() + existing.mTrials.size();
    if (attempts >= mLimits.mMaxCrashes) {
      return Refuse(change_verdict::Quarantined,
                    existing.mVersion,
                    "The request is quarantined because it crashed servers.");
    }
  }
  quarantine_record& stored = mQuarantine[aProposed.mFingerprint];
  stored.mFingerprint = aProposed.mFingerprint;
  stored.mVersion = mIndex;
  stored.mUntil = mTime + mLimits.mQuarantineDuration.count();
  for (const server_id& server : aProposed.mCrashedServers) {
    bool isKnown = std::find(stored.mCrashedServers.begin(),
                             stored.mCrashedServers.end(),
                             server) != stored.mCrashedServers.end();
    if (!isKnown) {
      stored.mCrashedServers.push_back(server);
    }
  }
  for (const std::string& trial : aProposed.mTrials) {
    // A crash report ends its trial; a record without crashes starts one.
    if (isTrial) {
      stored.mTrials.push_back(trial);
    } else {
      std::erase(stored.mTrials, trial);
    }
  }
  aEffects.mRecordChanges.emplace_back(stored);
  return Accept(mIndex);
}

change_outcome
control_state::PutIncident(const quarantine_record& aProposed,
                           change_effects& aEffects)
{
  quarantine_record& stored = mQuarantine[aProposed.mFingerprint];
  stored.mFingerprint = aProposed.mFingerprint;
  bool isKnown = stored.mIncidents > 0 &&
                 mTime < stored.mIncidentAt + mLimits.mIncidentGap.count();
  if (isKnown) {
    return Accept(stored.mVersion);
  }
  stored.mIncidents =
    std::min(stored.mIncidents + 1, quarantine_record::kMaxIncidents);
  stored.mIncidentAt = mTime;
  stored.mVersion = mIndex;
  milliseconds duration = stored.IsForwardRefused()
                            ? mLimits.mForwardQuarantineDuration
                            : mLimits.mSuspicionDuration;
  stored.mUntil = mTime + duration.count();
  aEffects.mRecordChanges.emplace_back(stored);
  return Accept(mIndex);
}

change_outcome
control_state::Put(const configuration_record& aProposed,
                   const std::optional<log_index>& /*aIfVersion*/,
                   change_effects& aEffects)
{
  auto checked = CheckConfiguration(aProposed);
  if (!checked) {
    return Refuse(change_verdict::Invalid, 0, checked.error().mDetail);
  }
  if (mConfiguration && aProposed.mNumber <= mConfiguration->mNumber) {
    bool hasOtherContent = aProposed.mNumber == mConfiguration->mNumber &&
                           aProposed.mDocument != mConfiguration->mDocument;
    if (hasOtherContent) {
      return Refuse(change_verdict::Conflict,
                    mConfiguration->mVersion,
                    "Configuration " + std::to_string(aProposed.mNumber) +
                      " is in force with other content.");
    }
    change_outcome outcome = Accept(mConfiguration->mVersion);
    outcome.mDetail = "Configuration " +
                      std::to_string(mConfiguration->mNumber) +
                      " stays in force.";
    return outcome;
  }
  mConfiguration = aProposed;
  mConfiguration->mVersion = mIndex;
  aEffects.mRecordChanges.emplace_back(*mConfiguration);
  return Accept(mIndex);
}

log_index
control_state::VersionOf(const record_removal& aRemoval) const
{
  switch (aRemoval.mKind) {
    case record_kind::Template:
      return CurrentVersion(mTemplates, template_id{ aRemoval.mName });
    case record_kind::Team:
      return CurrentVersion(mTeams, team_id{ aRemoval.mName });
    case record_kind::FailureDomain:
      return CurrentVersion(mFailureDomains,
                            failure_domain_id{ aRemoval.mName });
    case record_kind::EntryHost:
      return CurrentVersion(mEntryHosts, host_id{ aRemoval.mName });
    case record_kind::Server:
      return CurrentVersion(mServers, server_id{ aRemoval.mName });
    case record_kind::Quarantine:
      return CurrentVersion(mQuarantine, fingerprint_id{ aRemoval.mName });
    case record_kind::Claim:
      return CurrentVersion(mClaims, aRemoval.mName);
    case record_kind::Configuration:
      return mConfiguration ? mConfiguration->mVersion : 0;
    case record_kind::Rollout:
      return CurrentVersion(mRollouts, service_id{ aRemoval.mName });
  }
  return 0;
}

change_outcome
control_state::RemoveTemplate(const template_id& aTemplate,
                              change_effects& aEffects)
{
  for (const auto& [name, team] : mTeams) {
    if (team.mTemplate == aTemplate) {
      return Refuse(change_verdict::InUse,
                    CurrentVersion(mTemplates, aTemplate),
                    "Team \"" + name.mValue + "\" uses this template.");
    }
  }
  mTemplates.erase(aTemplate);
  aEffects.mRecordChanges.emplace_back(
    record_removal{ record_kind::Template, aTemplate.mValue });
  return Accept(mIndex);
}

change_outcome
control_state::Put(const record_removal& aProposed,
                   const std::optional<log_index>& aIfVersion,
                   change_effects& aEffects)
{
  log_index current = VersionOf(aProposed);
  if (!Matches(aIfVersion, current)) {
    return VersionConflict(current);
  }
  if (current == 0) {
    return Refuse(change_verdict::NotFound,
                  0,
                  "There is no " + std::string(NameOf(aProposed.mKind)) +
                    " \"" + aProposed.mName + "\".");
  }
  switch (aProposed.mKind) {
    case record_kind::Template:
      return RemoveTemplate(template_id{ aProposed.mName }, aEffects);
    case record_kind::Team:
      mTeams.erase(team_id{ aProposed.mName });
      break;
    case record_kind::FailureDomain:
      mFailureDomains.erase(failure_domain_id{ aProposed.mName });
      break;
    case record_kind::EntryHost: {
      const entry_host_record& host = mEntryHosts[host_id{ aProposed.mName }];
      MarkClaimsUnknown(host.mHost, host.mIncarnation, aEffects);
      mEntryHosts.erase(host_id{ aProposed.mName });
      break;
    }
    case record_kind::Quarantine:
      mQuarantine.erase(fingerprint_id{ aProposed.mName });
      break;
    case record_kind::Server:
      RetireServer(mServers[server_id{ aProposed.mName }], aEffects);
      return Accept(mIndex);
    case record_kind::Claim:
      return Refuse(change_verdict::Invalid,
                    current,
                    "Claims expire by themselves and can't be removed.");
    case record_kind::Configuration:
      return Refuse(change_verdict::Invalid,
                    current,
                    "A configuration can't be removed, only replaced by one "
                    "with a higher number.");
    case record_kind::Rollout:
      return Refuse(change_verdict::Invalid,
                    current,
                    "A rollout can't be removed, only replaced by a later "
                    "one.");
  }
  aEffects.mRecordChanges.emplace_back(aProposed);
  return Accept(mIndex);
}

void
control_state::Expire(change_effects& aEffects)
{
  ExpireClaims(mSettledClaims, mLimits.mClaimRetention);
  ExpireClaims(mReleasedClaims, mLimits.mReleasedClaimRetention);
  wall_ms cutoff = mTime - mLimits.mChangeIdRetention.count();
  while (!mEvaluationOrder.empty() &&
         (mEvaluationOrder.size() > mLimits.mMaxChangeIds ||
          mEvaluated[mEvaluationOrder.front()].mEvaluatedAt < cutoff)) {
    mEvaluated.erase(mEvaluationOrder.front());
    mEvaluationOrder.pop_front();
  }
  ExpireGoneServers(aEffects);
  ExpireQuarantine(aEffects);
}

void
control_state::ExpireQuarantine(change_effects& aEffects)
{
  for (auto entry = mQuarantine.begin(); entry != mQuarantine.end();) {
    quarantine_record& record = entry->second;
    if (record.mUntil >= mTime) {
      ++entry;
      continue;
    }
    if (record.IsForwardRefused()) {
      // The servers may have been mended, so that one more run is tried.
      --record.mIncidents;
      record.mUntil = mTime + mLimits.mForwardQuarantineDuration.count();
      record.mVersion = mIndex;
      aEffects.mRecordChanges.emplace_back(record);
      ++entry;
      continue;
    }
    aEffects.mRecordChanges.emplace_back(
      record_removal{ record_kind::Quarantine, entry->first.mValue });
    entry = mQuarantine.erase(entry);
  }
}

void
control_state::RecordOutcome(const change_command& aCommand,
                             const change_outcome& aOutcome)
{
  mEvaluated[aCommand.mChangeId] = evaluated_change{
    aCommand.mChangeId, mTime, aCommand.mChanges.front(), aOutcome
  };
  mEvaluationOrder.push_back(aCommand.mChangeId);
}

std::vector<record_change>
control_state::Records() const
{
  std::vector<record_change> records;
  AppendRecords(mTemplates, records);
  AppendRecords(mTeams, records);
  AppendRecords(mFailureDomains, records);
  AppendRecords(mEntryHosts, records);
  AppendRecords(mServers, records);
  AppendRecords(mQuarantine, records);
  if (mConfiguration) {
    records.emplace_back(*mConfiguration);
  }
  AppendRecords(mRollouts, records);
  return records;
}

std::vector<evaluated_change>
control_state::EvaluatedChanges() const
{
  std::vector<evaluated_change> evaluated;
  for (const change_id& id : mEvaluationOrder) {
    evaluated.push_back(mEvaluated.at(id));
  }
  return evaluated;
}

namespace {

struct record_loader
{
  std::map<template_id, template_record>& mTemplates;
  std::map<team_id, team_record>& mTeams;
  std::map<failure_domain_id, failure_domain_record>& mFailureDomains;
  std::map<host_id, entry_host_record>& mEntryHosts;
  std::map<server_id, server_record>& mServers;
  std::map<std::string, server_id>& mServerAddresses;
  std::set<std::pair<wall_ms, server_id>>& mGoneServers;
  std::map<fingerprint_id, quarantine_record>& mQuarantine;
  std::optional<configuration_record>& mConfiguration;
  std::map<service_id, rollout_record>& mRollouts;

  void operator()(const rollout_record& aRecord) const
  {
    mRollouts[aRecord.mService] = aRecord;
  }
  void operator()(const configuration_record& aRecord) const
  {
    mConfiguration = aRecord;
  }
  void operator()(const template_record& aRecord) const
  {
    mTemplates[aRecord.mTemplate] = aRecord;
  }
  void operator()(const team_record& aRecord) const
  {
    mTeams[aRecord.mTeam] = aRecord;
  }
  void operator()(const failure_domain_record& aRecord) const
  {
    mFailureDomains[aRecord.mFailureDomain] = aRecord;
  }
  void operator()(const entry_host_record& aRecord) const
  {
    mEntryHosts[aRecord.mHost] = aRecord;
  }
  void operator()(const server_record& aRecord) const
  {
    mServers[aRecord.mServer] = aRecord;
    if (aRecord.mState == server_state::Gone) {
      mGoneServers.insert({ aRecord.mGoneAt, aRecord.mServer });
      return;
    }
    mServerAddresses[aRecord.mAddress] = aRecord.mServer;
  }
  void operator()(const quarantine_record& aRecord) const
  {
    mQuarantine[aRecord.mFingerprint] = aRecord;
  }
  // Claims are restored separately, and a snapshot contains no removals.
  void operator()(const claim_record& /*aRecord*/) const {}
  void operator()(const record_removal& /*aRecord*/) const {}
};

}

control_state
control_state::Restore(control_limits aLimits,
                       log_index aIndex,
                       wall_ms aTime,
                       const std::vector<record_change>& aRecords,
                       const std::vector<claim_record>& aClaims,
                       const std::vector<evaluated_change>& aEvaluated)
{
  control_state state(aLimits);
  state.mIndex = aIndex;
  state.mTime = aTime;
  record_loader loader{ state.mTemplates,      state.mTeams,
                        state.mFailureDomains, state.mEntryHosts,
                        state.mServers,        state.mServerAddresses,
                        state.mGoneServers,    state.mQuarantine,
                        state.mConfiguration,  state.mRollouts };
  for (const record_change& record : aRecords) {
    std::visit(loader, record);
  }
  for (const claim_record& claim : aClaims) {
    std::string name = ClaimName(claim.mTeam, claim.mKey);
    state.mClaims[name] = claim;
    if (claim.mState == claim_state::Released) {
      state.mReleasedClaims.emplace_back(claim.mSettledAt, name);
    } else if (claim.mState != claim_state::Claimed) {
      state.mSettledClaims.emplace_back(claim.mSettledAt, name);
    }
  }
  std::sort(state.mSettledClaims.begin(), state.mSettledClaims.end());
  std::sort(state.mReleasedClaims.begin(), state.mReleasedClaims.end());
  for (const evaluated_change& evaluated : aEvaluated) {
    state.mEvaluated[evaluated.mChangeId] = evaluated;
    state.mEvaluationOrder.push_back(evaluated.mChangeId);
  }
  return state;
}

}
