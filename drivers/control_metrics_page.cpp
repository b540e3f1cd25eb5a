#include "drivers/control_metrics_page.h"

#include "drivers/metrics_text.h"

namespace hibiscusspool {

namespace {

void
WriteStrength(std::ostringstream& aPage, const raft_strength& aStrength)
{
  WriteMetric(aPage,
              metric_type::Gauge,
              "control_voters",
              "Control hosts that vote.",
              aStrength.mVoters);
  WriteMetric(aPage,
              metric_type::Gauge,
              "control_reachable_voters",
              "Voters that answer the leader, including itself.",
              aStrength.mReachableVoters);
  WriteMetric(aPage,
              metric_type::Gauge,
              "control_spare_voters",
              "Voters that can be lost now without losing the majority.",
              aStrength.Spare());
  WriteMetric(aPage,
              metric_type::Gauge,
              "control_learners",
              "Control hosts that have no vote yet.",
              aStrength.mLearners);
}

}

std::string
MakeControlMetricsPage(const control_metrics_source& aSource)
{
  const control_group_status& group = aSource.mGroup;
  // While the disk is stalled, the group's thread waits and its view is old.
  bool isLeading = group.mRole == raft_role::Leader &&
                   group.mContact != group_contact::Stalled;
  std::ostringstream page;
  WriteMetric(page,
              metric_type::Gauge,
              "control_leading",
              "1 if this host leads the control hosts.",
              isLeading ? 1 : 0);
  WriteMetric(page,
              metric_type::Gauge,
              "control_in_touch",
              "1 if this host can confirm anything.",
              group.mContact == group_contact::InTouch ? 1 : 0);
  if (isLeading) {
    WriteStrength(page, group.mStrength);
  }
  WriteMetric(page,
              metric_type::Gauge,
              "control_term",
              "Term of the control hosts' log that this host knows.",
              group.mTerm);
  WriteMetric(page,
              metric_type::Gauge,
              "control_commit_index",
              "Log index up to which this host knows entries as committed.",
              group.mCommit);
  WriteMetric(page,
              metric_type::Gauge,
              "control_watch_streams",
              "Streams of daemons that are connected to this host.",
              aSource.mWatchStreams);
  WriteMetric(page,
              metric_type::Gauge,
              "control_damaged_log_kept",
              "1 while a damaged log is kept beside this host's current one.",
              aSource.mHasDamagedLog ? 1 : 0);
  auto countOf = [&](rollout_state aState) {
    auto found = aSource.mRollouts.find(aState);
    return found == aSource.mRollouts.end() ? 0 : found->second;
  };
  WriteMetric(page,
              metric_type::Gauge,
              "control_rollouts_running",
              "Services with a rollout in progress.",
              countOf(rollout_state::Running) +
                countOf(rollout_state::Completing));
  WriteMetric(page,
              metric_type::Gauge,
              "control_rollouts_completed",
              "Services whose latest rollout was completed.",
              countOf(rollout_state::Completed));
  WriteMetric(page,
              metric_type::Gauge,
              "control_rollouts_rolled_back",
              "Services whose latest rollout was rolled back.",
              countOf(rollout_state::RolledBack));
  WriteTaskFailures(page, aSource.mTaskFailures);
  return page.str();
}

}
