#include "decisions/admission/burn.h"
#include "decisions/admission/refusal.h"
#include "decisions/group/membership.h"
#include "decisions/routing/team_policy.h"
#include "decisions/state/announcement.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

refusal
Refusal(std::uint64_t aNumber)
{
  refusal entry;
  entry.mNumber = aNumber;
  entry.mId = "e1-5-" + std::to_string(aNumber);
  entry.mAt = static_cast<wall_ms>(aNumber);
  return entry;
}

}

TEST_GROUP(merged_refusals){};

TEST(merged_refusals, MergesTheRefusalsOfDiskHostsAndReportsGaps)
{
  refusal_batch one{
    host_id{ "e1" }, 5, { Refusal(1), Refusal(2), Refusal(5) }, 5
  };
  refusal_batch other{ host_id{ "e1" }, 5, { Refusal(2), Refusal(3) }, 7 };
  auto merged = MergeRefusals({ one, other });
  LONGS_EQUAL(4, merged.mRefusals.size());
  LONGS_EQUAL(2, merged.mGaps.size());
  LONGS_EQUAL(4, merged.mGaps[0].mFirst);
  LONGS_EQUAL(4, merged.mGaps[0].mLast);
  LONGS_EQUAL(6, merged.mGaps[1].mFirst);
  LONGS_EQUAL(7, merged.mGaps[1].mLast);
}

TEST_GROUP(burn){};

TEST(burn, CountsEachWindowAndDropsMinutesOlderThanThreeDays)
{
  burn_history history;
  wall_ms now = 100LL * 24 * 3'600'000;
  history.Add(objective::Latency, true, now - 2LL * 24 * 3'600'000);
  history.Add(objective::Latency, true, now - 30LL * 60'000);
  history.Add(objective::Latency, false, now);
  auto count = [&](burn_window aWindow) {
    return history.Count(objective::Latency, aWindow, now);
  };
  LONGS_EQUAL(1, count(burn_window::FiveMinutes).mTotal);
  LONGS_EQUAL(2, count(burn_window::OneHour).mTotal);
  LONGS_EQUAL(3, count(burn_window::ThreeDays).mTotal);
  LONGS_EQUAL(2, count(burn_window::ThreeDays).mBad);
  history.Add(objective::Latency, false, now + 2LL * 24 * 3'600'000);
  LONGS_EQUAL(now / 60'000 - 30, history.Minutes().front().mMinute);
}

TEST(burn, ARateOfOneUsesUpTheBudgetAtTheWindowsEnd)
{
  DOUBLES_EQUAL(1.0, BurnRate({ 1000, 10 }, 0.99), 1e-9);
  DOUBLES_EQUAL(0.0, BudgetLeft({ 1000, 10 }, 0.99), 1e-9);
  DOUBLES_EQUAL(0.0, BurnRate({ 0, 0 }, 0.99), 1e-9);
}

TEST_GROUP(team_policy){};

TEST(team_policy, ExpandsParametersAndReportsErrors)
{
  template_record templateEntry;
  templateEntry.mFields = { { "services", "b, a,a" },
                            { "wait_ms", "${wait}" },
                            { "minimum_coverage", "0.${cover}" } };
  templateEntry.mDefaults = { { "cover", "9" } };
  team_record team;
  team.mParameters = { { "wait", "250" } };
  auto policy = ExpandTemplate(templateEntry, team);
  CHECK(policy.has_value());
  LONGS_EQUAL(2, policy.value().mServices.size());
  LONGS_EQUAL(250, policy.value().mMaxWait.count());
  DOUBLES_EQUAL(0.9, policy.value().mMinimumCoverage, 1e-9);
  team.mParameters = {};
  CHECK(ExpandTemplate(templateEntry, team).error().mCode ==
        policy_error::MissingParameter);
  team.mParameters = { { "wait", "250" }, { "odd", "1" } };
  CHECK(ExpandTemplate(templateEntry, team).error().mCode ==
        policy_error::UnknownParameter);
  team.mParameters = { { "wait", "nan" } };
  CHECK(ExpandTemplate(templateEntry, team).error().mCode ==
        policy_error::BadValue);
  templateEntry.mFields["colour"] = "red";
  CHECK(CheckTemplate(templateEntry).error().mCode ==
        policy_error::UnknownField);
}

TEST_GROUP(announcement){};

TEST(announcement, NamesTheFieldThatIsOutOfRange)
{
  server_record record;
  record.mServer.mValue = "s";
  record.mService.mValue = "service";
  record.mFailureDomain.mValue = "a";
  record.mAddress = "10.0.0.1:80";
  record.mIncarnation = 1;
  record.mSlots = 2;
  record.mConnections = 10;
  record.mColdSlots = 1;
  CHECK(CheckAnnouncement(record).has_value());
  record.mColdSlots = 3;
  CHECK(CheckAnnouncement(record).error().mDetail.find("cold_slots") !=
        std::string::npos);
  record.mColdSlots = 1;
  record.mAddress = "server.example:80";
  CHECK(CheckAnnouncement(record).error().mCode ==
        announcement_error::BadAddress);
  record.mServer.mValue = "a b";
  CHECK(CheckAnnouncement(record).error().mCode ==
        announcement_error::InvalidName);
}

TEST_GROUP(membership)
{
  std::map<host_id, entry_host_record> mHosts;
  std::map<server_id, server_record> mServers;
  membership mMembership{ { host_id{ "c1" } }, kNow };

  connected_daemon Connected(steady_time aAt) const
  {
    connected_daemon daemon;
    daemon.mHost.mHost.mValue = "e1";
    daemon.mHost.mIncarnation = 3;
    daemon.mLastMessageAt = aAt;
    daemon.mHasShares = true;
    return daemon;
  }

  std::vector<record_change> ProposedChanges(
    const std::vector<connected_daemon>& aConnected,
    steady_time aAt,
    bool aIsLeader = false)
  {
    return mMembership.ProposedChanges(
      aConnected,
      membership_view{ mHosts, mServers, aIsLeader, { host_id{ "c1" } } },
      aAt);
  }
};

TEST(membership, ADaemonJoinsAndServesOnlyOnceItHasItsShares)
{
  auto changes = ProposedChanges({ Connected(kNow) }, kNow);
  auto joining = std::get<entry_host_record>(changes.at(0));
  CHECK(joining.mState == entry_host_state::Joining);
  joining.mVersion = 9;
  mHosts[joining.mHost] = joining;
  auto report = Connected(kNow);
  report.mAppliedIndex = 8;
  CHECK(ProposedChanges({ report }, kNow).empty());
  report.mAppliedIndex = 9;
  changes = ProposedChanges({ report }, kNow);
  CHECK(std::get<entry_host_record>(changes.at(0)).mState ==
        entry_host_state::Serving);
}

TEST(membership, ADaemonThatStopsReportingIsSilentAndItsServersAreGoneLater)
{
  entry_host_record host = Connected(kNow).mHost;
  host.mControlHost.mValue = "c1";
  mHosts[host.mHost] = host;
  server_record server;
  server.mServer.mValue = "s";
  server.mLeaseHolder = host.mHost;
  server.mState = server_state::Ready;
  mServers[server.mServer] = server;
  CHECK(ProposedChanges({ Connected(kNow) }, kNow + milliseconds(2900), true)
          .empty());
  auto changes =
    ProposedChanges({ Connected(kNow) }, kNow + milliseconds(3100), true);
  CHECK(std::get<entry_host_record>(changes.at(0)).mState ==
        entry_host_state::Silent);
  mHosts[host.mHost].mState = entry_host_state::Silent;
  CHECK(ProposedChanges({}, kNow + milliseconds(4000), true).empty());
  CHECK(ProposedChanges({}, kNow + milliseconds(9000), true).empty());
  changes = ProposedChanges({}, kNow + milliseconds(10'100), true);
  CHECK(std::get<server_record>(changes.at(0)).mState == server_state::Gone);
}

TEST(membership, AnOrphanedServerIsProposedAgainUntilItIsRecorded)
{
  server_record server;
  server.mServer.mValue = "s";
  server.mLeaseHolder.mValue = "c2";
  server.mState = server_state::Ready;
  mServers[server.mServer] = server;
  CHECK(ProposedChanges({}, kNow, true).empty());
  LONGS_EQUAL(1, ProposedChanges({}, kNow + milliseconds(6100), true).size());
  // The proposal was lost.
  LONGS_EQUAL(1, ProposedChanges({}, kNow + milliseconds(6350), true).size());
  mServers[server.mServer].mState = server_state::Gone;
  CHECK(ProposedChanges({}, kNow + milliseconds(6600), true).empty());
  // A server that is announced again has the whole time again.
  mServers[server.mServer].mState = server_state::Ready;
  CHECK(ProposedChanges({}, kNow + milliseconds(6850), true).empty());
}

TEST(membership, ADaemonWhoseStreamJustClosedIsNotSilentYet)
{
  entry_host_record host = Connected(kNow).mHost;
  host.mControlHost.mValue = "c1";
  mHosts[host.mHost] = host;
  steady_time later = kNow + milliseconds(60'000);
  CHECK(ProposedChanges({ Connected(later) }, later).empty());
  // It may be reconnecting to another control host.
  CHECK(ProposedChanges({}, later + milliseconds(1000)).empty());
  LONGS_EQUAL(1, ProposedChanges({}, later + milliseconds(3100)).size());
}

TEST(membership, TheLeaderReportsDaemonsOfALostControlHostAsSilent)
{
  entry_host_record host = Connected(kNow).mHost;
  host.mControlHost.mValue = "c2";
  mHosts[host.mHost] = host;
  CHECK(ProposedChanges({}, kNow, true).empty());
  CHECK(ProposedChanges({}, kNow + milliseconds(3100), false).empty());
  CHECK(ProposedChanges({}, kNow + milliseconds(3200), true).empty());
  LONGS_EQUAL(1, ProposedChanges({}, kNow + milliseconds(6300), true).size());
}
