#include "decisions/state/control_state.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

template_record
Template(const std::string& aName, const std::string& aWait = "500")
{
  template_record record;
  record.mTemplate.mValue = aName;
  record.mFields = { { "services", "a,b" }, { "wait_ms", aWait } };
  return record;
}

server_record
Server(const std::string& aName, incarnation_number aIncarnation)
{
  server_record record;
  record.mServer.mValue = aName;
  record.mIncarnation = aIncarnation;
  record.mService.mValue = "s";
  record.mAddress = "10.0.0.1:" + std::to_string(aName.size());
  record.mLeaseHolder.mValue = "e1";
  record.mState = server_state::Ready;
  return record;
}

claim_record
Claim(const std::string& aKey, const std::string& aAttempt)
{
  claim_record record;
  record.mTeam.mValue = "team";
  record.mKey.mValue = aKey;
  record.mFingerprint.mValue = "body";
  record.mAttempt.mValue = aAttempt;
  record.mOwner.mValue = "e1";
  record.mOwnerIncarnation = 7;
  return record;
}

/** A state whose log index and time the test controls. */
struct state_fixture
{
  control_state mState;
  log_index mIndex = 0;
  wall_ms mNow = 1'000'000;

  explicit state_fixture(control_limits aLimits = {})
    : mState(aLimits)
  {
  }

  change_effects Apply(record_change aProposed,
                       std::optional<log_index> aIfVersion = std::nullopt,
                       const std::string& aChange = "")
  {
    change_command command;
    command.mChangeId.mValue = aChange;
    command.mIfVersion = aIfVersion;
    command.mProposedAt = mNow;
    command.mChanges = { std::move(aProposed) };
    return mState.Apply(++mIndex, command);
  }

  change_outcome Evaluate(record_change aProposed,
                          std::optional<log_index> aIfVersion = std::nullopt,
                          const std::string& aChange = "")
  {
    return Apply(std::move(aProposed), aIfVersion, aChange).mOutcomes.front();
  }
};

void
CheckVerdict(change_verdict aExpected, const change_outcome& aOutcome)
{
  STRCMP_EQUAL(std::string(NameOf(aExpected)).c_str(),
               std::string(NameOf(aOutcome.mVerdict)).c_str());
}

}

TEST_GROUP(control_state)
{
  state_fixture mFixture;
};

TEST(control_state, OfTwoChangesWithOneVersionTheFirstIsAccepted)
{
  auto first = mFixture.Evaluate(Template("t"), 0);
  CheckVerdict(change_verdict::Accepted, first);
  CheckVerdict(change_verdict::Conflict, mFixture.Evaluate(Template("t"), 0));
  CheckVerdict(change_verdict::Accepted,
               mFixture.Evaluate(Template("t", "100"), first.mVersion));
  auto late = mFixture.Evaluate(Template("t", "200"), first.mVersion);
  CheckVerdict(change_verdict::Conflict, late);
  LONGS_EQUAL(3, late.mVersion);
}

TEST(control_state, AResentChangeGetsItsOriginalOutcome)
{
  auto first = mFixture.Evaluate(Template("t"), 0, "id");
  mFixture.Evaluate(Template("t", "100"));
  CHECK(first == mFixture.Evaluate(Template("t"), 0, "id"));
  CheckVerdict(change_verdict::KeyReused,
               mFixture.Evaluate(Template("u"), 0, "id"));
}

TEST(control_state, ATemplateThatATeamCannotExpandIsRefused)
{
  mFixture.Evaluate(Template("t", "${wait}"));
  team_record team{
    team_id{ "team" }, 0, template_id{ "t" }, { { "wait", "300" } }
  };
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(team));
  auto other = Template("t", "${other}");
  CheckVerdict(change_verdict::Invalid, mFixture.Evaluate(other));
  CheckVerdict(change_verdict::InUse,
               mFixture.Evaluate(record_removal{ record_kind::Template, "t" }));
  team.mParameters["wait"] = "99999999";
  CheckVerdict(change_verdict::Invalid, mFixture.Evaluate(team));
}

TEST(control_state, ADelayedAnnouncementDoesNotUndoALaterOne)
{
  auto ready = mFixture.Evaluate(Server("x", 1), 0);
  auto draining = Server("x", 1);
  draining.mState = server_state::Draining;
  draining.mLeaseHolder.mValue = "e2";
  CheckVerdict(change_verdict::Accepted,
               mFixture.Evaluate(draining, ready.mVersion));
  // The transition of the first lease holder arrives late.
  CheckVerdict(change_verdict::Conflict,
               mFixture.Evaluate(Server("x", 1), ready.mVersion));
  // A former lease holder can't report the server as gone either.
  auto gone = Server("x", 1);
  gone.mState = server_state::Gone;
  CheckVerdict(change_verdict::Stale, mFixture.Evaluate(gone));
}

TEST(control_state, ALaterServerTakesTheAddressOfOneThatEnded)
{
  auto first = Server("x", 100);
  first.mAddress = "10.0.0.1:80";
  first.mStartedAt = 100;
  auto later = Server("y", 200);
  later.mAddress = first.mAddress;
  later.mStartedAt = 200;
  mFixture.Evaluate(first);
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(later));
  CHECK(mFixture.mState.Servers().at(server_id{ "x" }).mState ==
        server_state::Gone);
  // A delayed announcement of the ended server does not get it back.
  CheckVerdict(change_verdict::InUse, mFixture.Evaluate(first));
  CHECK(mFixture.mState.Servers().at(server_id{ "y" }).mState ==
        server_state::Ready);
}

TEST(control_state, AServerThatLeftIsNotRevivedByALateAnnouncement)
{
  mFixture.Evaluate(Server("x", 1));
  auto left = Server("x", 1);
  left.mState = server_state::Gone;
  left.mHasLeft = true;
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(left));
  CheckVerdict(change_verdict::Stale, mFixture.Evaluate(Server("x", 1)));
  // A new incarnation is accepted.
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(Server("x", 2)));
}

TEST(control_state, SequenceNumbersOrderAnnouncementsAcrossLeaseHolders)
{
  auto draining = Server("x", 1);
  draining.mState = server_state::Draining;
  draining.mSequence = 9;
  mFixture.Evaluate(draining);
  auto late = Server("x", 1);
  late.mSequence = 8;
  late.mLeaseHolder.mValue = "e2";
  CheckVerdict(change_verdict::Stale, mFixture.Evaluate(late));
}

TEST(control_state, IncarnationsOfAHostHaveNoOrder)
{
  entry_host_record host;
  host.mHost.mValue = "e1";
  host.mIncarnation = 900;
  host.mState = entry_host_state::Joining;
  mFixture.Evaluate(host);
  // The next incarnation may have a lower number: it is drawn at random, and a
  // number from a clock could go back when the clock is set back.
  host.mIncarnation = 5;
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(host));
  host.mIncarnation = 900;
  host.mState = entry_host_state::Silent;
  CheckVerdict(change_verdict::Stale, mFixture.Evaluate(host));
}

TEST(control_state, AGoneServerIsKeptForItsRetentionTime)
{
  mFixture.Evaluate(Server("x", 1));
  auto gone = Server("x", 1);
  gone.mState = server_state::Gone;
  auto effects = mFixture.Apply(gone);
  LONGS_EQUAL(1, effects.mRecordChanges.size());
  CHECK(std::get<server_record>(effects.mRecordChanges[0]).mState ==
        server_state::Gone);
  // Its address is available to another server immediately.
  auto other = Server("y", 1);
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(other));
  mFixture.mNow += 61'000;
  effects = mFixture.Apply(Template("t"));
  CHECK(std::holds_alternative<record_removal>(effects.mRecordChanges[0]));
  LONGS_EQUAL(1, mFixture.mState.ServerCount());
}

TEST(control_state, AClaimIsGrantedOnceAndThenReturnsItsOutcome)
{
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(Claim("k", "one")));
  // A resent proposal of the same attempt holds the same claim.
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(Claim("k", "one")));
  CheckVerdict(change_verdict::InProgress,
               mFixture.Evaluate(Claim("k", "two")));
  auto done = Claim("k", "one");
  done.mState = claim_state::Done;
  done.mOutcome = "work order 7";
  auto effects = mFixture.Apply(done);
  LONGS_EQUAL(1, effects.mSettledClaims.size());
  auto resent = mFixture.Evaluate(Claim("k", "two"));
  CheckVerdict(change_verdict::AlreadyDone, resent);
  STRCMP_EQUAL("work order 7", resent.mRecordedOutcome.c_str());
  auto other = Claim("k", "three");
  other.mFingerprint.mValue = "another body";
  CheckVerdict(change_verdict::KeyReused, mFixture.Evaluate(other));
}

TEST(control_state, AClaimOfALostOwnerIsUnknownUntilItsOutcomeArrives)
{
  entry_host_record owner;
  owner.mHost.mValue = "e1";
  owner.mIncarnation = 7;
  mFixture.Evaluate(owner);
  mFixture.Evaluate(Claim("k", "one"));
  owner.mState = entry_host_state::Silent;
  mFixture.Evaluate(owner);
  CheckVerdict(change_verdict::AlreadyUnknown,
               mFixture.Evaluate(Claim("k", "two")));
  // The owner itself may not start its attempt any more.
  CheckVerdict(change_verdict::AlreadyUnknown,
               mFixture.Evaluate(Claim("k", "one")));
  auto done = Claim("k", "one");
  done.mState = claim_state::Done;
  mFixture.Evaluate(done);
  CheckVerdict(change_verdict::AlreadyDone,
               mFixture.Evaluate(Claim("k", "two")));
}

TEST(control_state, ADelayedProposalDoesNotReacquireAReleasedClaim)
{
  auto released = Claim("k", "one");
  released.mState = claim_state::Released;
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(released));
  CheckVerdict(change_verdict::Stale, mFixture.Evaluate(Claim("k", "one")));
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(Claim("k", "two")));
}

TEST(control_state, AFullClaimsTableRefusesNewClaimsAndKeepsActiveOnes)
{
  control_limits limits;
  limits.mMaxClaims = 2;
  state_fixture fixture(limits);
  fixture.Evaluate(Claim("a", "1"));
  auto settled = Claim("b", "2");
  fixture.Evaluate(settled);
  settled.mState = claim_state::Done;
  fixture.Evaluate(settled);
  CheckVerdict(change_verdict::TableFull, fixture.Evaluate(Claim("c", "3")));
  fixture.mNow += std::chrono::milliseconds(std::chrono::hours(49)).count();
  // The settled claim is past its retention; an active claim never expires.
  CheckVerdict(change_verdict::Accepted, fixture.Evaluate(Claim("c", "3")));
  CheckVerdict(change_verdict::InProgress, fixture.Evaluate(Claim("a", "4")));
}

TEST(control_state, TwoCrashesOrTrialsQuarantineARequest)
{
  quarantine_record crash;
  crash.mFingerprint.mValue = "f";
  crash.mCrashedServers = { server_id{ "s1" } };
  quarantine_record trial;
  trial.mFingerprint.mValue = "f";
  trial.mTrials = { "t1" };
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(crash));
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(trial));
  trial.mTrials = { "t2" };
  CheckVerdict(change_verdict::Quarantined, mFixture.Evaluate(trial));
  CheckVerdict(
    change_verdict::Accepted,
    mFixture.Evaluate(record_removal{ record_kind::Quarantine, "f" }));
  CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(trial));
}

TEST(control_state, IncidentsThatAreApartInTimeRefuseAForwardedRequest)
{
  quarantine_record incident;
  incident.mFingerprint.mValue = "f";
  incident.mIncidents = 1;
  auto isRefused = [&] {
    for (const record_change& record : mFixture.mState.Records()) {
      const auto* found = std::get_if<quarantine_record>(&record);
      if (found != nullptr) {
        return found->IsForwardRefused();
      }
    }
    return false;
  };
  // Reports of several hosts on servers that ended at the same time.
  for (int report = 0; report < 10; ++report) {
    mFixture.mNow += 10;
    CheckVerdict(change_verdict::Accepted, mFixture.Evaluate(incident));
  }
  CHECK(!isRefused());
  mFixture.mNow += 500;
  mFixture.Evaluate(incident);
  CHECK(!isRefused());
  mFixture.mNow += 500;
  mFixture.Evaluate(incident);
  CHECK(isRefused());
  // After a while, one more run is tried, and one more incident suffices.
  mFixture.mNow += 601'000;
  mFixture.Evaluate(Server("x", 1));
  CHECK(!isRefused());
  mFixture.Evaluate(incident);
  CHECK(isRefused());
}

TEST(control_state, AnAnswerEndsTheSuspicionOfAForwardedRequest)
{
  quarantine_record incident;
  incident.mFingerprint.mValue = "f";
  incident.mIncidents = 1;
  for (int round = 0; round < 10; ++round) {
    mFixture.mNow += 1000;
    mFixture.Evaluate(incident);
    mFixture.Evaluate(record_removal{ record_kind::Quarantine, "f" });
  }
  auto records = mFixture.mState.Records();
  CHECK(std::none_of(
    records.begin(), records.end(), [](const record_change& aRecord) {
      return std::holds_alternative<quarantine_record>(aRecord);
    }));
}

TEST(control_state, AQuarantineWithoutCrashOrTrialIsRefused)
{
  quarantine_record crash;
  crash.mFingerprint.mValue = "f";
  crash.mCrashedServers = { server_id{ "s1" } };
  mFixture.Evaluate(crash);
  crash.mCrashedServers.clear();
  CheckVerdict(change_verdict::Invalid, mFixture.Evaluate(crash));
}

TEST(control_state, ASnapshotRestoresTheSameState)
{
  mFixture.Evaluate(Template("t"), std::nullopt, "c1");
  mFixture.Evaluate(Server("x", 1));
  auto gone = Server("x", 1);
  gone.mState = server_state::Gone;
  mFixture.Evaluate(gone);
  mFixture.Evaluate(Claim("k", "one"));
  const control_state& state = mFixture.mState;
  auto restored = control_state::Restore({},
                                         state.Index(),
                                         state.Time(),
                                         state.Records(),
                                         state.Claims(),
                                         state.EvaluatedChanges());
  CHECK(state.Records() == restored.Records());
  CHECK(state.Claims() == restored.Claims());
  state_fixture second;
  second.mState = restored;
  second.mIndex = mFixture.mIndex;
  second.mNow = mFixture.mNow + 61'000;
  mFixture.mNow = second.mNow;
  auto one = mFixture.Apply(Claim("k", "two"));
  auto other = second.Apply(Claim("k", "two"));
  CHECK(one.mOutcomes == other.mOutcomes);
  CHECK(one.mRecordChanges == other.mRecordChanges);
}
