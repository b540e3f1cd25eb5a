#include "messages/quota_codec.h"

#include <limits>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

quota_request
Sample()
{
  quota_item item;
  item.mTeam.mValue = "team";
  item.mTerms = { 7, 12.5, 30 };
  item.mAsk = 4;
  item.mSettled = 3;
  item.mSpendings = { { milliseconds(1200), 2 }, { milliseconds(0), 1 } };
  quota_request sample;
  sample.mHost.mValue = "e1";
  sample.mIncarnation = 99;
  sample.mSequence = 12;
  sample.mItems = { item };
  return sample;
}

}

TEST_GROUP(quota_codec)
{
  wire::QuotaRequest mRequest;

  void setup() override
  {
    WriteQuotaRequest(Sample(), mRequest);
  }
};

// Guards against fields that are lost or mixed up between entry hosts.
TEST(quota_codec, MessagesAreReadAsWritten)
{
  CHECK(ReadQuotaRequest(mRequest).value() == Sample());

  quota_reply reply;
  reply.mAnswers = { { team_id{ "team" },
                       quota_role::Deputy,
                       true,
                       milliseconds(5000),
                       milliseconds(20),
                       milliseconds(40) },
                     { team_id{ "other" },
                       quota_role::Owner,
                       false,
                       std::nullopt,
                       milliseconds(0),
                       milliseconds(0) } };
  wire::QuotaReply wireReply;
  WriteQuotaReply(reply, wireReply);
  CHECK(ReadQuotaReply(wireReply).value() == reply);

  quota_notice notice;
  notice.mTeam.mValue = "team";
  notice.mMeteredFor = milliseconds(5000);
  notice.mFollow.mValue = "e4";
  notice.mFollowFor = milliseconds(4000);
  notice.mRelayTo = { host_id{ "e2" }, host_id{ "e3" } };
  wire::QuotaNotice wireNotice;
  WriteQuotaNotice(notice, wireNotice);
  CHECK(ReadQuotaNotice(wireNotice).value() == notice);
}

// Guards against accounts that a message without a name or with an impossible
// number would spoil.
TEST(quota_codec, InvalidMessagesAreRejected)
{
  wire::QuotaRequest nameless = mRequest;
  nameless.clear_host();
  CHECK(!ReadQuotaRequest(nameless));
  wire::QuotaRequest teamless = mRequest;
  teamless.mutable_items(0)->clear_team();
  CHECK(!ReadQuotaRequest(teamless));
  for (double limit : { -1.0,
                        std::numeric_limits<double>::infinity(),
                        std::numeric_limits<double>::quiet_NaN() }) {
    wire::QuotaRequest wrong = mRequest;
    wrong.mutable_items(0)->set_rate_per_second(limit);
    CHECK(!ReadQuotaRequest(wrong));
    wrong = mRequest;
    wrong.mutable_items(0)->set_burst(limit);
    CHECK(!ReadQuotaRequest(wrong));
  }
  wire::QuotaReply reply;
  reply.add_answers()->set_role(17);
  CHECK(!ReadQuotaReply(reply));
  CHECK(!ReadQuotaNotice({}));
}
