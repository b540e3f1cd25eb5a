#include "decisions/control_state.h"

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

/** A state with its log index and time kept by hand. */
struct driven_state
{
  control_state mState;
  log_index mIndex = 0;
  wall_ms mNow = 1'000'000;

  explicit driven_state(control_limits aLimits = {})
    : mState(aLimits)
  {
  }

  change_effects Apply(record_change aWish,
                       std::optional<log_index> aIfVersion = std::nullopt,
                       const std::string& aChange = "")
  {
    change_command command;
    command.mChangeId.mValue = aChange;
    command.mIfVersion = aIfVersion;
    command.mProposedAt = mNow;
    command.mChanges = { std::move(aWish) };
    return mState.Apply(++mIndex, command);
  }

  change_outcome Judge(record_change aWish,
                       std::optional<log_index> aIfVersion = std::nullopt,
                       const std::string& aChange = "")
  {
    return Apply(std::move(aWish), aIfVersion, aChange).mOutcomes.front();
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
  driven_state mDriven;
};

TEST(control_state, OfTwoChangesWithOneVersionTheFirstIsAccepted)
{
  auto first = mDriven.Judge(Template("t"), 0);
  CheckVerdict(change_verdict::Accepted, first);
  CheckVerdict(change_verdict::Conflict, mDriven.Judge(Template("t"), 0));
  CheckVerdict(change_verdict::Accepted,
               mDriven.Judge(Template("t", "100"), first.mVersion));
  auto late = mDriven.Judge(Template("t", "200"), first.mVersion);
  CheckVerdict(change_verdict::Conflict, late);
  LONGS_EQUAL(3, late.mVersion);
}

TEST(control_state, AResentChangeGetsItsFirstOutcomeWhateverCameSince)
{
  auto first = mDriven.Judge(Template("t"), 0, "id");
  mDriven.Judge(Template("t", "100"));
  CHECK(first == mDriven.Judge(Template("t"), 0, "id"));
  CheckVerdict(change_verdict::KeyReused,
               mDriven.Judge(Template("u"), 0, "id"));
}

TEST(control_state, ATemplateThatATeamCouldNotFillIsRefused)
{
  mDriven.Judge(Template("t", "${wait}"));
  team_record team{
    team_id{ "team" }, 0, template_id{ "t" }, { { "wait", "300" } }
  };
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(team));
  auto other = Template("t", "${other}");
  CheckVerdict(change_verdict::Invalid, mDriven.Judge(other));
  CheckVerdict(change_verdict::InUse,
               mDriven.Judge(record_removal{ record_kind::Template, "t" }));
  team.mParameters["wait"] = "99999999";
  CheckVerdict(change_verdict::Invalid, mDriven.Judge(team));
}

TEST(control_state, AnOvertakenAnnouncementDoesNotUndoTheLaterOne)
{
  auto ready = mDriven.Judge(Server("x", 1), 0);
  auto draining = Server("x", 1);
  draining.mState = server_state::Draining;
  draining.mLeaseHolder.mValue = "e2";
  CheckVerdict(change_verdict::Accepted,
               mDriven.Judge(draining, ready.mVersion));
  // The first sponsor's transition was on its way all the while.
  CheckVerdict(change_verdict::Conflict,
               mDriven.Judge(Server("x", 1), ready.mVersion));
  // And it can't declare gone what it no longer sponsors.
  auto gone = Server("x", 1);
  gone.mState = server_state::Gone;
  CheckVerdict(change_verdict::Stale, mDriven.Judge(gone));
}

TEST(control_state, ALaterServerTakesTheAddressOfOneThatEnded)
{
  auto first = Server("x", 100);
  first.mAddress = "10.0.0.1:80";
  first.mStartedAt = 100;
  auto later = Server("y", 200);
  later.mAddress = first.mAddress;
  later.mStartedAt = 200;
  mDriven.Judge(first);
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(later));
  CHECK(mDriven.mState.Servers().at(server_id{ "x" }).mState ==
        server_state::Gone);
  // An announcement of the ended one that was held up on its way.
  CheckVerdict(change_verdict::InUse, mDriven.Judge(first));
  CHECK(mDriven.mState.Servers().at(server_id{ "y" }).mState ==
        server_state::Ready);
}

TEST(control_state, AServerThatLeftIsNotRevivedByALateAnnouncement)
{
  mDriven.Judge(Server("x", 1));
  auto left = Server("x", 1);
  left.mState = server_state::Gone;
  left.mHasLeft = true;
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(left));
  CheckVerdict(change_verdict::Stale, mDriven.Judge(Server("x", 1)));
  // A new run of it is another matter.
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(Server("x", 2)));
}

TEST(control_state, AServersCountOrdersItsAnnouncementsAcrossSponsors)
{
  auto draining = Server("x", 1);
  draining.mState = server_state::Draining;
  draining.mSequence = 9;
  mDriven.Judge(draining);
  auto late = Server("x", 1);
  late.mSequence = 8;
  late.mLeaseHolder.mValue = "e2";
  CheckVerdict(change_verdict::Stale, mDriven.Judge(late));
}

TEST(control_state, RunsOfAHostAreNotOrderedByTheirNumbers)
{
  entry_host_record host;
  host.mHost.mValue = "e1";
  host.mIncarnation = 900;
  host.mState = entry_host_state::Joining;
  mDriven.Judge(host);
  // The next run drew a lower number, as after a clock that was set back.
  host.mIncarnation = 5;
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(host));
  host.mIncarnation = 900;
  host.mState = entry_host_state::Silent;
  CheckVerdict(change_verdict::Stale, mDriven.Judge(host));
}

TEST(control_state, AGoneServerIsRememberedForAWhile)
{
  mDriven.Judge(Server("x", 1));
  auto gone = Server("x", 1);
  gone.mState = server_state::Gone;
  auto effects = mDriven.Apply(gone);
  LONGS_EQUAL(1, effects.mRecordChanges.size());
  CHECK(std::get<server_record>(effects.mRecordChanges[0]).mState ==
        server_state::Gone);
  // Its address is free for another at once.
  auto other = Server("y", 1);
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(other));
  mDriven.mNow += 61'000;
  effects = mDriven.Apply(Template("t"));
  CHECK(std::holds_alternative<record_removal>(effects.mRecordChanges[0]));
  LONGS_EQUAL(1, mDriven.mState.ServerCount());
}

TEST(control_state, AClaimIsGivenOnceAndAnsweredFromItsOutcome)
{
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(Claim("k", "one")));
  // A repeated proposal of the same attempt is the same claim.
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(Claim("k", "one")));
  CheckVerdict(change_verdict::InProgress, mDriven.Judge(Claim("k", "two")));
  auto done = Claim("k", "one");
  done.mState = claim_state::Done;
  done.mOutcome = "work order 7";
  auto effects = mDriven.Apply(done);
  LONGS_EQUAL(1, effects.mSettledClaims.size());
  auto resent = mDriven.Judge(Claim("k", "two"));
  CheckVerdict(change_verdict::AlreadyDone, resent);
  STRCMP_EQUAL("work order 7", resent.mRecordedOutcome.c_str());
  auto other = Claim("k", "three");
  other.mFingerprint.mValue = "another body";
  CheckVerdict(change_verdict::KeyReused, mDriven.Judge(other));
}

TEST(control_state, AClaimWhoseOwnerIsLostIsUnknownUntilTheTruthComes)
{
  entry_host_record owner;
  owner.mHost.mValue = "e1";
  owner.mIncarnation = 7;
  mDriven.Judge(owner);
  mDriven.Judge(Claim("k", "one"));
  owner.mState = entry_host_state::Silent;
  mDriven.Judge(owner);
  CheckVerdict(change_verdict::AlreadyUnknown,
               mDriven.Judge(Claim("k", "two")));
  // The owner itself may not begin its attempt any more.
  CheckVerdict(change_verdict::AlreadyUnknown,
               mDriven.Judge(Claim("k", "one")));
  auto done = Claim("k", "one");
  done.mState = claim_state::Done;
  mDriven.Judge(done);
  CheckVerdict(change_verdict::AlreadyDone, mDriven.Judge(Claim("k", "two")));
}

TEST(control_state, AReleasedClaimIsNotTakenAgainByItsOwnLateProposal)
{
  auto released = Claim("k", "one");
  released.mState = claim_state::Released;
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(released));
  CheckVerdict(change_verdict::Stale, mDriven.Judge(Claim("k", "one")));
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(Claim("k", "two")));
}

TEST(control_state, AFullClaimsTableRefusesAndForgetsNothingThatLives)
{
  control_limits limits;
  limits.mMaxClaims = 2;
  driven_state driven(limits);
  driven.Judge(Claim("a", "1"));
  auto settled = Claim("b", "2");
  driven.Judge(settled);
  settled.mState = claim_state::Done;
  driven.Judge(settled);
  CheckVerdict(change_verdict::TableFull, driven.Judge(Claim("c", "3")));
  driven.mNow += std::chrono::milliseconds(std::chrono::hours(49)).count();
  // The settled one is past its time; the live one stays for ever.
  CheckVerdict(change_verdict::Accepted, driven.Judge(Claim("c", "3")));
  CheckVerdict(change_verdict::InProgress, driven.Judge(Claim("a", "4")));
}

TEST(control_state, TwoCrashesOrTrialsQuarantineARequest)
{
  quarantine_record crash;
  crash.mFingerprint.mValue = "f";
  crash.mCrashedServers = { server_id{ "s1" } };
  quarantine_record trial;
  trial.mFingerprint.mValue = "f";
  trial.mTrials = { "t1" };
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(crash));
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(trial));
  trial.mTrials = { "t2" };
  CheckVerdict(change_verdict::Quarantined, mDriven.Judge(trial));
  CheckVerdict(change_verdict::Accepted,
               mDriven.Judge(record_removal{ record_kind::Quarantine, "f" }));
  CheckVerdict(change_verdict::Accepted, mDriven.Judge(trial));
}

TEST(control_state, AQuarantineThatNamesNothingIsRefused)
{
  quarantine_record crash;
  crash.mFingerprint.mValue = "f";
  crash.mCrashedServers = { server_id{ "s1" } };
  mDriven.Judge(crash);
  crash.mCrashedServers.clear();
  CheckVerdict(change_verdict::Invalid, mDriven.Judge(crash));
}

TEST(control_state, ASnapshotGivesTheSameStateAgain)
{
  mDriven.Judge(Template("t"), std::nullopt, "c1");
  mDriven.Judge(Server("x", 1));
  auto gone = Server("x", 1);
  gone.mState = server_state::Gone;
  mDriven.Judge(gone);
  mDriven.Judge(Claim("k", "one"));
  const control_state& state = mDriven.mState;
  auto restored = control_state::Restore({},
                                         state.Index(),
                                         state.Time(),
                                         state.Records(),
                                         state.Claims(),
                                         state.EvaluatedChanges());
  CHECK(state.Records() == restored.Records());
  CHECK(state.Claims() == restored.Claims());
  driven_state second;
  second.mState = restored;
  second.mIndex = mDriven.mIndex;
  second.mNow = mDriven.mNow + 61'000;
  mDriven.mNow = second.mNow;
  auto one = mDriven.Apply(Claim("k", "two"));
  auto other = second.Apply(Claim("k", "two"));
  CHECK(one.mOutcomes == other.mOutcomes);
  CHECK(one.mRecordChanges == other.mRecordChanges);
}
