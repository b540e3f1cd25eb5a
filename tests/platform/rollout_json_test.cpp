#include "platform/heartbeat.h"
#include "platform/rollout_json.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

}

TEST_GROUP(platform_rollouts){};

TEST(platform_rollouts, DecodesOrdersAndRejectsMalformedOnes)
{
  auto record = platform::DecodeRollout(
    R"({"service":"s","target_version":"v2","duration_s":12.5})");
  CHECK(record.has_value());
  STRCMP_EQUAL("s", record.value().mService.mValue.c_str());
  STRCMP_EQUAL("v2", record.value().mTargetVersion.c_str());
  LONGS_EQUAL(12'500, record.value().mDuration.count());
  for (const char* body : {
         "",
         "[]",
         "{}",
         R"({"service":"s","target_version":"v2"})",
         R"({"service":"s","target_version":"v2","duration_s":0})",
         R"({"service":"s","target_version":"v2","duration_s":-1})",
         R"({"service":"s","target_version":"v2","duration_s":"12"})",
         R"({"service":"s","target_version":"","duration_s":12})",
         R"({"service":"","target_version":"v2","duration_s":12})",
         R"({"service":"s","target_version":2,"duration_s":12})",
       }) {
    CHECK_TEXT(!platform::DecodeRollout(body), body);
  }
}

TEST(platform_rollouts, OperatorsAreToldThePlatformsStates)
{
  rollout_record record;
  record.mTargetVersion = "v2";
  record.mState = rollout_state::Completing;
  STRCMP_EQUAL(R"({"state":"running","target_version":"v2"})",
               platform::EncodeRollout(record).c_str());
  record.mState = rollout_state::Completed;
  STRCMP_EQUAL(R"({"state":"completed","target_version":"v2"})",
               platform::EncodeRollout(record).c_str());
  record.mState = rollout_state::RolledBack;
  STRCMP_EQUAL(R"({"state":"rolled_back","target_version":"v2"})",
               platform::EncodeRollout(record).c_str());
}

TEST(platform_rollouts, AHeartbeatTellsTheSoftwareVersion)
{
  auto profile = [](const service_id& /*aService*/) {
    return service_profile{};
  };
  const std::string head =
    R"({"service":"s","address":"10.0.0.9:80","zone":"a","state":"ready")";
  auto versioned =
    platform::DecodeHeartbeat("i-1", head + R"(,"version":"v2"})", profile);
  STRCMP_EQUAL("v2", versioned.value().mSoftwareVersion.c_str());
  auto unversioned = platform::DecodeHeartbeat("i-1", head + "}", profile);
  CHECK(unversioned.has_value());
  CHECK(unversioned.value().mSoftwareVersion.empty());
}
