#include "tests/drivers/stored_group.h"

#include <cstdlib>
#include <iostream>

#include <CppUTest/TestHarness.h>

namespace {

using namespace test;

/** Series in each run of the tests; more by hand, with STORED_GROUP_SERIES and
 * STORED_GROUP_SEED, the first one. */
constexpr std::uint64_t kSeries = 60;
constexpr int kEventsForEachSeries = 12;
constexpr milliseconds kCatchUp{ 4000 };

std::uint64_t
NumberFrom(const char* aVariable, std::uint64_t aDefault)
{
  const char* text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

/** Draws what happens to a group and its disks. */
class drawn_series
{
  stored_group mGroup;

  std::size_t PickMember() { return mGroup.Pick(mGroup.Count()); }
  int PickOperations() { return static_cast<int>(1 + mGroup.Pick(6)); }
  void RunUpTo(std::uint64_t aMs)
  {
    mGroup.RunFor(milliseconds(mGroup.Pick(aMs)));
  }

  void ProposeSome()
  {
    std::uint64_t count = mGroup.Pick(6);
    for (std::uint64_t number = 0; number < count; ++number) {
      mGroup.Propose();
      RunUpTo(40);
    }
  }

  void StartAll()
  {
    std::size_t first = PickMember();
    for (std::size_t step = 0; step < mGroup.Count(); ++step) {
      mGroup.Start((first + step) % mGroup.Count());
      RunUpTo(30);
    }
  }

  /** Ends all processes, each after a few operations or at once. */
  void EndAll(bool aLosesPower)
  {
    for (std::size_t position = 0; position < mGroup.Count(); ++position) {
      if (mGroup.Pick(2) == 0) {
        mGroup.EndSoon(position, PickOperations());
      }
    }
    mGroup.Propose();
    RunUpTo(60);
    for (std::size_t position = 0; position < mGroup.Count(); ++position) {
      if (aLosesPower) {
        mGroup.LosePower(position);
      } else {
        mGroup.Kill(position);
      }
    }
  }

  void EndOne(bool aLosesPower)
  {
    std::size_t position = PickMember();
    mGroup.EndSoon(position, PickOperations());
    ProposeSome();
    if (aLosesPower) {
      mGroup.LosePower(position);
    } else {
      mGroup.Kill(position);
    }
    // The next process may end while it starts, too.
    mGroup.EndSoon(position, PickOperations());
    mGroup.Start(position);
    mGroup.EndSoon(position, -1);
    mGroup.Start(position);
  }

  /** Loses a disk beside the power of all others, shortly after a change was
   * sent. */
  void LoseDiskAndPower()
  {
    mGroup.RunFor(kCatchUp);
    mGroup.Propose();
    mGroup.RunFor(milliseconds(5 + mGroup.Pick(395)));
    std::size_t lost = PickMember();
    for (std::size_t position = 0; position < mGroup.Count(); ++position) {
      if (position == lost) {
        mGroup.LoseDisk(position);
      } else {
        mGroup.LosePower(position);
      }
    }
    StartAll();
    mGroup.RunFor(kCatchUp);
  }

  void FillDisk()
  {
    std::size_t position = PickMember();
    mGroup.SetDiskFull(position, true);
    ProposeSome();
    if (mGroup.Pick(3) == 0) {
      mGroup.LosePower(position);
    }
    mGroup.SetDiskFull(position, false);
    mGroup.Start(position);
  }

public:
  drawn_series(std::uint64_t aSeed, int aMembers)
    : mGroup(aSeed, aMembers)
  {
    mGroup.RunFor(milliseconds(1500));
  }

  stored_group& Group() { return mGroup; }

  void Disrupt()
  {
    ProposeSome();
    switch (mGroup.Pick(8)) {
      case 0:
        EndOne(false);
        break;
      case 1:
        EndOne(true);
        break;
      case 2:
      case 3:
        EndAll(false);
        break;
      case 4:
        EndAll(true);
        break;
      case 5:
        LoseDiskAndPower();
        break;
      case 6:
        FillDisk();
        break;
      default:
        mGroup.Compact(PickMember());
        break;
    }
    StartAll();
    RunUpTo(1500);
  }

  /** All run in calm again. */
  void Heal()
  {
    StartAll();
    mGroup.RunFor(kCatchUp);
    mGroup.Propose();
    mGroup.RunFor(milliseconds(1500));
  }
};

}

TEST_GROUP(stored_group){
  static void PlaySeries(int aMembers, std::uint64_t aSeries){
    std::uint64_t first = NumberFrom("STORED_GROUP_SEED", 1);
std::uint64_t series = NumberFrom("STORED_GROUP_SERIES", aSeries);
int starts = 0;
for (std::uint64_t seed = first; seed < first + series; ++seed) {
  drawn_series drawn(seed, aMembers);
  std::string text = "seed " + std::to_string(seed) + ": ";
  for (int event = 0; event < kEventsForEachSeries; ++event) {
    drawn.Disrupt();
    text += "event " + std::to_string(event) + " ";
    STRCMP_EQUAL_TEXT("", drawn.Group().Violation().c_str(), text.c_str());
  }
  std::size_t before = drawn.Group().CommittedCount();
  drawn.Heal();
  STRCMP_EQUAL_TEXT("", drawn.Group().Violation().c_str(), text.c_str());
  CHECK_TRUE_TEXT(drawn.Group().CommittedCount() > before, text.c_str());
  CHECK_TRUE_TEXT(drawn.Group().IsWhole(), text.c_str());
  starts += drawn.Group().Starts();
}
std::cout << series << " series of " << aMembers << " members, " << starts
          << " starts\n";
}
}
;

TEST(stored_group, FiveMembersStartFromEachStateAndLoseNothing)
{
  PlaySeries(5, kSeries);
}

TEST(stored_group, NineMembersStartFromEachStateAndLoseNothing)
{
  PlaySeries(9, kSeries / 4);
}
