#include "filters/quota.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;

/** 2 a second and 2 at once: 12 in a window of 5 s. */
constexpr int kQuota = 12;

std::shared_ptr<const route_table>
Routes()
{
  configuration_record configuration;
  configuration.mNumber = 7;
  caller_team_record limited;
  limited.mTeam.mValue = "limited";
  limited.mKeys = { "k1" };
  limited.mRatePerSecond = 2;
  limited.mBurst = 2;
  caller_team_record unlimited;
  unlimited.mTeam.mValue = "unlimited";
  unlimited.mKeys = { "k2" };
  configuration.mCallerTeams = std::vector{ limited, unlimited };
  std::vector<std::string> invalid;
  return std::make_shared<const route_table>(
    route_table::Create(configuration, invalid));
}

}

/** An entry host, alone or with a second one that owns the team. */
TEST_GROUP(quota_filter)
{
  steady_time mNow{ std::chrono::hours(1) };
  int mNews = 0;
  int mSent = 0;
  std::optional<quota_reply> mReply;
  std::unique_ptr<quota_controller> mQuotas;

  void setup() override
  {
    quota_config config;
    config.mSelf.mValue = "e1";
    quota_hooks hooks;
    hooks.mConfirmedAge = [](steady_time /*aNow*/) { return milliseconds(1); };
    hooks.mOnNews = [this] { ++mNews; };
    hooks.mSendNotice = [](const quota_notice_message& /*aMessage*/) {};
    hooks.mProbe = [](const quota_message& /*aMessage*/) {};
    hooks.mOnState = [](const team_id&, bool, double) {};
    hooks.mOnTakeover = [](const team_id&, const host_id&) {};
    mQuotas = std::make_unique<quota_controller>(config, std::move(hooks));
    SetHosts({ "e1" });
  }

  void SetHosts(const std::vector<std::string>& aHosts)
  {
    std::vector<entry_host_record> records;
    for (const std::string& host : aHosts) {
      entry_host_record record;
      record.mHost.mValue = host;
      record.mSubqueryAddress = host + ":1";
      records.push_back(record);
    }
    mQuotas->SetHosts(records, mNow - std::chrono::minutes(1));
  }

  request_context Run(const std::string& aTeam,
                      std::optional<execution_status> aLaterRefusal = {})
  {
    quota_filter_hooks hooks;
    hooks.mNow = [this] { return mNow; };
    hooks.mExchange = [this](quota_message /*aMessage*/)
      -> asio::awaitable<std::optional<quota_reply>> {
      ++mSent;
      co_return mReply;
    };
    request_context request;
    request.mCallerTeam.mValue = aTeam;
    request.mRoutes = Routes();
    request.mConfiguration = 7;
    filter_chain chain{ MakeQuota(*mQuotas, hooks) };
    if (aLaterRefusal) {
      chain.push_back(
        { filter_name::Admit,
          filter_condition::NotRefused,
          [&](request_context& aRequest) -> asio::awaitable<void> {
            aRequest.mRan = *aLaterRefusal;
            aRequest.Refuse(refusal_reason::HostLimit, "");
            co_return;
          } });
    }
    chain.push_back(MakeQuotaReturn(*mQuotas, hooks));
    asio::io_context context;
    asio::co_spawn(context, RunChain(chain, request), asio::detached);
    context.run();
    return request;
  }

  /** Requests until the first refusal. */
  int Admitted(std::optional<execution_status> aLaterRefusal = {})
  {
    for (int number = 0; number < 100; ++number) {
      request_context request = Run("limited", aLaterRefusal);
      mQuotas->TakeReports(mNow);
      bool isOver = request.mRefusal &&
                    request.mRefusal->mReason == refusal_reason::QuotaExceeded;
      if (isOver) {
        return number;
      }
    }
    return 100;
  }
};

// Guards against a cost for teams without a limit and for requests without a
// team.
TEST(quota_filter, RequestsWithoutALimitCostNothing)
{
  for (const char* team : { "", "unlimited", "unknown" }) {
    for (int number = 0; number < 100; ++number) {
      CHECK(!Run(team).mRefusal);
    }
  }
  LONGS_EQUAL(0, mNews);
  LONGS_EQUAL(0, mSent);
  CHECK(mQuotas->TakeReports(mNow).empty());
  LONGS_EQUAL(0, mQuotas->Counts().mAdmitted[0]);
}

// Guards against requests over the quota that are admitted, and against a
// refusal without the time of return.
TEST(quota_filter, RequestsOverTheQuotaAreRefusedUntilThereIsRoom)
{
  int admitted = Admitted();
  CHECK(admitted >= kQuota);
  CHECK(admitted <= 1.1 * kQuota + 20);
  request_context refused = Run("limited");
  CHECK(refused.mRefusal->mReason == refusal_reason::QuotaExceeded);
  CHECK(refused.mRefusal->mRan == execution_status::No);
  CHECK(refused.mRefusal->mRetryAfter > milliseconds(0));
  CHECK(refused.mRefusal->mRetryAfter <= milliseconds(5000));
  mNow += refused.mRefusal->mRetryAfter + milliseconds(1);
  CHECK(!Run("limited").mRefusal);
}

// Guards against requests that did not run and yet use up the quota, and
// against ones that ran and don't.
TEST(quota_filter, OnlyRequestsThatMayHaveRunCount)
{
  LONGS_EQUAL(100, Admitted(execution_status::No));
  CHECK(Admitted(execution_status::Unknown) <= 1.1 * kQuota + 20);
}

// Guards against a host that admits without limit, or nothing, when the owner
// and the deputy don't answer.
TEST(quota_filter, AHostThatReachesNobodyKeepsToItsPart)
{
  SetHosts({ "e1", "e2", "e3" });
  mNow += std::chrono::minutes(1);
  int admitted = 0;
  for (int number = 0; number < 100; ++number) {
    request_context request = Run("limited");
    admitted += request.mRefusal ? 0 : 1;
    for (const quota_message& message : mQuotas->TakeReports(mNow)) {
      mQuotas->OnReported(message, std::nullopt, mNow);
    }
  }
  CHECK(admitted >= kQuota / 3);
  CHECK(admitted <= (1.1 * kQuota + 20) / 3 + 2);
}
