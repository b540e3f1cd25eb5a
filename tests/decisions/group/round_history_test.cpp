#include "decisions/group/round_history.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

}

TEST_GROUP(round_history){};

TEST(round_history, KnowsWhenItsRoundsBegan)
{
  round_history history;
  history.OnRound({ 3, 1 }, kNow);
  history.OnRound({ 3, 1 }, kNow + milliseconds(50));
  history.OnRound({ 3, 2 }, kNow + milliseconds(100));
  CHECK(history.AgeOf({ 3, 1 }, kNow + milliseconds(150)) == milliseconds(150));
  CHECK(history.AgeOf({ 3, 2 }, kNow + milliseconds(150)) == milliseconds(50));
}

TEST(round_history, KnowsNoRoundsOfOtherLeadersNorVeryOldOnes)
{
  round_history history;
  for (std::uint64_t round = 1; round <= round_history::kMaxRounds + 1;
       ++round) {
    history.OnRound({ 3, round }, kNow);
  }
  CHECK(!history.AgeOf({ 3, 1 }, kNow));
  CHECK(!history.AgeOf({ 2, 200 }, kNow));
  CHECK(history.AgeOf({ 3, 200 }, kNow).has_value());
}
