#pragma once

#include "decisions/state/change.h"

#include <deque>
#include <map>
#include <set>

namespace hibiscusspool {

/** Limits on the number and age of the records in the state machine. */
struct control_limits
{
  std::size_t mMaxClaims = 200'000;
  milliseconds mClaimRetention = std::chrono::hours(48);
  /**
   * How long a released claim is kept, so that a delayed proposal of the same
   * attempt does not acquire it again.
   */
  milliseconds mReleasedClaimRetention = std::chrono::minutes(10);
  std::size_t mMaxChangeIds = 20'000;
  milliseconds mChangeIdRetention = std::chrono::hours(24 * 7);
  milliseconds mQuarantineDuration = std::chrono::minutes(30);
  /** How long a forwarded request is refused after its last incident; then one
   * more incident suffices. */
  milliseconds mForwardQuarantineDuration = std::chrono::minutes(10);
  /** How long a forwarded request is suspected after an incident. */
  milliseconds mSuspicionDuration = std::chrono::minutes(1);
  /** Crashes that are reported within this time count as one incident, since
   * many servers may end at once for another cause. */
  milliseconds mIncidentGap{ 500 };
  /**
   * How long the record of a gone server is kept, so that a server that
   * returns in the same incarnation is not treated as a new one while hosts may
   * still use their shares of it.
   * Must exceed the lease plus the maximum wait.
   */
  milliseconds mGoneServerRetention = std::chrono::seconds(60);
  /** Maximum crashes and trials of one request, counted over all hosts. */
  std::size_t mMaxCrashes = 2;
  /** Maximum number of services that have a rollout. */
  std::size_t mMaxRollouts = 10'000;
  /** How long after the end of a rollout its order counts as a repeat. Must
   * exceed the time for which operators send an order again. */
  milliseconds mRolloutRepeatWindow = std::chrono::seconds(60);
};

/** An evaluated change, kept so that a resend gets the same outcome. */
struct evaluated_change
{
  change_id mChangeId;
  wall_ms mEvaluatedAt = 0;
  /** The change as evaluated, to detect an id that is used for two changes. */
  record_change mChange;
  change_outcome mOutcome;
};

/**
 * The replicated state machine to which control hosts apply the log. It is
 * deterministic: the same commands give the same state and outcomes on every
 * host, and time comes from the commands only.
 */
class control_state
{
  control_limits mLimits;
  log_index mIndex = 0;
  wall_ms mTime = 0;
  std::map<template_id, template_record> mTemplates;
  std::map<team_id, team_record> mTeams;
  std::map<failure_domain_id, failure_domain_record> mFailureDomains;
  std::map<host_id, entry_host_record> mEntryHosts;
  std::map<server_id, server_record> mServers;
  std::map<std::string, server_id> mServerAddresses;
  std::set<std::pair<wall_ms, server_id>> mGoneServers;
  std::map<fingerprint_id, quarantine_record> mQuarantine;
  std::optional<configuration_record> mConfiguration;
  std::map<service_id, rollout_record> mRollouts;
  std::map<std::string, claim_record> mClaims;
  /** Names of settled claims by the time at which they settled. */
  std::deque<std::pair<wall_ms, std::string>> mSettledClaims;
  std::deque<std::pair<wall_ms, std::string>> mReleasedClaims;
  std::map<change_id, evaluated_change> mEvaluated;
  std::deque<change_id> mEvaluationOrder;

  change_outcome Evaluate(const record_change& aProposed,
                          const std::optional<log_index>& aIfVersion,
                          change_effects& aEffects);
  change_outcome Put(const template_record& aProposed,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const team_record& aProposed,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const failure_domain_record& aProposed,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const entry_host_record& aProposed,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const server_record& aProposed,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const quarantine_record& aProposed,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  /** Counts an incident of a forwarded request. */
  change_outcome PutIncident(const quarantine_record& aProposed,
                             change_effects& aEffects);
  change_outcome Put(const claim_record& aProposed,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const configuration_record& aProposed,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const record_removal& aProposed,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const rollout_record& aProposed,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome ApplyStep(const rollout_record& aProposed,
                           change_effects& aEffects);
  change_outcome SettleClaim(claim_record& aClaim,
                             const claim_record& aProposed,
                             change_effects& aEffects);
  change_outcome RemoveTemplate(const template_id& aTemplate,
                                change_effects& aEffects);
  [[nodiscard]] log_index VersionOf(const record_removal& aRemoval) const;
  void MarkClaimsUnknown(const host_id& aOwner,
                         incarnation_number aOwnerIncarnation,
                         change_effects& aEffects);
  void Settle(claim_record& aClaim,
              claim_state aState,
              change_effects& aEffects);
  void RetireServer(server_record& aServer, change_effects& aEffects);
  void ExpireGoneServers(change_effects& aEffects);
  void ExpireQuarantine(change_effects& aEffects);
  void Expire(change_effects& aEffects);
  void ExpireClaims(std::deque<std::pair<wall_ms, std::string>>& aSettled,
                    milliseconds aRetention);
  void RecordOutcome(const change_command& aCommand,
                     const change_outcome& aOutcome);

public:
  explicit control_state(control_limits aLimits)
    : mLimits(aLimits)
  {
  }

  /** Applies the command of a log entry. */
  change_effects Apply(log_index aIndex, const change_command& aCommand);
  /** Advances past a log entry that contains no command. */
  void Advance(log_index aIndex) { mIndex = aIndex; }

  [[nodiscard]] log_index Index() const { return mIndex; }
  [[nodiscard]] wall_ms Time() const { return mTime; }
  [[nodiscard]] const std::map<host_id, entry_host_record>& EntryHosts() const
  {
    return mEntryHosts;
  }
  [[nodiscard]] const std::map<failure_domain_id, failure_domain_record>&
  FailureDomains() const
  {
    return mFailureDomains;
  }
  [[nodiscard]] const std::map<server_id, server_record>& Servers() const
  {
    return mServers;
  }
  /** The configuration in force, if there is one. */
  [[nodiscard]] const std::optional<configuration_record>& Configuration() const
  {
    return mConfiguration;
  }
  [[nodiscard]] const std::map<service_id, rollout_record>& Rollouts() const
  {
    return mRollouts;
  }
  /** The latest rollout of a service, or nothing. */
  [[nodiscard]] const rollout_record* FindRollout(
    const service_id& aService) const;
  /** The claim of this name, or nothing. */
  [[nodiscard]] const claim_record* FindClaim(const std::string& aName) const;
  [[nodiscard]] std::size_t ClaimCount() const { return mClaims.size(); }
  [[nodiscard]] std::size_t ServerCount() const { return mServers.size(); }

  /** All records that daemons hold. */
  [[nodiscard]] std::vector<record_change> Records() const;
  /** All claims, for a snapshot of the control state. */
  [[nodiscard]] std::vector<claim_record> Claims() const;
  /** All evaluated changes in order, for a snapshot of the control state. */
  [[nodiscard]] std::vector<evaluated_change> EvaluatedChanges() const;

  /** Restores the state from the contents of a snapshot. */
  static control_state Restore(control_limits aLimits,
                               log_index aIndex,
                               wall_ms aTime,
                               const std::vector<record_change>& aRecords,
                               const std::vector<claim_record>& aClaims,
                               const std::vector<evaluated_change>& aEvaluated);
};

/** The outcome that a resend of a claimed request gets. */
change_outcome
OutcomeOf(const claim_record& aClaim);

/** The key of a claim in the state machine. */
std::string
ClaimName(const team_id& aTeam, const idempotency_key& aKey);

}
