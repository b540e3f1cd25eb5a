#include "drivers/synced_file.h"
#include "tests/fuzz/fuzz_input.h"

#include <filesystem>

#include <CppUTest/TestHarness.h>

TEST_GROUP(corpus){};

TEST(corpus, EveryKeptInputIsTakenWithoutHarm)
{
  std::size_t count = 0;
  for (const auto& file : std::filesystem::directory_iterator(FUZZ_CORPUS)) {
    auto bytes = hibiscusspool::ReadWholeFile(file.path());
    fuzz::TestOneInput(bytes.value());
    ++count;
  }
  CHECK(count > 5);
}
