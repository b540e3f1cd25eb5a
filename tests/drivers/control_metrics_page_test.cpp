#include "drivers/control_metrics_page.h"

#include "drivers/metrics_page.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscusspool;

namespace {

control_metrics_source
MakeSource(raft_role aRole, group_contact aContact)
{
  control_metrics_source source;
  source.mGroup.mRole = aRole;
  source.mGroup.mContact = aContact;
  source.mGroup.mTerm = 7;
  source.mGroup.mCommit = 1234;
  source.mWatchStreams = 17;
  source.mTaskFailures = 2;
  source.mHasDamagedLog = true;
  return source;
}

/** The value of a metric without labels, or "" if the page has none. */
std::string
ValueIn(const std::string& aPage, const std::string& aName)
{
  std::string start = "\nhibiscusspool_" + aName + " ";
  std::size_t found = aPage.find(start);
  if (found == std::string::npos) {
    return "";
  }
  std::size_t value = found + start.size();
  return aPage.substr(value, aPage.find('\n', value) - value);
}

}

TEST_GROUP(control_metrics_page){};

TEST(control_metrics_page, ALeaderShowsHowManyVotersCanBeLost)
{
  control_metrics_source source =
    MakeSource(raft_role::Leader, group_contact::InTouch);
  source.mGroup.mStrength = {
    .mVoters = 5, .mReachableVoters = 4, .mLearners = 2, .mQuorum = 3
  };
  source.mRollouts = { { rollout_state::Running, 2 },
                       { rollout_state::Completing, 1 },
                       { rollout_state::RolledBack, 4 } };
  std::string page = MakeControlMetricsPage(source);
  STRCMP_EQUAL(
    "# HELP hibiscusspool_control_leading 1 if this host leads the control "
    "hosts.\n"
    "# TYPE hibiscusspool_control_leading gauge\n"
    "hibiscusspool_control_leading 1\n"
    "# HELP hibiscusspool_control_in_touch 1 if this host can confirm "
    "anything.\n"
    "# TYPE hibiscusspool_control_in_touch gauge\n"
    "hibiscusspool_control_in_touch 1\n"
    "# HELP hibiscusspool_control_voters Control hosts that vote.\n"
    "# TYPE hibiscusspool_control_voters gauge\n"
    "hibiscusspool_control_voters 5\n"
    "# HELP hibiscusspool_control_reachable_voters Voters that answer the "
    "leader, including itself.\n"
    "# TYPE hibiscusspool_control_reachable_voters gauge\n"
    "hibiscusspool_control_reachable_voters 4\n"
    "# HELP hibiscusspool_control_spare_voters Voters that can be lost now "
    "without losing the majority.\n"
    "# TYPE hibiscusspool_control_spare_voters gauge\n"
    "hibiscusspool_control_spare_voters 1\n"
    "# HELP hibiscusspool_control_learners Control hosts that have no vote "
    "yet.\n"
    "# TYPE hibiscusspool_control_learners gauge\n"
    "hibiscusspool_control_learners 2\n"
    "# HELP hibiscusspool_control_term Term of the control hosts' log that "
    "this host knows.\n"
    "# TYPE hibiscusspool_control_term gauge\n"
    "hibiscusspool_control_term 7\n"
    "# HELP hibiscusspool_control_commit_index Log index up to which this "
    "host knows entries as committed.\n"
    "# TYPE hibiscusspool_control_commit_index gauge\n"
    "hibiscusspool_control_commit_index 1234\n"
    "# HELP hibiscusspool_control_watch_streams Streams of daemons that are "
    "connected to this host.\n"
    "# TYPE hibiscusspool_control_watch_streams gauge\n"
    "hibiscusspool_control_watch_streams 17\n"
    "# HELP hibiscusspool_control_damaged_log_kept 1 while a damaged log is "
    "kept beside this host's current one.\n"
    "# TYPE hibiscusspool_control_damaged_log_kept gauge\n"
    "hibiscusspool_control_damaged_log_kept 1\n"
    "# HELP hibiscusspool_control_rollouts_running Services with a rollout in "
    "progress.\n"
    "# TYPE hibiscusspool_control_rollouts_running gauge\n"
    "hibiscusspool_control_rollouts_running 3\n"
    "# HELP hibiscusspool_control_rollouts_completed Services whose latest "
    "rollout was completed.\n"
    "# TYPE hibiscusspool_control_rollouts_completed gauge\n"
    "hibiscusspool_control_rollouts_completed 0\n"
    "# HELP hibiscusspool_control_rollouts_rolled_back Services whose latest "
    "rollout was rolled back.\n"
    "# TYPE hibiscusspool_control_rollouts_rolled_back gauge\n"
    "hibiscusspool_control_rollouts_rolled_back 4\n"
    "# HELP hibiscusspool_task_failures_total Background tasks, or steps of "
    "them, that failed.\n"
    "# TYPE hibiscusspool_task_failures_total counter\n"
    "hibiscusspool_task_failures_total 2\n",
    page.c_str());
}

TEST(control_metrics_page, ALeaderWithoutAMajorityToSpareShowsNone)
{
  control_metrics_source source =
    MakeSource(raft_role::Leader, group_contact::InTouch);
  for (std::size_t reachable : { 3U, 2U, 1U }) {
    source.mGroup.mStrength = {
      .mVoters = 5, .mReachableVoters = reachable, .mLearners = 0, .mQuorum = 3
    };
    std::string page = MakeControlMetricsPage(source);
    STRCMP_EQUAL("0", ValueIn(page, "control_spare_voters").c_str());
  }
}

TEST(control_metrics_page, OnlyALeaderShowsTheMembers)
{
  struct row
  {
    raft_role mRole;
    group_contact mContact;
    const char* mLeading;
    const char* mInTouch;
  };
  const std::vector<row> rows{
    { raft_role::Follower, group_contact::InTouch, "0", "1" },
    { raft_role::Follower, group_contact::Joining, "0", "0" },
    { raft_role::Candidate, group_contact::CutOff, "0", "0" },
    { raft_role::Leader, group_contact::Stalled, "0", "0" },
  };
  for (const row& expected : rows) {
    control_metrics_source source =
      MakeSource(expected.mRole, expected.mContact);
    source.mGroup.mStrength = {
      .mVoters = 3, .mReachableVoters = 3, .mLearners = 0, .mQuorum = 2
    };
    std::string page = MakeControlMetricsPage(source);
    STRCMP_EQUAL(expected.mLeading, ValueIn(page, "control_leading").c_str());
    STRCMP_EQUAL(expected.mInTouch, ValueIn(page, "control_in_touch").c_str());
    STRCMP_EQUAL("7", ValueIn(page, "control_term").c_str());
    for (const char* name : { "control_voters",
                              "control_reachable_voters",
                              "control_spare_voters",
                              "control_learners" }) {
      STRCMP_EQUAL("", ValueIn(page, name).c_str());
    }
  }
}

TEST(control_metrics_page, AnEntryHostsPageKeepsItsValues)
{
  team_stats_controller teams;
  std::string page = MakeMetricsPage({ .mTeamStats = teams,
                                       .mBackends = {},
                                       .mIndex = 9,
                                       .mConfirmedAge = milliseconds(250),
                                       .mRunningRequests = 3,
                                       .mHostLimit = 512,
                                       .mRefusalCount = 4,
                                       .mTaskFailures = 1,
                                       .mOverload = {} });
  STRCMP_EQUAL("0.25", ValueIn(page, "confirmed_age_seconds").c_str());
  STRCMP_EQUAL("9", ValueIn(page, "catalog_index").c_str());
  STRCMP_EQUAL("3", ValueIn(page, "requests_running").c_str());
  STRCMP_EQUAL("512", ValueIn(page, "host_limit").c_str());
  STRCMP_EQUAL("4", ValueIn(page, "refusals_numbered_total").c_str());
  STRCMP_EQUAL("1", ValueIn(page, "task_failures_total").c_str());
  STRCMP_CONTAINS("# TYPE hibiscusspool_request_seconds histogram\n",
                  page.c_str());
}

TEST(control_metrics_page, AnEntryHostsPageCountsKeysByCause)
{
  team_stats_controller teams;
  std::string page = MakeMetricsPage(
    { .mTeamStats = teams, .mBackends = {}, .mKeyRefusals = { 5, 6, 7, 8 } });
  const std::string kName = "hibiscusspool_key_refusals_total";
  for (const char* line : { "{cause=\"unknown\"} 5\n",
                            "{cause=\"unconfirmed\"} 6\n",
                            "{cause=\"stale\"} 7\n",
                            "{cause=\"removed\"} 8\n" }) {
    STRCMP_CONTAINS((kName + line).c_str(), page.c_str());
  }
}
