#include "drivers/quota_client.h"
#include "drivers/quota_service.h"
#include "drivers/subquery_client.h"
#include "drivers/subquery_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <mutex>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;
namespace asio = boost::asio;

/** A loopback address whose port was free a moment ago. */
std::string
FreeAddress()
{
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(
    context, { asio::ip::address_v4::loopback(), asio::ip::port_type{ 0 } });
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

}

/** The server of the subqueries of one host, and the client of another. */
TEST_GROUP(quota_client)
{
  asio::io_context mContext;
  subquery_client mSubqueries = subquery_client::Create();
  quota_client mClient = quota_client::Create(
    { [this](const host_id& aHost, const std::string& aAddress) {
       return mSubqueries.ChannelTo(aHost, aAddress);
     },
      [this](const host_id& aHost) { mSubqueries.DropChannel(aHost); } });
  std::mutex mLock;
  std::optional<quota_notice> mNotice;

  void teardown() override
  {
    mClient.Stop();
    mSubqueries.Stop();
  }

  template<typename value>
  value Wait(asio::awaitable<value> aCall)
  {
    std::optional<value> result;
    asio::co_spawn(mContext,
                   std::move(aCall),
                   [&](const std::exception_ptr& /*aException*/,
                       value aResult) { result = std::move(aResult); });
    for (int wait = 0; !result && wait < 100; ++wait) {
      mContext.restart();
      mContext.run_for(milliseconds(50));
    }
    return *result;
  }

  static quota_message Message(const std::string& aAddress)
  {
    quota_message message;
    message.mTarget = { host_id{ "e2" }, 1, aAddress };
    message.mTimeout = milliseconds(5000);
    message.mRequest.mHost.mValue = "e1";
    quota_item item;
    item.mTeam.mValue = "team";
    item.mAsk = 3;
    message.mRequest.mItems = { item };
    return message;
  }
};

// Guards against messages on quotas that the server of the subqueries doesn't
// take.
TEST(quota_client, MessagesReachTheHostThatServesSubqueries)
{
  std::string address = FreeAddress();
  auto quotas =
    MakeQuotaService({ [](const quota_request& aRequest) {
                        quota_reply reply;
                        quota_answer answer;
                        answer.mTeam = aRequest.mItems.front().mTeam;
                        answer.mRole = quota_role::Owner;
                        answer.mIsGranted = aRequest.mItems.front().mAsk == 3;
                        reply.mAnswers = { answer };
                        return reply;
                      },
                       [this](const quota_notice& aNotice) {
                         std::lock_guard guard(mLock);
                         mNotice = aNotice;
                       } });
  auto server = subquery_service::Create(
    mContext,
    address,
    [](const subquery& /*aSubquery*/, const subquery_callback& /*aCallback*/) {
      return [] {};
    },
    quotas.get());
  CHECK(server.has_value());

  auto reply = Wait(mClient.Exchange(Message(address)));
  CHECK(reply.has_value());
  LONGS_EQUAL(1, reply->mAnswers.size());
  CHECK(reply->mAnswers.front().mIsGranted);
  CHECK(reply->mAnswers.front().mTeam == team_id{ "team" });

  quota_notice_message notice;
  notice.mTarget = { host_id{ "e2" }, 1, address };
  notice.mNotice.mTeam.mValue = "team";
  notice.mNotice.mMeteredFor = milliseconds(5000);
  CHECK(Wait(mClient.Notify(notice)));
  {
    std::lock_guard guard(mLock);
    CHECK(mNotice == notice.mNotice);
  }
  server.value().Stop(milliseconds(100));
}

// Guards against requests that wait for a host that is gone.
TEST(quota_client, AHostThatIsGoneGivesNoReply)
{
  quota_message message = Message(FreeAddress());
  message.mTimeout = milliseconds(200);
  CHECK(!Wait(mClient.Exchange(message)).has_value());
  quota_notice_message notice;
  notice.mTarget = message.mTarget;
  notice.mNotice.mTeam.mValue = "team";
  CHECK(!Wait(mClient.Notify(notice)));
}
