#include "decisions/control_state.h"

#include "decisions/change_evaluation.h"
#include "decisions/team_policy.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

template<typename records>
void
CopyFacts(const records& aRecords, std::vector<record_change>& aFacts)
{
  for (const auto& [name, record] : aRecords) {
    aFacts.emplace_back(record);
  }
}

}

change_effects
control_state::Apply(log_index aIndex, const change_command& aCommand)
{
  mIndex = aIndex;
  // A new leader's clock may be behind; time in the state never goes back.
  mTime = std::max(mTime, aCommand.mProposedAt);
  change_effects effects;
  Forget(effects);
  if (!aCommand.mChangeId.IsEmpty()) {
    auto judged = mJudged.find(aCommand.mChangeId);
    if (judged != mJudged.end()) {
      bool same = !aCommand.mChanges.empty() &&
                  judged->second.mChange == aCommand.mChanges.front();
      effects.mOutcomes.push_back(
        same ? judged->second.mOutcome
             : Refuse(change_verdict::KeyReused,
                      0,
                      "This Change-Id was used for another change."));
      return effects;
    }
  }
  for (const record_change& wish : aCommand.mChanges) {
    change_outcome outcome = Judge(wish, aCommand.mIfVersion, effects);
    outcome.mIndex = mIndex;
    effects.mOutcomes.push_back(std::move(outcome));
  }
  if (!aCommand.mChangeId.IsEmpty() && !effects.mOutcomes.empty()) {
    Remember(aCommand, effects.mOutcomes.front());
  }
  return effects;
}

change_outcome
control_state::Judge(const record_change& aWish,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects)
{
  return std::visit(
    [&](const auto& aRecord) { return Put(aRecord, aIfVersion, aEffects); },
    aWish);
}

change_outcome
control_state::Put(const template_record& aWish,
                   const std::optional<log_index>& aIfVersion,
                   change_effects& aEffects)
{
  log_index current = CurrentVersion(mTemplates, aWish.mTemplate);
  if (!Matches(aIfVersion, current)) {
    return VersionConflict(current);
  }
  auto checked = CheckTemplate(aWish);
  if (!checked) {
    return Refuse(change_verdict::Invalid, current, checked.error().mDetail);
  }
  for (const auto& [name, team] : mTeams) {
    if (team.mTemplate != aWish.mTemplate) {
      continue;
    }
    auto filled = ExpandTemplate(aWish, team);
    if (!filled) {
      return Refuse(change_verdict::Invalid,
                    current,
                    "Team \"" + name.mValue +
                      "\" would not fit: " + filled.error().mDetail);
    }
  }
  return Keep(mTemplates[aWish.mTemplate], aWish, mIndex, aEffects);
}

change_outcome
control_state::Put(const team_record& aWish,
                   const std::optional<log_index>& aIfVersion,
                   change_effects& aEffects)
{
  log_index current = CurrentVersion(mTeams, aWish.mTeam);
  if (!Matches(aIfVersion, current)) {
    return VersionConflict(current);
  }
  auto basis = mTemplates.find(aWish.mTemplate);
  if (basis == mTemplates.end()) {
    return Refuse(change_verdict::Invalid,
                  current,
                  "There is no template \"" + aWish.mTemplate.mValue + "\".");
  }
  auto filled = ExpandTemplate(basis->second, aWish);
  if (!filled) {
    return Refuse(change_verdict::Invalid, current, filled.error().mDetail);
  }
  return Keep(mTeams[aWish.mTeam], aWish, mIndex, aEffects);
}

change_outcome
control_state::Put(const failure_domain_record& aWish,
                   const std::optional<log_index>& aIfVersion,
                   change_effects& aEffects)
{
  log_index current = CurrentVersion(mFailureDomains, aWish.mFailureDomain);
  if (!Matches(aIfVersion, current)) {
    return VersionConflict(current);
  }
  return Keep(mFailureDomains[aWish.mFailureDomain], aWish, mIndex, aEffects);
}

change_outcome
control_state::Put(const quarantine_record& aWish,
                   const std::optional<log_index>& /*aIfVersion*/,
                   change_effects& aEffects)
{
  auto found = mQuarantine.find(aWish.mFingerprint);
  bool isTrial = aWish.mCrashedServers.empty();
  if (isTrial && aWish.mTrials.empty()) {
    return Refuse(
      change_verdict::Invalid, 0, "Neither a crash nor a trial is named.");
  }
  if (isTrial && found != mQuarantine.end()) {
    quarantine_record& known = found->second;
    const std::string& trial = aWish.mTrials.front();
    bool resent =
      std::find(known.mTrials.begin(), known.mTrials.end(), trial) !=
      known.mTrials.end();
    if (resent) {
      return Accept(known.mVersion);
    }
    std::size_t spent = known.mCrashedServers.size() + known.mTrials.size();
    if (spent >= mLimits.mMaxCrashes) {
      return Refuse(change_verdict::Quarantined,
                    known.mVersion,
                    "The request crashed servers.");
    }
  }
  quarantine_record& kept = mQuarantine[aWish.mFingerprint];
  kept.mFingerprint = aWish.mFingerprint;
  kept.mVersion = mIndex;
  kept.mUntil = mTime + mLimits.mQuarantine.count();
  for (const server_id& server : aWish.mCrashedServers) {
    bool known = std::find(kept.mCrashedServers.begin(),
                           kept.mCrashedServers.end(),
                           server) != kept.mCrashedServers.end();
    if (!known) {
      kept.mCrashedServers.push_back(server);
    }
  }
  for (const std::string& trial : aWish.mTrials) {
    // A crash ends its trial; without one the wish opens the trial.
    if (isTrial) {
      kept.mTrials.push_back(trial);
    } else {
      std::erase(kept.mTrials, trial);
    }
  }
  aEffects.mRecordChanges.emplace_back(kept);
  return Accept(mIndex);
}

change_outcome
control_state::Put(const configuration_record& aWish,
                   const std::optional<log_index>& /*aIfVersion*/,
                   change_effects& aEffects)
{
  auto checked = CheckConfiguration(aWish);
  if (!checked) {
    return Refuse(change_verdict::Invalid, 0, checked.error().mDetail);
  }
  if (mConfiguration && aWish.mNumber <= mConfiguration->mNumber) {
    bool isOther = aWish.mNumber == mConfiguration->mNumber &&
                   aWish.mDocument != mConfiguration->mDocument;
    if (isOther) {
      return Refuse(change_verdict::Conflict,
                    mConfiguration->mVersion,
                    "Configuration " + std::to_string(aWish.mNumber) +
                      " has other content.");
    }
    change_outcome kept = Accept(mConfiguration->mVersion);
    kept.mDetail = "Configuration " + std::to_string(mConfiguration->mNumber) +
                   " stays in force.";
    return kept;
  }
  mConfiguration = aWish;
  mConfiguration->mVersion = mIndex;
  aEffects.mRecordChanges.emplace_back(*mConfiguration);
  return Accept(mIndex);
}

log_index
control_state::VersionOf(const record_removal& aName) const
{
  switch (aName.mKind) {
    case record_kind::Template:
      return CurrentVersion(mTemplates, template_id{ aName.mName });
    case record_kind::Team:
      return CurrentVersion(mTeams, team_id{ aName.mName });
    case record_kind::FailureDomain:
      return CurrentVersion(mFailureDomains, failure_domain_id{ aName.mName });
    case record_kind::EntryHost:
      return CurrentVersion(mEntryHosts, host_id{ aName.mName });
    case record_kind::Server:
      return CurrentVersion(mServers, server_id{ aName.mName });
    case record_kind::Quarantine:
      return CurrentVersion(mQuarantine, fingerprint_id{ aName.mName });
    case record_kind::Claim:
      return CurrentVersion(mClaims, aName.mName);
    case record_kind::Configuration:
      return mConfiguration ? mConfiguration->mVersion : 0;
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
control_state::Put(const record_removal& aWish,
                   const std::optional<log_index>& aIfVersion,
                   change_effects& aEffects)
{
  log_index current = VersionOf(aWish);
  if (!Matches(aIfVersion, current)) {
    return VersionConflict(current);
  }
  if (current == 0) {
    return Refuse(change_verdict::NotFound,
                  0,
                  "There is no " + std::string(NameOf(aWish.mKind)) + " \"" +
                    aWish.mName + "\".");
  }
  switch (aWish.mKind) {
    case record_kind::Template:
      return RemoveTemplate(template_id{ aWish.mName }, aEffects);
    case record_kind::Team:
      mTeams.erase(team_id{ aWish.mName });
      break;
    case record_kind::FailureDomain:
      mFailureDomains.erase(failure_domain_id{ aWish.mName });
      break;
    case record_kind::EntryHost: {
      const entry_host_record& host = mEntryHosts[host_id{ aWish.mName }];
      LoseClaimsOf(host.mHost, host.mIncarnation, aEffects);
      mEntryHosts.erase(host_id{ aWish.mName });
      break;
    }
    case record_kind::Quarantine:
      mQuarantine.erase(fingerprint_id{ aWish.mName });
      break;
    case record_kind::Server:
      RetireServer(mServers[server_id{ aWish.mName }], aEffects);
      return Accept(mIndex);
    case record_kind::Claim:
      return Refuse(change_verdict::Invalid,
                    current,
                    "A claim ends by itself and can't be removed.");
    case record_kind::Configuration:
      return Refuse(change_verdict::Invalid,
                    current,
                    "A configuration is replaced by one with a higher number "
                    "and can't be removed.");
  }
  aEffects.mRecordChanges.emplace_back(aWish);
  return Accept(mIndex);
}

void
control_state::Forget(change_effects& aEffects)
{
  ForgetClaims(mSettledClaims, mLimits.mClaimRetention);
  ForgetClaims(mReleasedClaims, mLimits.mReleaseKept);
  wall_ms oldestChange = mTime - mLimits.mChangeIdKept.count();
  while (!mJudgedOrder.empty() &&
         (mJudgedOrder.size() > mLimits.mMaxChangeIds ||
          mJudged[mJudgedOrder.front()].mEvaluatedAt < oldestChange)) {
    mJudged.erase(mJudgedOrder.front());
    mJudgedOrder.pop_front();
  }
  ForgetGoneServers(aEffects);
  for (auto entry = mQuarantine.begin(); entry != mQuarantine.end();) {
    if (entry->second.mUntil >= mTime) {
      ++entry;
      continue;
    }
    aEffects.mRecordChanges.emplace_back(
      record_removal{ record_kind::Quarantine, entry->first.mValue });
    entry = mQuarantine.erase(entry);
  }
}

void
control_state::Remember(const change_command& aCommand,
                        const change_outcome& aOutcome)
{
  mJudged[aCommand.mChangeId] = evaluated_change{
    aCommand.mChangeId, mTime, aCommand.mChanges.front(), aOutcome
  };
  mJudgedOrder.push_back(aCommand.mChangeId);
}

std::vector<record_change>
control_state::Records() const
{
  std::vector<record_change> facts;
  CopyFacts(mTemplates, facts);
  CopyFacts(mTeams, facts);
  CopyFacts(mFailureDomains, facts);
  CopyFacts(mEntryHosts, facts);
  CopyFacts(mServers, facts);
  CopyFacts(mQuarantine, facts);
  if (mConfiguration) {
    facts.emplace_back(*mConfiguration);
  }
  return facts;
}

std::vector<evaluated_change>
control_state::EvaluatedChanges() const
{
  std::vector<evaluated_change> judged;
  for (const change_id& change : mJudgedOrder) {
    judged.push_back(mJudged.at(change));
  }
  return judged;
}

namespace {

struct fact_loader
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
  // Claims travel apart from the facts, and a snapshot removes nothing.
  void operator()(const claim_record& /*aRecord*/) const {}
  void operator()(const record_removal& /*aRecord*/) const {}
};

}

control_state
control_state::Restore(control_limits aLimits,
                       log_index aIndex,
                       wall_ms aTime,
                       const std::vector<record_change>& aFacts,
                       const std::vector<claim_record>& aClaims,
                       const std::vector<evaluated_change>& aJudged)
{
  control_state state(aLimits);
  state.mIndex = aIndex;
  state.mTime = aTime;
  fact_loader loader{ state.mTemplates,      state.mTeams,
                      state.mFailureDomains, state.mEntryHosts,
                      state.mServers,        state.mServerAddresses,
                      state.mGoneServers,    state.mQuarantine,
                      state.mConfiguration };
  for (const record_change& fact : aFacts) {
    std::visit(loader, fact);
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
  for (const evaluated_change& judged : aJudged) {
    state.mJudged[judged.mChangeId] = judged;
    state.mJudgedOrder.push_back(judged.mChangeId);
  }
  return state;
}

}
