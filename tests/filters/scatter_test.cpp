#include "filters/deliver.h"
#include "filters/scatter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;

steady_time
Now()
{
  return std::chrono::steady_clock::now();
}

backend_config
Config()
{
  backend_config config{ host_id{ "e" },
                         failure_domain_id{ "d" },
                         milliseconds(0) };
  config.mRampDuration = milliseconds(0);
  config.mColdAfterRefusals = 0;
  config.mSuspendsFailing = true;
  return config;
}

}

/** Servers that do as each test says, and a request that is sent to them. */
TEST_GROUP(scatter)
{
  asio::io_context mContext;
  backend_controller mBackends{
    Config(),
    { [](const std::vector<connection_id>& /*aConnections*/) {},
      [](const server_id& /*aServer*/) {} }
  };
  budget_controller mBudgets{ 1.0, 1.0, { [](steady_time /*aNow*/) {
                                return std::nullopt;
                              } } };
  fingerprint_controller mFingerprints{ 10 };
  /** What the attempts after one another come to; the last one stays. */
  std::vector<attempt_status> mOutcomes;
  /** Servers that were sent the request, by service. */
  std::map<std::string, std::vector<std::string>> mSentTo;
  int mCancelled = 0;
  request_context mRequest;

  void setup() override
  {
    mBackends.SetHosts({ host_id{ "e" } }, Now());
    mRequest.mKind = request_kind::Forward;
    mRequest.mForwarded = std::make_shared<forwarded_request>();
    mRequest.mReceivedAt = Now();
    mRequest.mDeadline = Now() + milliseconds(400);
    mRequest.mGiveUpAt = mRequest.mDeadline;
    mRequest.mMaxAttempts = 3;
    AddService("s", 4);
  }

  void AddService(const std::string& aService, int aServers)
  {
    mRequest.mServices.push_back(service_id{ aService });
    for (int server = 0; server < aServers; ++server) {
      server_record record;
      record.mServer.mValue = aService + std::to_string(server);
      record.mIncarnation = 1;
      record.mService.mValue = aService;
      record.mFailureDomain.mValue = "d";
      record.mConnections = 8;
      record.mState = server_state::Ready;
      mBackends.Put(record, true, Now());
    }
  }

  asio::awaitable<attempt_result> Attempt(server_request aOrder)
  {
    co_await asio::this_coro::throw_if_cancelled(false);
    mSentTo[aOrder.mPermit.mService.mValue].push_back(
      aOrder.mPermit.mServer.mValue);
    attempt_result ended;
    ended.mStatus = mOutcomes.front();
    if (mOutcomes.size() > 1) {
      mOutcomes.erase(mOutcomes.begin());
    }
    bool isSilent = ended.mStatus == attempt_status::Cancelled;
    auto executor = co_await asio::this_coro::executor;
    asio::steady_timer answered(executor);
    answered.expires_after(isSilent ? std::chrono::seconds(5)
                                    : std::chrono::seconds(0));
    auto [problem] =
      co_await answered.async_wait(asio::as_tuple(asio::use_awaitable));
    mCancelled += problem ? 1 : 0;
    co_return ended;
  }

  /** Takes the request to its end, and returns how long that took. */
  milliseconds Serve()
  {
    scatter_hooks hooks;
    hooks.mNow = Now;
    hooks.mSendAttempt = [this](server_request aOrder) {
      return Attempt(std::move(aOrder));
    };
    hooks.mNewAttemptId = [] { return request_id{ "attempt" }; };
    hooks.mIsLeaseValid = [](steady_time /*aNow*/) { return true; };
    hooks.mUsesCanary = false;
    filter_chain chain{ MakeScatter(mBackends, mBudgets, mFingerprints, hooks),
                        MakeDeliver() };
    steady_time start = Now();
    steady_time end = start;
    asio::co_spawn(
      mContext,
      [&]() -> asio::awaitable<void> {
        co_await RunChain(chain, mRequest);
        end = Now();
      },
      asio::detached);
    mContext.run();
    return std::chrono::duration_cast<milliseconds>(end - start);
  }

  void CheckRefused(refusal_reason aReason) const
  {
    CHECK(mRequest.mRefusal.has_value());
    CHECK(mRequest.mRefusal->mReason == aReason);
  }
};

TEST(scatter, ARequestThatMustRunOnceIsNotSentAgainAfterAServerMayHaveRunIt)
{
  for (attempt_status lost : { attempt_status::Reset,
                               attempt_status::TimedOut,
                               attempt_status::BadAnswer }) {
    mContext.restart();
    mSentTo.clear();
    mRequest.mRefusal.reset();
    mRequest.mKind = request_kind::ForwardOnce;
    mOutcomes = { lost, attempt_status::Answered };
    Serve();
    LONGS_EQUAL(1, mSentTo["s"].size());
    CHECK(mRequest.mRan == execution_status::Unknown);
    CheckRefused(refusal_reason::OutcomeUnknown);
  }
}

TEST(scatter, ARequestThatMustRunOnceGoesOnWhereNothingCanHaveRun)
{
  mRequest.mKind = request_kind::ForwardOnce;
  mOutcomes = { attempt_status::NotSent,
                attempt_status::Shed,
                attempt_status::Answered };
  Serve();
  LONGS_EQUAL(3, mSentTo["s"].size());
  CHECK(mRequest.mRan == execution_status::Yes);
  CHECK(!mRequest.mRefusal);
}

TEST(scatter, NotRunIsSaidOnlyWhenEveryServerRefused)
{
  for (request_kind kind :
       { request_kind::Forward, request_kind::ForwardOnce }) {
    mContext.restart();
    mRequest.mRefusal.reset();
    mRequest.mKind = kind;
    mOutcomes = { attempt_status::Shed };
    Serve();
    CHECK(mRequest.mRan == execution_status::No);
    CheckRefused(refusal_reason::NoServer);
  }
}

TEST(scatter, OneLostAttemptAmongRefusalsLeavesItOpenWhetherItRan)
{
  mOutcomes = { attempt_status::Reset, attempt_status::Shed };
  Serve();
  CHECK(mRequest.mRan == execution_status::Unknown);
  CheckRefused(refusal_reason::OutcomeUnknown);
}

TEST(scatter, EachShardGetsTheRequestAtNoMoreServersThanTheRouteAllows)
{
  AddService("t", 4);
  mRequest.mIsMerged = true;
  mRequest.mMaxAttempts = 2;
  mOutcomes = { attempt_status::Reset };
  Serve();
  for (const char* service : { "s", "t" }) {
    LONGS_EQUAL(2, mSentTo[service].size());
  }
}

TEST(scatter, ACallerThatLeavesEndsItsAttemptsAndGetsNoMore)
{
  mRequest.mDeadline = Now() + std::chrono::seconds(4);
  mRequest.mGiveUpAt = mRequest.mDeadline;
  mRequest.mCaller = std::make_shared<caller_status>();
  mOutcomes = { attempt_status::Cancelled };
  asio::steady_timer leaves(mContext, milliseconds(50));
  leaves.async_wait([this](const boost::system::error_code& /*aProblem*/) {
    mRequest.mCaller->Disconnect();
  });
  CHECK(Serve() < std::chrono::seconds(2));
  LONGS_EQUAL(1, mSentTo["s"].size());
  LONGS_EQUAL(1, mCancelled);
}

TEST(scatter, ARequestThatNobodyAnswersEndsAtItsDeadline)
{
  mOutcomes = { attempt_status::Cancelled };
  milliseconds took = Serve();
  CHECK(took >= milliseconds(390));
  CHECK(took < milliseconds(900));
  CHECK(mRequest.mRan == execution_status::Unknown);
}
