#pragma once

#include "decisions/control_state.h"

#include <map>
#include <set>
#include <vector>

namespace hibiscusspool {

struct membership_config
{
  host_id mSelf;
  /** A daemon that is not heard for this long is silent. */
  milliseconds mSilence{ 3000 };
  /** A server whose sponsor is lost for this long is gone. */
  milliseconds mServerLapse{ 6000 };
};

/** What a control host knows of a daemon on one of its streams. */
struct connected_daemon
{
  entry_host_record mHost;
  steady_time mHeardAt;
  /** It says that its shares are handed over, as of `mAppliedIndex`. */
  bool mHasShares = false;
  log_index mAppliedIndex = 0;
};

/** What a control host sees of the whole, besides its own streams. */
struct membership_view
{
  const std::map<host_id, entry_host_record>& mEntryHosts;
  const std::map<server_id, server_record>& mServers;
  bool mIsLeader = false;
  /** Control hosts that the leader has heard lately, with itself. */
  std::set<host_id> mActiveControlHosts;
};

/**
 * Which transitions of daemons and servers a control host must propose: the
 * arrival and the silence of daemons on its own streams, and, as the leader,
 * of those whose control host or sponsor was lost.
 */
class membership
{
  membership_config mConfig;
  steady_time mStartedAt;
  /** When each daemon was last heard here, also over a stream that closed. */
  std::map<host_id, steady_time> mLastHeard;
  /** Since when the leader has missed a daemon's control host. */
  std::map<host_id, steady_time> mLostSince;
  /** Since when the leader has missed a server's sponsor. */
  std::map<server_id, steady_time> mOrphanSince;

  void AddArrivals(const std::vector<connected_daemon>& aHeard,
                   const membership_view& aView,
                   steady_time aNow,
                   std::vector<record_change>& aWishes) const;
  void AddSilent(const membership_view& aView,
                 steady_time aNow,
                 std::vector<record_change>& aWishes);
  void AddOrphans(const membership_view& aView,
                  steady_time aNow,
                  std::vector<record_change>& aWishes);

public:
  membership(membership_config aConfig, steady_time aNow)
    : mConfig(std::move(aConfig))
    , mStartedAt(aNow)
  {
  }

  std::vector<record_change> ProposedChanges(
    const std::vector<connected_daemon>& aHeard,
    const membership_view& aView,
    steady_time aNow);
};

/** The hosts that take callers, those of the named failure domain first. */
std::vector<entry_host_record>
ServingHosts(std::vector<entry_host_record> aHosts,
             const failure_domain_id& aNearby);

}
