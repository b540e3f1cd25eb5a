#pragma once

#include "controllers/backend_controller.h"
#include "controllers/watch_hub.h"
#include "core/sharded_map.h"
#include "decisions/routing/route_table.h"
#include "decisions/routing/team_policy.h"
#include "decisions/routing/weighted_choice.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <vector>

namespace hibiscusspool {

/** A team's policy and the log index from which it is in force. */
struct versioned_policy
{
  team_policy mPolicy;
  log_index mVersion = 0;
};

struct catalog_hooks
{
  /** The known entry hosts have changed. */
  std::function<void(const std::vector<entry_host_record>&)> mOnEntryHosts;
};

/**
 * The records in force as received over the watch stream: teams, templates,
 * failure domains, entry hosts, quarantine and routes. Servers are passed on
 * to the backend controller. Changes are applied in log order, since shares
 * depend on the entry hosts that were known when a server was added.
 */
class catalog_controller
{
  struct record_applier;

  host_id mSelf;
  backend_controller& mBackends;
  catalog_hooks mHooks;
  sharded_map<template_id, template_record> mTemplates;
  sharded_map<team_id, team_record> mTeams;
  sharded_map<team_id, versioned_policy> mPolicies;
  sharded_map<failure_domain_id, failure_domain_record> mFailureDomains;
  sharded_map<host_id, entry_host_record> mEntryHosts;
  sharded_map<fingerprint_id, quarantine_record> mQuarantine;
  sharded_map<service_id, rollout_record> mRollouts;
  mutable std::mutex mRoutesLock;
  std::shared_ptr<const route_table> mRoutes;
  /** Position in the weighted cycle of each route with several services, by
   * route name. */
  sharded_map<std::string, std::optional<weighted_choice>> mServiceChoices;
  std::atomic<log_index> mIndex{ 0 };
  std::atomic<std::uint32_t> mServingHosts{ 1 };
  std::atomic<std::uint32_t> mKnownHosts{ 1 };
  /** Updates come from one stream at a time, but two streams overlap while the
   * daemon switches between them. */
  std::mutex mApplyLock;
  /** The update in progress changed entry hosts; guarded by `mApplyLock`. */
  bool mHaveHostsChanged = false;

  void UpdatePolicy(const team_id& aTeam);
  void RefreshHosts(steady_time aNow);
  void RefreshDomains();
  void SetRollout(const rollout_record& aRecord, steady_time aNow);
  void SetConfiguration(const configuration_record& aRecord);
  void Remove(const record_removal& aRemoval, steady_time aNow);
  void RemoveAllExcept(const std::vector<record_change>& aChanges,
                       steady_time aNow);

public:
  catalog_controller(host_id aSelf,
                     backend_controller& aBackends,
                     catalog_hooks aHooks)
    : mSelf(std::move(aSelf))
    , mBackends(aBackends)
    , mHooks(std::move(aHooks))
  {
  }

  void Apply(const watch_update& aUpdate, steady_time aNow);

  /** The log index up to which all changes are applied here. */
  [[nodiscard]] log_index Index() const { return mIndex; }
  [[nodiscard]] std::optional<versioned_policy> Team(
    const team_id& aTeam) const;
  /** The requests that have a quarantine record. */
  [[nodiscard]] std::vector<fingerprint_id> QuarantinedRequests() const;
  [[nodiscard]] std::optional<quarantine_record> Quarantine(
    const fingerprint_id& aFingerprint) const;
  [[nodiscard]] std::vector<entry_host_record> EntryHosts() const;
  [[nodiscard]] std::vector<team_id> Teams() const;
  /** The routes in force, or nothing before the first configuration. */
  [[nodiscard]] std::shared_ptr<const route_table> Routes() const;
  /** The service for the next request of a route without shards. */
  service_id NextService(const route_record& aRoute);
  [[nodiscard]] bool IsDomainOut(const failure_domain_id& aDomain) const;
  /** Entry hosts that currently serve callers; at least one. */
  [[nodiscard]] std::uint32_t ServingHosts() const { return mServingHosts; }
  /** All known entry hosts, including silent ones; at least one. */
  [[nodiscard]] std::uint32_t KnownHostCount() const { return mKnownHosts; }
};

}
