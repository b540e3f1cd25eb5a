#include "decisions/routing/top_records.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

std::string
Record(unsigned char aFirst)
{
  std::string record(kRecordBytes, '\0');
  record[0] = static_cast<char>(aFirst);
  return record;
}

}

TEST_GROUP(top_records){};

TEST(top_records, MergesTheGreatestRecordsByUnsignedBytes)
{
  std::string one = Record(1) + Record(0xF0) + Record(0x7F);
  std::string other = Record(0x80) + Record(0xF0);
  std::string merged = MergeTopRecords({ one, other }, 4);
  CHECK(merged == Record(0xF0) + Record(0xF0) + Record(0x80) + Record(0x7F));
}

TEST(top_records, IgnoresIncompleteRecordsAndReturnsAllIfThereAreFew)
{
  std::string part = Record(2) + "short";
  CHECK(MergeTopRecords({ part, "" }, 10) == Record(2));
  CHECK(MergeTopRecords({}, 10).empty());
}

TEST(top_records, AgreesWithSortingAllRecords)
{
  constexpr int kSeed = 7;
  std::mt19937 random(kSeed);
  std::vector<std::string> parts;
  std::vector<std::string> all;
  for (int part = 0; part < 10; ++part) {
    std::string body;
    for (int number = 0; number < 20; ++number) {
      std::string record;
      for (std::size_t index = 0; index < kRecordBytes; ++index) {
        record += static_cast<char>(random() % 4);
      }
      body += record;
      all.push_back(record);
    }
    parts.push_back(body);
  }
  std::sort(all.begin(), all.end(), std::greater<>());
  std::string expected;
  for (int number = 0; number < 50; ++number) {
    expected += all[static_cast<std::size_t>(number)];
  }
  std::vector<std::string_view> views(parts.begin(), parts.end());
  CHECK(MergeTopRecords(views, 50) == expected);
}
