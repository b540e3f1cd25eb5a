#include "decisions/admission.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

admission_request
Request(const std::string& aTeam, ticket_number aTicket, std::uint32_t aLimit)
{
  return { aTicket, team_id{ aTeam }, aLimit, kNow + milliseconds(1000) };
}

}

TEST_GROUP(admission){};

TEST(admission, OneTeamsFloodDoesNotTurnAnothersRequestsAway)
{
  admission gate(4);
  ticket_number ticket = 0;
  for (int count = 0; count < 4; ++count) {
    CHECK(gate.Submit(Request("flood", ++ticket, 100), kNow).mVerdict ==
          admission_verdict::Admitted);
  }
  for (int count = 0; count < 50; ++count) {
    gate.Submit(Request("flood", ++ticket, 100), kNow);
  }
  CHECK(gate.Submit(Request("quiet", 1000, 10), kNow).mVerdict ==
        admission_verdict::Queued);
  // The next place that comes free is the quiet team's.
  auto released = gate.Release(team_id{ "flood" }, microseconds(10), kNow);
  LONGS_EQUAL(1, released.size());
  LONGS_EQUAL(1000, released[0].mTicket);
}

TEST(admission, ATeamStaysWithinItsOwnLimit)
{
  admission gate(100);
  for (ticket_number ticket = 1; ticket <= 3; ++ticket) {
    CHECK(gate.Submit(Request("team", ticket, 3), kNow).mVerdict ==
          admission_verdict::Admitted);
  }
  for (ticket_number ticket = 4; ticket <= 6; ++ticket) {
    CHECK(gate.Submit(Request("team", ticket, 3), kNow).mVerdict ==
          admission_verdict::Queued);
  }
  auto refused = gate.Submit(Request("team", 7, 3), kNow);
  CHECK(refused.mVerdict == admission_verdict::Refused);
  CHECK(refused.mReason == refusal_reason::TeamLimit);
  CHECK(refused.mRetryAfter > milliseconds(0));
}

TEST(admission, ARequestThatWouldComeTooLateIsRefusedAtOnce)
{
  admission gate(1);
  gate.Submit(Request("team", 1, 10), kNow);
  gate.Release(team_id{ "team" }, std::chrono::seconds(2), kNow);
  gate.Submit(Request("team", 2, 10), kNow);
  auto late = gate.Submit(Request("team", 3, 10), kNow);
  CHECK(late.mVerdict == admission_verdict::Refused);
}

TEST(admission, AQueuedRequestPastItsDeadlineTakesNoPlace)
{
  admission gate(1);
  gate.Submit(Request("team", 1, 10), kNow);
  gate.Submit(Request("team", 2, 10), kNow);
  auto released = gate.Release(
    team_id{ "team" }, microseconds(10), kNow + milliseconds(1001));
  LONGS_EQUAL(1, released.size());
  CHECK(released[0].mAnswer.mReason == refusal_reason::DeadlinePassed);
  LONGS_EQUAL(0, gate.Running());
}

TEST(admission, AWithdrawnRequestIsNotStartedLater)
{
  admission gate(1);
  gate.Submit(Request("team", 1, 10), kNow);
  gate.Submit(Request("team", 2, 10), kNow);
  CHECK(gate.Withdraw(team_id{ "team" }, 2));
  CHECK(!gate.Withdraw(team_id{ "team" }, 2));
  CHECK(gate.Release(team_id{ "team" }, microseconds(10), kNow).empty());
}
