#pragma once

#include "controllers/control_group.h"

#include <map>
#include <string>

namespace hibiscusspool {

/** The values of a control host's metrics page. */
struct control_metrics_source
{
  control_group_status mGroup;
  /** Streams of daemons that are connected to this host. */
  std::size_t mWatchStreams = 0;
  /** Background tasks and handlers that ended with an exception. */
  std::uint64_t mTaskFailures = 0;
  /** A damaged log is kept beside the current one. */
  bool mHasDamagedLog = false;
  /** Services by the state of their latest rollout. */
  std::map<rollout_state, std::size_t> mRollouts{};
};

/** All metrics in the Prometheus text format. Those of the members are absent
 * while the host does not lead, so that they are never taken for zeros. */
std::string
MakeControlMetricsPage(const control_metrics_source& aSource);

}
