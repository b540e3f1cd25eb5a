#include "decisions/group/log_bounds.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

constexpr std::uint64_t kMebibyte = 1 << 20;
constexpr log_limits kLimits{ 100, 32 * kMebibyte };

log_usage
Usage(std::uint64_t aMemoryBytes, std::uint64_t aDiskBytes)
{
  return { 10, aMemoryBytes, aDiskBytes, 0, true };
}

}

TEST_GROUP(log_bounds){};

TEST(log_bounds, ManyEntriesAreReplacedWhateverTheirSize)
{
  log_usage usage = Usage(0, 0);
  usage.mAppliedEntries = 99;
  CHECK_FALSE(IsCompactionDue(usage, kLimits));
  usage.mAppliedEntries = 100;
  CHECK(IsCompactionDue(usage, kLimits));
}

TEST(log_bounds, LargeEntriesAreReplacedInMemoryAndOnDisk)
{
  CHECK_FALSE(IsCompactionDue(Usage(7 * kMebibyte, 0), kLimits));
  CHECK(IsCompactionDue(Usage(8 * kMebibyte, 0), kLimits));
  CHECK(IsCompactionDue(Usage(0, 8 * kMebibyte), kLimits));
}

TEST(log_bounds, MembersThatLackEntriesGetThemUntilTheLogIsHalfFull)
{
  log_usage usage = Usage(15 * kMebibyte, 0);
  usage.mIsReplicated = false;
  CHECK_FALSE(IsCompactionDue(usage, kLimits));
  usage.mMemoryBytes = 16 * kMebibyte;
  CHECK(IsCompactionDue(usage, kLimits));
}

TEST(log_bounds, NothingIsReplacedThatIsNotApplied)
{
  log_usage usage = Usage(40 * kMebibyte, 40 * kMebibyte);
  usage.mAppliedEntries = 0;
  CHECK_FALSE(IsCompactionDue(usage, kLimits));
}

TEST(log_bounds, SmallCommandsHaveRoomThatLargeOnesLeave)
{
  CHECK(HasRoomFor(Usage(23 * kMebibyte, 0), kLimits, kMebibyte));
  CHECK_FALSE(HasRoomFor(Usage(24 * kMebibyte, 0), kLimits, kMebibyte));
  CHECK_FALSE(HasRoomFor(Usage(0, 24 * kMebibyte), kLimits, kMebibyte));
  CHECK(HasRoomFor(Usage(31 * kMebibyte, 0), kLimits, 1000));
  CHECK_FALSE(HasRoomFor(Usage(32 * kMebibyte, 0), kLimits, 1000));
}
