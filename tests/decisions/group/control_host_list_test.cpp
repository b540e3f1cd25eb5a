#include "decisions/group/control_host_list.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

host_id
Numbered(int aNumber)
{
  return host_id{ "10.1.0." + std::to_string(aNumber) + ":7640" };
}

}

TEST_GROUP(control_host_list){};

TEST(control_host_list, HostsAreAskedInRotation)
{
  auto list = control_host_list::Create({ Numbered(1), Numbered(2) });
  CHECK(list.At(0) == Numbered(1));
  CHECK(list.At(1) == Numbered(2));
  CHECK(list.At(2) == Numbered(1));
  CHECK(control_host_list::Create({}).At(3).IsEmpty());
}

TEST(control_host_list, MembersThatWereNamedLastAreAskedFirst)
{
  auto list = control_host_list::Create({ Numbered(1) });
  CHECK(list.Learn(Numbered(2)));
  CHECK(list.At(0) == Numbered(2));
  CHECK(!list.Learn(Numbered(1)));
  CHECK(list.At(0) == Numbered(1));
  CHECK(!list.Learn(host_id{}));
  LONGS_EQUAL(2, list.Hosts().size());
}

TEST(control_host_list, HostsThatAreGoneMakeRoomAndConfiguredOnesStay)
{
  auto list = control_host_list::Create({ Numbered(1) });
  for (int number = 2; number <= 200; ++number) {
    CHECK(list.Learn(Numbered(number)));
    CHECK(list.Hosts().size() <= control_host_list::kMaxHosts);
    CHECK(list.Contains(Numbered(1)));
    CHECK(list.Contains(Numbered(number)));
  }
  CHECK(!list.Contains(Numbered(2)));
  CHECK(list.Contains(Numbered(190)));
}

TEST(control_host_list, NoneIsForgottenForAnotherWhenAllAreConfigured)
{
  std::set<host_id> configured;
  for (int number = 1; number <= 32; ++number) {
    configured.insert(Numbered(number));
  }
  auto list = control_host_list::Create(configured);
  CHECK(!list.Learn(Numbered(33)));
  LONGS_EQUAL(32, list.Hosts().size());
}
