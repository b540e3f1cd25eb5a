#include "decisions/admission/admission.h"

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

TEST(admission, AFloodOfOneTeamDoesNotStarveAnother)
{
  admission control(4);
  ticket_number ticket = 0;
  for (int count = 0; count < 4; ++count) {
    CHECK(control.Submit(Request("flood", ++ticket, 100), kNow).mVerdict ==
          admission_verdict::Admitted);
  }
  for (int count = 0; count < 50; ++count) {
    control.Submit(Request("flood", ++ticket, 100), kNow);
  }
  CHECK(control.Submit(Request("quiet", 1000, 10), kNow).mVerdict ==
        admission_verdict::Queued);
  // The capacity that is freed next goes to the quiet team.
  auto released = control.Release(team_id{ "flood" }, microseconds(10), kNow);
  LONGS_EQUAL(1, released.size());
  LONGS_EQUAL(1000, released[0].mTicket);
}

TEST(admission, ATeamStaysWithinItsOwnLimit)
{
  admission control(100);
  for (ticket_number ticket = 1; ticket <= 3; ++ticket) {
    CHECK(control.Submit(Request("team", ticket, 3), kNow).mVerdict ==
          admission_verdict::Admitted);
  }
  for (ticket_number ticket = 4; ticket <= 6; ++ticket) {
    CHECK(control.Submit(Request("team", ticket, 3), kNow).mVerdict ==
          admission_verdict::Queued);
  }
  auto refused = control.Submit(Request("team", 7, 3), kNow);
  CHECK(refused.mVerdict == admission_verdict::Refused);
  CHECK(refused.mReason == refusal_reason::TeamLimit);
  CHECK(refused.mRetryAfter > milliseconds(0));
}

TEST(admission, RefusesARequestThatCannotMeetItsDeadline)
{
  admission control(1);
  control.Submit(Request("team", 1, 10), kNow);
  control.Release(team_id{ "team" }, std::chrono::seconds(2), kNow);
  control.Submit(Request("team", 2, 10), kNow);
  auto late = control.Submit(Request("team", 3, 10), kNow);
  CHECK(late.mVerdict == admission_verdict::Refused);
}

TEST(admission, AQueuedRequestPastItsDeadlineIsNotStarted)
{
  admission control(1);
  control.Submit(Request("team", 1, 10), kNow);
  control.Submit(Request("team", 2, 10), kNow);
  auto released = control.Release(
    team_id{ "team" }, microseconds(10), kNow + milliseconds(1001));
  LONGS_EQUAL(1, released.size());
  CHECK(released[0].mResult.mReason == refusal_reason::DeadlinePassed);
  LONGS_EQUAL(0, control.Running());
}

TEST(admission, AWithdrawnRequestIsNotStartedLater)
{
  admission control(1);
  control.Submit(Request("team", 1, 10), kNow);
  control.Submit(Request("team", 2, 10), kNow);
  CHECK(control.Withdraw(team_id{ "team" }, 2));
  CHECK(!control.Withdraw(team_id{ "team" }, 2));
  CHECK(control.Release(team_id{ "team" }, microseconds(10), kNow).empty());
}
