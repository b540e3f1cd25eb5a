#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/name_table.h"
#include "decisions/routing/configuration.h"
#include "decisions/state/rollout_record.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusspool {

enum class failure_domain_state
{
  In,
  Out,
};

template<>
inline constexpr name_table<failure_domain_state, 2>
  kNames<failure_domain_state>{ {
    { failure_domain_state::In, "in" },
    { failure_domain_state::Out, "out" },
  } };

/** The state that a backend server announces. */
enum class server_state
{
  Cold,
  Ready,
  Draining,
  Gone,
};

template<>
inline constexpr name_table<server_state, 4> kNames<server_state>{ {
  { server_state::Cold, "cold" },
  { server_state::Ready, "ready" },
  { server_state::Draining, "draining" },
  { server_state::Gone, "gone" },
} };

enum class entry_host_state
{
  Serving,
  Leaving,
  Silent,
  /** The host has the records, but its shares are not handed over yet. */
  Joining,
};

template<>
inline constexpr name_table<entry_host_state, 4> kNames<entry_host_state>{ {
  { entry_host_state::Serving, "serving" },
  { entry_host_state::Leaving, "leaving" },
  { entry_host_state::Silent, "silent" },
  { entry_host_state::Joining, "joining" },
} };

enum class claim_state
{
  Claimed,
  Done,
  Unknown,
  Released,
};

template<>
inline constexpr name_table<claim_state, 4> kNames<claim_state>{ {
  { claim_state::Claimed, "claimed" },
  { claim_state::Done, "done" },
  { claim_state::Unknown, "unknown" },
  { claim_state::Released, "released" },
} };

/**
 * A template as operators wrote it. The text of a field may contain
 * `${parameter}`, to which teams give values. Field names are those of
 * `policy_field`.
 */
struct template_record
{
  template_id mTemplate;
  log_index mVersion = 0;
  std::map<std::string, std::string> mFields;
  /** Default values of parameters; a parameter without one has no entry. */
  std::map<std::string, std::string> mDefaults;

  bool operator==(const template_record&) const = default;
};

struct team_record
{
  team_id mTeam;
  log_index mVersion = 0;
  template_id mTemplate;
  std::map<std::string, std::string> mParameters;

  bool operator==(const team_record&) const = default;
};

struct failure_domain_record
{
  failure_domain_id mFailureDomain;
  log_index mVersion = 0;
  failure_domain_state mState = failure_domain_state::In;

  bool operator==(const failure_domain_record&) const = default;
};

struct entry_host_record
{
  host_id mHost;
  log_index mVersion = 0;
  incarnation_number mIncarnation = 0;
  failure_domain_id mFailureDomain;
  /** Where callers connect, `ip:port`. */
  std::string mCallersAddress;
  /** Where backend servers announce themselves, `ip:port`. */
  std::string mAnnounceAddress;
  /** Where other entry hosts send subqueries, `ip:port`; empty if this host
   * serves none. */
  std::string mSubqueryAddress;
  entry_host_state mState = entry_host_state::Serving;
  /** The control host that serves its watch stream. */
  host_id mControlHost;

  bool operator==(const entry_host_record&) const = default;
};

struct server_record
{
  server_id mServer;
  log_index mVersion = 0;
  incarnation_number mIncarnation = 0;
  /** Number of announcements of this incarnation that changed the record. */
  std::uint64_t mSequence = 0;
  service_id mService;
  failure_domain_id mFailureDomain;
  std::string mAddress;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  std::uint32_t mColdSlots = 0;
  server_state mState = server_state::Cold;
  std::vector<snapshot_number> mSnapshots;
  /** The entry host that holds the server's lease. */
  host_id mLeaseHolder;
  /** Cold epoch: changes when a host detects that the server acts cold. */
  log_index mColdEpoch = 0;
  /** When the server became `Gone`; its record is kept for a while after it. */
  wall_ms mGoneAt = 0;
  /** Start time of this incarnation as announced; 0 if not announced. */
  wall_ms mStartedAt = 0;
  /** The server announced that it leaves; this incarnation can't return. */
  bool mHasLeft = false;
  /** Version of its software as announced; empty if not announced. */
  std::string mSoftwareVersion;

  bool operator==(const server_record&) const = default;
};

/**
 * A request body that crashed servers. A trial is a permitted run of a request
 * with this body after a crash. When crashes and trials add up to two, no host
 * runs such a request until `mUntil`.
 */
struct quarantine_record
{
  fingerprint_id mFingerprint;
  log_index mVersion = 0;
  /** Servers whose connection was reset while they ran the request. */
  std::vector<server_id> mCrashedServers;
  /** Ids of the permitted trials for which no crash was reported. */
  std::vector<std::string> mTrials;
  wall_ms mUntil = 0;
  /** Crashes, apart in time, that a forwarded request had in common; in a
   * proposal, 1 for one more. */
  std::uint32_t mIncidents = 0;
  /** When the latest incident was recorded. */
  wall_ms mIncidentAt = 0;

  /** Incidents after which no host runs a forwarded request. */
  static constexpr std::uint32_t kMaxIncidents = 3;

  /** True for a forwarded request that is not run; otherwise the record of one
   * is a suspicion. */
  [[nodiscard]] bool IsForwardRefused() const
  {
    return mIncidents >= kMaxIncidents;
  }

  bool operator==(const quarantine_record&) const = default;
};

/** The right of one entry host to run a non-idempotent request once. */
struct claim_record
{
  team_id mTeam;
  idempotency_key mKey;
  log_index mVersion = 0;
  fingerprint_id mFingerprint;
  /** The attempt that holds the claim. */
  request_id mAttempt;
  host_id mOwner;
  incarnation_number mOwnerIncarnation = 0;
  claim_state mState = claim_state::Claimed;
  std::string mOutcome;
  wall_ms mSettledAt = 0;

  bool operator==(const claim_record&) const = default;
};

enum class record_kind
{
  Template,
  Team,
  FailureDomain,
  EntryHost,
  Server,
  Quarantine,
  Claim,
  Configuration,
  Rollout,
};

template<>
inline constexpr name_table<record_kind, 9> kNames<record_kind>{ {
  { record_kind::Template, "template" },
  { record_kind::Team, "team" },
  { record_kind::FailureDomain, "failure_domain" },
  { record_kind::EntryHost, "entry_host" },
  { record_kind::Server, "server" },
  { record_kind::Quarantine, "quarantine" },
  { record_kind::Claim, "claim" },
  { record_kind::Configuration, "configuration" },
  { record_kind::Rollout, "rollout" },
} };

/** Removes the record of this kind and name. */
struct record_removal
{
  record_kind mKind = record_kind::Template;
  std::string mName;

  bool operator==(const record_removal&) const = default;
};

/** A record to store or remove; proposed in commands and sent to daemons. */
using record_change = std::variant<template_record,
                                   team_record,
                                   failure_domain_record,
                                   entry_host_record,
                                   server_record,
                                   quarantine_record,
                                   claim_record,
                                   record_removal,
                                   configuration_record,
                                   rollout_record>;

}
