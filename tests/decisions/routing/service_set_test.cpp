#include "decisions/routing/service_set.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscusspool;

TEST_GROUP(service_set){};

TEST(service_set, HoldsEachServiceOnceInTheOrderOfTheirFirstMention)
{
  service_set services = service_set::Create({ service_id{ "b" },
                                               service_id{ "a" },
                                               service_id{ "b" },
                                               service_id{ "c" },
                                               service_id{ "a" } });
  CHECK(services.List() == (std::vector<service_id>{ service_id{ "b" },
                                                     service_id{ "a" },
                                                     service_id{ "c" } }));
  LONGS_EQUAL(3, services.size());
  CHECK(!services.IsEmpty());
  CHECK(service_set::Create({}).IsEmpty());
}
