#include "drivers/control_client.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;
namespace asio = boost::asio;

host_id
Numbered(int aNumber)
{
  return host_id{ "10.1.0." + std::to_string(aNumber) + ":7640" };
}

}

TEST_GROUP(control_client){};

TEST(control_client, SuccessorsAreLearnedHoweverManyHostsWereReplaced)
{
  asio::io_context context;
  auto client = control_client::Create(context.get_executor(), {});
  for (int number = 1; number <= 200; ++number) {
    std::vector<host_id> group;
    for (int member = number; member < number + 5; ++member) {
      group.push_back(Numbered(member));
    }
    client.LearnHosts(group);
    std::vector<host_id> known = client.Hosts();
    for (const host_id& host : group) {
      CHECK(std::find(known.begin(), known.end(), host) != known.end());
    }
    CHECK(known.size() <= 32);
  }
  client.Stop();
}
