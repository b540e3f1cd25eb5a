#include "messages/subquery_codec.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

subquery
Sample()
{
  auto forwarded = std::make_shared<forwarded_request>();
  forwarded->mMethod = "GET";
  forwarded->mTarget = "/a/b?c=d";
  forwarded->mFields = { { "Accept", "*/*" } };
  subquery sample;
  sample.mRequest.mValue = "r1";
  sample.mId.mValue = "e-a1";
  sample.mTeam.mValue = "team";
  sample.mConfiguration = 7;
  sample.mServices = { service_id{ "s" }, service_id{ "t" } };
  sample.mForwarded = std::move(forwarded);
  sample.mBody = std::make_shared<const std::string>("body");
  sample.mTimeLeft = milliseconds(1500);
  sample.mReportAfter = milliseconds(40);
  sample.mTopRecords = 50;
  sample.mPartFields = { "x-stamp" };
  return sample;
}

}

TEST_GROUP(subquery_codec)
{
  wire::SubqueryRequest mRequest;
  std::vector<service_id> mServices{ service_id{ "s" }, service_id{ "t" } };

  void setup() override
  {
    WriteSubquery(Sample(), mRequest);
  }
};

TEST(subquery_codec, SubqueryIsReadAsWritten)
{
  subquery read = ReadSubquery(mRequest).value();
  subquery sample = Sample();
  CHECK(read.mRequest == sample.mRequest);
  CHECK(read.mId == sample.mId);
  CHECK(read.mServices == sample.mServices);
  CHECK(read.mForwarded->mTarget == sample.mForwarded->mTarget);
  CHECK(read.mForwarded->mFields == sample.mForwarded->mFields);
  CHECK(*read.mBody == *sample.mBody);
  CHECK(read.mTimeLeft == sample.mTimeLeft);
  CHECK(read.mReportAfter == sample.mReportAfter);
  CHECK(read.mPartFields == sample.mPartFields);
  LONGS_EQUAL(7, read.mConfiguration);
  LONGS_EQUAL(50, read.mTopRecords);
}

TEST(subquery_codec, OtherVersionsAndIncompleteSubqueriesAreRefused)
{
  wire::SubqueryRequest other = mRequest;
  other.set_protocol_version(2);
  CHECK(!ReadSubquery(other));
  other = mRequest;
  other.clear_services();
  CHECK(!ReadSubquery(other));
  other = mRequest;
  other.clear_method();
  CHECK(!ReadSubquery(other));
  other = mRequest;
  other.set_time_left_us(UINT64_MAX);
  CHECK(!ReadSubquery(other));
}

TEST(subquery_codec, UpdateIsReadAsWritten)
{
  subquery_update update;
  update.mParts = { { mServices[1], { { "x-stamp", "signature" } } } };
  update.mRecords = std::string(32, 'r');
  update.mStragglers = { { mServices[0], server_id{ "s1" } } };
  update.mFailures = { { mServices[0], server_id{ "s2" }, true } };
  update.mIsLast = true;
  wire::SubqueryReply reply;
  WriteSubqueryUpdate(update, mServices, reply);
  auto read = ReadSubqueryUpdate(reply, mServices, { "x-stamp" }).value();
  CHECK(read.mParts[0].mService == mServices[1]);
  CHECK(read.mParts[0].mFields == update.mParts[0].mFields);
  CHECK(read.mRecords == update.mRecords);
  CHECK(read.mStragglers[0].mServer == update.mStragglers[0].mServer);
  CHECK(read.mFailures[0].mServer == update.mFailures[0].mServer);
  CHECK(read.mFailures[0].mMayHaveRun);
  CHECK(read.mIsLast);
  CHECK(!read.mIsRefused);
}

TEST(subquery_codec, UpdatesOfUnknownServicesOrWithMissingFieldsAreRefused)
{
  wire::SubqueryReply reply;
  reply.add_parts()->set_service(2);
  CHECK(!ReadSubqueryUpdate(reply, mServices, {}));
  reply.Clear();
  reply.add_stragglers()->set_service(9);
  CHECK(!ReadSubqueryUpdate(reply, mServices, {}));
  reply.Clear();
  reply.add_failures()->set_service(9);
  CHECK(!ReadSubqueryUpdate(reply, mServices, {}));
  reply.Clear();
  reply.add_parts()->set_service(0);
  CHECK(!ReadSubqueryUpdate(reply, mServices, { "x-stamp" }));
}
