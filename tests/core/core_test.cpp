#include "core/address.h"
#include "core/log_event.h"
#include "core/name_table.h"
#include "core/sharded_map.h"

#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

enum class colour
{
  Red,
  Green,
};

}

template<>
inline constexpr hibiscusspool::name_table<colour, 2>
  hibiscusspool::kNames<colour>{ {
    { colour::Red, "red" },
    { colour::Green, "green" },
  } };

namespace {

using namespace hibiscusspool;

}

TEST_GROUP(core){};

TEST(core, ParsesAndPrintsNamesFromOneTable)
{
  STRCMP_EQUAL("green", std::string(NameOf(colour::Green)).c_str());
  CHECK(ValueOf<colour>("red") == colour::Red);
  CHECK(!ValueOf<colour>("blue"));
}

TEST(core, AddressesAreIpAddressesWithPorts)
{
  CHECK(ParseAddress("127.0.0.1:80").has_value());
  CHECK(ParseAddress("[::1]:80").has_value());
  for (const char* invalid : { "127.0.0.1",
                               "127.0.0.1:",
                               "127.0.0.1:0",
                               "127.0.0.1:65536",
                               "localhost:80",
                               "::1:80",
                               "1.2.3:4",
                               "" }) {
    CHECK(!ParseAddress(invalid));
  }
}

TEST(core, LogValuesAreQuotedWhenNeeded)
{
  STRCMP_EQUAL("plain", QuoteLogValue("plain").c_str());
  STRCMP_EQUAL("\"two words\"", QuoteLogValue("two words").c_str());
  STRCMP_EQUAL("\"a\\\"b\"", QuoteLogValue("a\"b").c_str());
  STRCMP_EQUAL("\"one line\"", QuoteLogValue("one\nline").c_str());
  STRCMP_EQUAL("\"\"", QuoteLogValue("").c_str());
}

TEST(core, AShardedMapAcceptsUpdatesFromManyThreads)
{
  sharded_map<int, int> map;
  std::vector<std::thread> threads;
  for (int number = 0; number < 8; ++number) {
    threads.emplace_back([&] {
      for (int count = 0; count < 10'000; ++count) {
        map.Update(count % 100, [](int& aValue) { ++aValue; });
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  int sum = 0;
  map.ForEach([&](int, int& aValue) { sum += aValue; });
  LONGS_EQUAL(80'000, sum);
  LONGS_EQUAL(100, map.Count());
  CHECK(map.Take(5).has_value());
  CHECK(!map.Take(5).has_value());
}
