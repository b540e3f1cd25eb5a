#include "messages/configuration_codec.h"
#include "platform/configuration_json.h"
#include "platform/heartbeat.h"
#include "platform/server_protocol.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

const std::string kDocument =
  R"({"version":7,"routes":[{"name":"r1","host":"a.example",)"
  R"("path_prefix":"/x/","kind":"idempotent","timeout_ms":800,)"
  R"("target_latency_ms":120,"priority":1,"fanout":["s1","s2"],)"
  R"("max_attempts":2,"top_k":20,"min_shard_ratio":0.89},)"
  R"({"name":"r2","host":"b.example","path_prefix":"/y/",)"
  R"("kind":"non_idempotent","timeout_ms":3000,"service":"s3",)"
  R"("max_attempts":1},)"
  R"({"name":"r3","host":"b.example","path_prefix":"/z/",)"
  R"("kind":"idempotent","timeout_ms":3000,"backends":)"
  R"([{"service":"s1","weight":3},{"service":"s3","weight":1}]}],)"
  R"("services":[{"name":"s1","max_conns":66,"warmup_s":3.0,)"
  R"("warmup_per_s":0.0},{"name":"s2","max_conns":66},{"name":"s3"}],)"
  R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
  R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

service_profile
DefaultProfile(const service_id& /*aService*/)
{
  return {};
}

result<server_record, platform::decode_error>
DecodeBody(const std::string& aBody)
{
  return platform::DecodeHeartbeat("i-1", aBody, DefaultProfile);
}

server_response
Response(unsigned aStatus, std::vector<header_field> aFields)
{
  return { aStatus, std::move(aFields), "" };
}

}

TEST_GROUP(platform_decoding){};

TEST(platform_decoding, DecodesAllFieldsOfAConfiguration)
{
  auto decoded = platform::DecodeConfiguration(kDocument);
  CHECK(decoded.has_value());
  const configuration_record& record = decoded.value();
  LONGS_EQUAL(7, record.mNumber);
  LONGS_EQUAL(3, record.mRoutes.size());
  LONGS_EQUAL(2, record.mRoutes[0].mShards.size());
  LONGS_EQUAL(20, record.mRoutes[0].mTopRecords);
  DOUBLES_EQUAL(0.89, record.mRoutes[0].mMinimumCoverage, 1e-9);
  CHECK(record.mRoutes[1].mKind == route_kind::NonIdempotent);
  DOUBLES_EQUAL(3, record.mRoutes[2].mBackends[0].mWeight, 1e-9);
  LONGS_EQUAL(66, record.mServices[0].mConnections);
  LONGS_EQUAL(3000, record.mServices[0].mWarmup.count());
  CHECK(record.mDocument == kDocument);
  CHECK(CheckConfiguration(record).has_value());
}

TEST(platform_decoding, RejectsTruncatedDocuments)
{
  for (std::size_t length = 0; length < kDocument.size(); ++length) {
    CHECK(!platform::DecodeConfiguration(kDocument.substr(0, length)));
  }
}

TEST(platform_decoding, ReadsTeamsOfCallersAndPublicRoutes)
{
  std::string document = kDocument;
  document.insert(document.find("\"kind\""), "\"public\":true,");
  document.insert(document.find("\"limits\""),
                  R"("tenants":[{"name":"t1","api_keys":["k1","k2"],)"
                  R"("rate_per_s":2.5,"burst":4,"priority":0},)"
                  R"({"name":"t2","api_keys":[]}],)");
  auto decoded = platform::DecodeConfiguration(document);
  CHECK(decoded.has_value());
  const configuration_record& record = decoded.value();
  CHECK(record.mRoutes[0].mIsPublic);
  CHECK(!record.mRoutes[1].mIsPublic);
  CHECK(record.mCallerTeams.has_value());
  LONGS_EQUAL(2, record.mCallerTeams->size());
  const caller_team_record& team = record.mCallerTeams->front();
  LONGS_EQUAL(2, team.mKeys.size());
  DOUBLES_EQUAL(2.5, team.mRatePerSecond, 1e-9);
  DOUBLES_EQUAL(4, team.mBurst, 1e-9);
  CHECK(team.mPriority && *team.mPriority == 0);
  CHECK(!record.mCallerTeams->back().mPriority);

  wire::ConfigurationRecord encoded;
  WriteConfiguration(record, encoded);
  auto read = ReadConfiguration(encoded);
  CHECK(read.has_value());
  CHECK(read.value() == record);
}

// Guards against an empty list of teams that is taken for none, which opens the
// routes to everyone when the last team is taken away.
TEST(platform_decoding, AnEmptyListOfTeamsIsNotTheSameAsNone)
{
  auto withTeams = [](const std::string& aTeams) {
    std::string document = kDocument;
    document.insert(document.find("\"limits\""), aTeams);
    return platform::DecodeConfiguration(document);
  };
  auto readBack = [](const configuration_record& aRecord) {
    wire::ConfigurationRecord encoded;
    WriteConfiguration(aRecord, encoded);
    wire::ConfigurationRecord stored;
    CHECK(stored.ParseFromString(encoded.SerializeAsString()));
    return ReadConfiguration(stored).value();
  };
  configuration_record without = withTeams("").value();
  CHECK(!without.mCallerTeams);
  CHECK(!readBack(without).mCallerTeams);
  configuration_record empty = withTeams(R"("tenants":[],)").value();
  CHECK(empty.mCallerTeams && empty.mCallerTeams->empty());
  CHECK(CheckConfiguration(empty).has_value());
  CHECK(readBack(empty) == empty);
  for (const char* other : { "null", "{}", "\"\"", "false" }) {
    auto decoded = withTeams("\"tenants\":" + std::string(other) + ',');
    CHECK(!decoded);
    CHECK(decoded.error().mDetail.find("tenants") != std::string::npos);
  }
}

// Guards against the teams of a configuration that an earlier version has
// written being ignored.
TEST(platform_decoding, TeamsOfRecordsOfEarlierVersionsAreInForce)
{
  wire::ConfigurationRecord earlier;
  earlier.add_caller_teams()->set_team("t1");
  configuration_record record = ReadConfiguration(earlier).value();
  CHECK(record.mCallerTeams && record.mCallerTeams->size() == 1);
  earlier.clear_caller_teams();
  CHECK(!ReadConfiguration(earlier).value().mCallerTeams);
}

// Guards against requests that run twice, since a list of no shards made their
// route a fan-out, whose requests may be resent.
TEST(platform_decoding, AnEmptyListOfShardsDoesNotMakeARouteIdempotent)
{
  std::string document = kDocument;
  document.insert(document.find("\"max_attempts\":1"),
                  R"("fanout":[],"top_k":5,)");
  configuration_record record = platform::DecodeConfiguration(document).value();
  CHECK(record.mRoutes[1].mKind == route_kind::NonIdempotent);
  CHECK(record.mRoutes[1].mShards.empty());
  CHECK(CheckConfiguration(record).has_value());
}

TEST(platform_decoding, UnknownRouteKindIsNonIdempotent)
{
  std::string document = kDocument;
  std::string idempotentRoute =
    "\"kind\":\"idempotent\",\"timeout_ms\":3000,\"backends\"";
  std::size_t offset = document.find(idempotentRoute);
  document.replace(offset,
                   idempotentRoute.size(),
                   "\"kind\":\"keyed\",\"timeout_ms\":3000,\"backends\"");
  auto decoded = platform::DecodeConfiguration(document);
  CHECK(decoded.has_value());
  CHECK(decoded.value().mRoutes[2].mKind == route_kind::NonIdempotent);
}

TEST(platform_decoding, DecodesHeartbeatsAndRejectsMalformedOnes)
{
  const std::string valid =
    R"({"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1",)"
    R"("slots":3,"state":"ready","warmup_left_ms":0,"seq":4,"born":17})";
  auto record = DecodeBody(valid);
  CHECK(record.has_value());
  CHECK(record.value().mState == server_state::Ready);
  LONGS_EQUAL(17, record.value().mIncarnation);
  LONGS_EQUAL(4, record.value().mSequence);
  for (const char* body : {
         "",
         "[]",
         "{}",
         R"({"service":7,"address":"10.0.0.9:80","zone":"a","state":"ready"})",
         R"({"service":"s","address":"10.0.0.9:80","zone":"a","state":"odd"})",
         R"({"service":"s","address":"10.0.0.9:80","zone":"a"})",
         R"({"service":"s","address":"10.0.0.9:80","zone":"a","state":"ready",)"
         R"("seq":"four"})",
         R"({"service":"s","address":"10.0.0.9:80","zone":"a","state":"ready",)"
         R"("born":-3})",
       }) {
    CHECK_TEXT(!DecodeBody(body), body);
  }
}

TEST(platform_decoding, ReadsNoticesOfTheServerThatWasAsked)
{
  auto read = [](unsigned aStatus, std::vector<header_field> aFields) {
    return platform::MakePlatformProtocol().mReadNotice(
      Response(aStatus, std::move(aFields)), 0);
  };
  CHECK(read(200, { { "Server-Leaving", "1" } }).mIsLeaving);
  CHECK(read(500, { { "Server-Leaving", "1" } }).mIsLeaving);
  CHECK(!read(200, {}).mIsLeaving);
  CHECK(read(503, { { "Retry-After", "1.5" } }).mPause == milliseconds(1500));
  CHECK(!read(200, { { "Retry-After", "1.5" } }).mPause);
  // Sent by the server that has the address of the one that was asked.
  CHECK(!read(421, { { "Server-Leaving", "1" } }).mIsLeaving);
  for (unsigned status : { 200U, 404U, 500U, 503U }) {
    rate_notice rate = read(status, { { "Server-Limit", "3.5" } }).mRate;
    CHECK(rate.mKind == rate_notice_kind::Limited);
    DOUBLES_EQUAL(3.5, rate.mPerSecond, 0);
    CHECK(read(status, {}).mRate.mKind == rate_notice_kind::Unlimited);
  }
  CHECK(read(421, {}).mRate.mKind == rate_notice_kind::Unknown);
}

TEST(platform_decoding, RejectsHeartbeatsWithNumbersOutOfRange)
{
  const std::string start = R"({"service":"s","address":"10.0.0.1:80",)"
                            R"("zone":"z","state":"ready","slots":)";
  CHECK(DecodeBody(start + "3}").has_value());
  // 2^32 + 1, which must not be taken for 1.
  CHECK(!DecodeBody(start + "4294967297}").has_value());
  CHECK(!DecodeBody(start + "1e400}").has_value());
  CHECK(!DecodeBody(start + "-1}").has_value());
  CHECK(!DecodeBody(start + R"(3,"born":9223372036854775808})").has_value());
  std::string deep(100'000, '[');
  CHECK(!DecodeBody(start + "3,\"x\":" + deep).has_value());
}

TEST(platform_decoding, RejectsConfigurationsWithNumbersOutOfRange)
{
  auto isAccepted = [](const std::string& aFrom, const std::string& aTo) {
    std::string document = kDocument;
    document.replace(document.find(aFrom), aFrom.size(), aTo);
    return platform::DecodeConfiguration(document).has_value();
  };
  const std::string timeout = R"("timeout_ms":800)";
  CHECK(isAccepted(timeout, R"("timeout_ms":800.5)"));
  CHECK(!isAccepted(timeout, R"("timeout_ms":1e300)"));
  CHECK(!isAccepted(timeout, R"("timeout_ms":-1)"));
  CHECK(!isAccepted(R"("priority":1)", R"("priority":5e9)"));
  CHECK(!isAccepted(R"("max_attempts":2)", R"("max_attempts":1e20)"));
  CHECK(!isAccepted(R"("max_conns":66)", R"("max_conns":1e20)"));
  CHECK(!isAccepted(R"("warmup_s":3.0)", R"("warmup_s":1e200)"));
  CHECK(!isAccepted(R"("top_k":20)", R"("top_k":4294967297)"));
}

TEST(platform_decoding, ClassifiesServerResponses)
{
  backend_protocol protocol = platform::MakePlatformProtocol();
  auto forwarded = std::make_shared<forwarded_request>();
  forwarded->mFields = { { "X-Request-Id", "mine" } };
  server_request request;
  request.mForwarded = forwarded;
  auto classify = [&](unsigned aStatus, std::vector<header_field> aFields) {
    return protocol.mClassify(request, Response(aStatus, std::move(aFields)));
  };
  header_field stamp{ "X-Server-Stamp", "abc" };
  CHECK(classify(200, { stamp }) == attempt_status::Answered);
  CHECK(classify(200, {}) == attempt_status::BadResponse);
  CHECK(classify(200, { stamp, { "Content-Encoding", "gzip" } }) ==
        attempt_status::BadResponse);
  CHECK(classify(503, { { "X-Not-Executed", "1" } }) == attempt_status::Shed);
  CHECK(classify(421, {}) == attempt_status::Shed);
  // Without X-Not-Executed a failed request may have run.
  CHECK(classify(503, {}) == attempt_status::Failed);
  CHECK(classify(404, { stamp }) == attempt_status::Answered);
  request.mIsPart = true;
  CHECK(classify(404, { stamp }) == attempt_status::Failed);

  STRCMP_EQUAL("mine", std::string(protocol.mRequestId(request)).c_str());
  server_response named = Response(200, { { "x-request-id", "other" } });
  STRCMP_EQUAL("other", std::string(protocol.mNamedRequest(named)).c_str());
  CHECK(protocol.mNamedRequest(Response(200, {})).empty());
}
