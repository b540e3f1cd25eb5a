#pragma once

#include "decisions/state/control_state.h"

#include <map>
#include <set>
#include <vector>

namespace hibiscusspool {

struct membership_config
{
  host_id mSelf;
  /** A daemon from which nothing arrives for this long is silent. */
  milliseconds mDaemonTimeout{ 3000 };
  /** A server whose lease holder is lost for this long is gone. */
  milliseconds mOrphanTimeout{ 6000 };
};

/** A daemon that is connected by a stream to this control host. */
struct connected_daemon
{
  entry_host_record mHost;
  steady_time mLastMessageAt;
  /**
   * The daemon reports that its shares are handed over according to the records
   * up to `mAppliedIndex`.
   */
  bool mHasShares = false;
  log_index mAppliedIndex = 0;
};

/** The state of the group as this control host sees it. */
struct membership_view
{
  const std::map<host_id, entry_host_record>& mEntryHosts;
  const std::map<server_id, server_record>& mServers;
  bool mIsLeader = false;
  /** Control hosts that have responded to the leader recently, and itself. */
  std::set<host_id> mActiveControlHosts;
};

/**
 * Decides which state transitions of daemons and servers a control host
 * proposes: daemons that connect to it or become silent and, on the leader,
 * daemons whose control host and servers whose lease holder was lost.
 */
class membership
{
  membership_config mConfig;
  steady_time mStartedAt;
  /** When each daemon last sent a message here, including on closed streams. */
  std::map<host_id, steady_time> mLastContact;
  /** Since when the control host of a daemon has been missing. */
  std::map<host_id, steady_time> mControlHostLostSince;
  /** Since when the lease holder of a server has been missing. */
  std::map<server_id, steady_time> mOrphanedSince;

  void AddConnectedDaemons(const std::vector<connected_daemon>& aConnected,
                           const membership_view& aView,
                           steady_time aNow,
                           std::vector<record_change>& aChanges) const;
  void AddSilentDaemons(const membership_view& aView,
                        steady_time aNow,
                        std::vector<record_change>& aChanges);
  void AddOrphanedServers(const membership_view& aView,
                          steady_time aNow,
                          std::vector<record_change>& aChanges);

public:
  membership(membership_config aConfig, steady_time aNow)
    : mConfig(std::move(aConfig))
    , mStartedAt(aNow)
  {
  }

  std::vector<record_change> ProposedChanges(
    const std::vector<connected_daemon>& aConnected,
    const membership_view& aView,
    steady_time aNow);
};

/** The hosts that serve callers, those of the given failure domain first. */
std::vector<entry_host_record>
ServingHosts(std::vector<entry_host_record> aHosts,
             const failure_domain_id& aPreferred);

}
