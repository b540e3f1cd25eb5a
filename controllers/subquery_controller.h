#pragma once

#include "core/sharded_map.h"
#include "decisions/routing/subquery_plan.h"
#include "decisions/state/records.h"

#include <functional>
#include <optional>
#include <vector>

namespace hibiscusspool {

/** The failure domains in which servers of a service can answer. */
using service_domains =
  std::function<std::vector<fan_out_service>(const std::vector<service_id>&,
                                             steady_time)>;

struct subquery_config
{
  host_id mSelf;
  failure_domain_id mFailureDomain;
  subquery_costs mCosts;
  /** Hosts among which this host chooses for one group of services. Few, so
   * that their connections stay in use. */
  std::size_t mHostsPerGroup = 3;
};

/** A group of services and the host that is to ask them. */
struct assigned_subquery
{
  host_id mHost;
  std::string mAddress;
  std::vector<service_id> mServices;
};

/**
 * The entry hosts that can perform subqueries for this host, by failure domain.
 * Hosts that failed are left alone for a time that doubles.
 */
class subquery_controller
{
  struct peer
  {
    host_id mHost;
    std::string mAddress;
    /** Rank of the host for this one, so that hosts prefer different ones. */
    std::uint64_t mWeight = 0;
    /** The same on all hosts; selects the groups that the host asks. */
    std::uint64_t mHash = 0;
    std::uint32_t mOutstanding = 0;
    milliseconds mPause{ 0 };
    steady_time mPausedUntil;
  };

  subquery_config mConfig;
  service_domains mServiceDomains;
  sharded_map<failure_domain_id, std::vector<peer>> mPeers;
  sharded_map<host_id, failure_domain_id> mDomainOf;

  /** Sets the hosts of a domain; those that were known keep their state. */
  void ReplacePeers(const failure_domain_id& aDomain, std::vector<peer> aPeers);
  /**
   * Chooses a host for group number `aNumber` of `aGroups`. All hosts of a
   * failure domain divide a fan-out alike, and each group is asked by its own
   * part of the hosts, which so keep connections to fewer servers and learn
   * their speed sooner.
   */
  std::optional<assigned_subquery> Assign(const subquery_group& aGroup,
                                          std::size_t aNumber,
                                          std::size_t aGroups,
                                          steady_time aNow);

public:
  subquery_controller(subquery_config aConfig, service_domains aServiceDomains)
    : mConfig(std::move(aConfig))
    , mServiceDomains(std::move(aServiceDomains))
  {
  }

  /** Sets the known entry hosts. */
  void SetHosts(const std::vector<entry_host_record>& aHosts);
  /** Divides a fan-out and assigns a host to each group for which one is
   * available; empty if this host should ask all servers. */
  std::vector<assigned_subquery> Plan(const std::vector<service_id>& aServices,
                                      steady_time aNow);
  /** Releases a host after a subquery. */
  void Finish(const host_id& aHost, bool aHasFailed, steady_time aNow);
};

}
