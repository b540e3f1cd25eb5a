#include "drivers/process_file.h"

#include <cstdlib>
#include <fstream>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace hibiscusspool;

TEST_GROUP(process_file)
{
  std::filesystem::path mFolder;

  void setup() override
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "process-XXXXXX").string();
    mFolder = mkdtemp(pattern.data());
  }
  void teardown() override
  {
    std::filesystem::remove_all(mFolder);
  }
};

TEST(process_file, EndsBeforeServingAreCountedUntilAProcessServes)
{
  CHECK(!process_file::Create(mFolder).value().Previous().has_value());
  for (std::uint64_t ends = 1; ends <= 3; ++ends) {
    auto next = process_file::Create(mFolder);
    LONGS_EQUAL(ends, next.value().Record().mEarlyEnds);
  }
  process_file::Create(mFolder).value().SetPhase(process_phase::Serving);
  auto later = process_file::Create(mFolder);
  LONGS_EQUAL(0, later.value().Record().mEarlyEnds);
  CHECK(later.value().Previous()->mRecord.mPhase == process_phase::Serving);
}

TEST(process_file, TheLastWordsOfAProcessReachTheNextOne)
{
  {
    auto first = process_file::Create(mFolder);
    first.value().SetPhase(process_phase::Serving);
    std::string words = "event=terminated cause=\"it\"\n";
    LONGS_EQUAL(words.size(),
                write(first.value().File(), words.data(), words.size()));
  }
  auto next = process_file::Create(mFolder);
  STRCMP_EQUAL("event=terminated cause=\"it\"",
               next.value().Previous()->mLastWords.c_str());
  STRCMP_EQUAL(
    "", process_file::Create(mFolder).value().Previous()->mLastWords.c_str());
}

TEST(process_file, AFileThatHoldsNoRecordIsThatOfNoProcess)
{
  for (const char* text :
       { "", "serv", "serving", "gone 3\n", "serving x\n" }) {
    std::ofstream(mFolder / "process", std::ios::trunc) << text;
    CHECK(!process_file::Create(mFolder).value().Previous().has_value());
  }
}
