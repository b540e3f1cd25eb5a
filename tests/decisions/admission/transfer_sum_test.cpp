#include "decisions/admission/transfer_sum.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

}

TEST_GROUP(transfer_sum)
{
  transfer_sum mSum{ 100 };
};

TEST(transfer_sum, TheLargestIsGivenUpNotTheNewest)
{
  transfer_id large = mSum.Begin();
  transfer_id small = mSum.Begin();
  CHECK(!mSum.Grow(large, 80));
  CHECK(!mSum.Grow(small, 20));
  CHECK(mSum.Grow(small, 21) == large);
  LONGS_EQUAL(21, mSum.Bytes());
}

TEST(transfer_sum, OneThatIsCompleteCountsButIsNotGivenUp)
{
  transfer_id complete = mSum.Begin();
  transfer_id growing = mSum.Begin();
  mSum.Grow(complete, 90);
  mSum.Complete(complete);
  CHECK(mSum.Grow(growing, 11) == growing);
  LONGS_EQUAL(90, mSum.Bytes());
  mSum.Release(complete);
  LONGS_EQUAL(0, mSum.Bytes());
}

TEST(transfer_sum, OneThatWasGivenUpIsForgotten)
{
  transfer_id first = mSum.Begin();
  CHECK(mSum.Grow(first, 101) == first);
  CHECK(!mSum.Grow(first, 200));
  mSum.Complete(first);
  mSum.Release(first);
  LONGS_EQUAL(0, mSum.Bytes());
}
