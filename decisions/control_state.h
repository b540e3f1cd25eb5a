#pragma once

#include "decisions/change.h"

#include <deque>
#include <map>
#include <set>

namespace hibiscusspool {

/** How much the state machine keeps, and for how long. */
struct control_limits
{
  std::size_t mMaxClaims = 200'000;
  milliseconds mClaimRetention = std::chrono::hours(48);
  /**
   * How long a released claim is remembered, so that its own late proposal
   * does not claim it again.
   */
  milliseconds mReleaseKept = std::chrono::minutes(10);
  std::size_t mMaxChangeIds = 20'000;
  milliseconds mChangeIdKept = std::chrono::hours(24 * 7);
  milliseconds mQuarantine = std::chrono::minutes(30);
  /**
   * How long the record of a server that went is kept, so that a server which
   * comes back in the same run is not taken for one that nobody uses. Longer
   * than a lease and the longest wait together.
   */
  milliseconds mGoneServerKept = std::chrono::seconds(60);
  /** Servers that one request may crash, over all hosts. */
  std::size_t mMaxCrashes = 2;
};

/** A change that was judged, kept so that a resend gets the same outcome. */
struct evaluated_change
{
  change_id mChangeId;
  wall_ms mEvaluatedAt = 0;
  /** The wish as it was judged, to find an id used for two changes. */
  record_change mChange;
  change_outcome mOutcome;
};

/**
 * Every record that is in force: the one deterministic state machine that the
 * control hosts apply the log to. The same commands give the same state and
 * the same outcomes everywhere; time comes from the commands alone.
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
  std::map<std::string, claim_record> mClaims;
  /** Settled claims in the order in which they settled. */
  std::deque<std::pair<wall_ms, std::string>> mSettledClaims;
  std::deque<std::pair<wall_ms, std::string>> mReleasedClaims;
  std::map<change_id, evaluated_change> mJudged;
  std::deque<change_id> mJudgedOrder;

  change_outcome Judge(const record_change& aWish,
                       const std::optional<log_index>& aIfVersion,
                       change_effects& aEffects);
  change_outcome Put(const template_record& aWish,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const team_record& aWish,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const failure_domain_record& aWish,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const entry_host_record& aWish,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const server_record& aWish,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const quarantine_record& aWish,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const claim_record& aWish,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const configuration_record& aWish,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome Put(const record_removal& aWish,
                     const std::optional<log_index>& aIfVersion,
                     change_effects& aEffects);
  change_outcome SettleClaim(claim_record& aClaim,
                             const claim_record& aWish,
                             change_effects& aEffects);
  change_outcome RemoveTemplate(const template_id& aTemplate,
                                change_effects& aEffects);
  [[nodiscard]] log_index VersionOf(const record_removal& aName) const;
  void LoseClaimsOf(const host_id& aOwner,
                    incarnation_number aOwnerIncarnation,
                    change_effects& aEffects);
  void Settle(claim_record& aClaim,
              claim_state aState,
              change_effects& aEffects);
  void RetireServer(server_record& aServer, change_effects& aEffects);
  void ForgetGoneServers(change_effects& aEffects);
  void Forget(change_effects& aEffects);
  void ForgetClaims(std::deque<std::pair<wall_ms, std::string>>& aEnded,
                    milliseconds aKept);
  void Remember(const change_command& aCommand, const change_outcome& aOutcome);

public:
  explicit control_state(control_limits aLimits)
    : mLimits(aLimits)
  {
  }

  /** Applies one command at its log index. */
  change_effects Apply(log_index aIndex, const change_command& aCommand);
  /** Notes that the log went on without a command. */
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
  /** The configuration in force, if one was ever put. */
  [[nodiscard]] const std::optional<configuration_record>& Configuration() const
  {
    return mConfiguration;
  }
  /** The claim of this name, or nothing. */
  [[nodiscard]] const claim_record* FindClaim(const std::string& aName) const;
  [[nodiscard]] std::size_t ClaimCount() const { return mClaims.size(); }
  [[nodiscard]] std::size_t ServerCount() const { return mServers.size(); }

  /** All records that daemons hold, as facts. */
  [[nodiscard]] std::vector<record_change> Records() const;
  /** All claims, for a snapshot of the control state. */
  [[nodiscard]] std::vector<claim_record> Claims() const;
  /** All judged changes in order, for a snapshot of the control state. */
  [[nodiscard]] std::vector<evaluated_change> EvaluatedChanges() const;

  /** The state that a snapshot holds. */
  static control_state Restore(control_limits aLimits,
                               log_index aIndex,
                               wall_ms aTime,
                               const std::vector<record_change>& aFacts,
                               const std::vector<claim_record>& aClaims,
                               const std::vector<evaluated_change>& aJudged);
};

/** What a resend of a claimed request is told. */
change_outcome
OutcomeOf(const claim_record& aClaim);

/** The name under which a claim is kept. */
std::string
ClaimName(const team_id& aTeam, const idempotency_key& aKey);

}
