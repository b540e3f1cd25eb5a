#include "filters/deliver.h"
#include "filters/scatter.h"
#include "filters/subquery_result.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;

const std::string kRecordA(16, 'a');
const std::string kRecordB(16, 'b');
const std::string kRecordC(16, 'c');

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
  return config;
}

subquery_part
Part(const std::string& aService)
{
  return { service_id{ aService }, { { "x-stamp", "via-" + aService } } };
}

subquery_update
Last(subquery_update aUpdate = {})
{
  aUpdate.mIsLast = true;
  return aUpdate;
}

}

/** A fan-out to two services, which one or two other entry hosts ask. */
TEST_GROUP(scatter_subqueries)
{
  asio::io_context mContext;
  backend_controller mBackends{
    Config(),
    { [](const std::vector<connection_id>& /*aConnections*/) {},
      [](const server_id& /*aServer*/) {} }
  };
  /** This host's part of the budget that all hosts share, if they do. */
  std::optional<budget_limits> mSharedLimits;
  budget_controller mBudgets{ 1.0, 1.0, 20, { [this](steady_time /*aNow*/) {
                                return mSharedLimits;
                              } } };
  fingerprint_controller mFingerprints{ 10 };
  attempt_status mDirectOutcome = attempt_status::Answered;
  std::map<std::string, std::vector<std::string>> mSentTo;
  /** Called with the callback of each subquery that is sent. */
  std::function<void(subquery_callback)> mScript;
  std::vector<subquery> mSubqueries;
  std::vector<subquery_end> mEnds;
  int mCancelled = 0;
  int mCancelledBeforeResponse = 0;
  /** Each service is asked by another host. */
  bool mIsDividedInTwo = false;
  std::vector<service_id> mServices;
  request_context mRequest;

  void setup() override
  {
    mBackends.SetHosts({ share_holder{ host_id{ "e" }, {} } }, Now());
    mRequest.mKind = request_kind::Forward;
    mRequest.mForwarded = std::make_shared<forwarded_request>();
    mRequest.mReceivedAt = Now();
    mRequest.mDeadline = Now() + milliseconds(400);
    mRequest.mGiveUpAt = mRequest.mDeadline;
    mRequest.mSoftDeadline = Now() + milliseconds(200);
    mRequest.mMaxAttempts = 2;
    mRequest.mIsMerged = true;
    mRequest.mTopRecords = 3;
    mRequest.mPolicy.mMinimumCoverage = 1;
    AddService("s");
    AddService("t");
  }

  void AddService(const std::string& aService)
  {
    mServices.push_back(service_id{ aService });
    mRequest.mServices = service_set::Create(mServices);
    for (int server = 0; server < 3; ++server) {
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

  asio::awaitable<attempt_result> SendAttempt(server_request aServerRequest)
  {
    mSentTo[aServerRequest.mPermit.mService.mValue].push_back(
      aServerRequest.mPermit.mServer.mValue);
    attempt_result result;
    result.mStatus = mDirectOutcome;
    result.mResponse.mBody = kRecordB;
    result.mResponse.mFields = {
      { "x-stamp", "direct-" + aServerRequest.mPermit.mService.mValue }
    };
    co_return result;
  }

  subquery_hooks SubqueryHooks()
  {
    subquery_hooks hooks;
    hooks.mPlan = [this](const std::vector<service_id>& aServices,
                         steady_time /*aNow*/) {
      std::vector<assigned_subquery> plans{
        { host_id{ "e2" }, "127.0.0.1:1", aServices }
      };
      if (mIsDividedInTwo) {
        plans[0].mServices = { aServices.at(0) };
        plans.push_back(
          { host_id{ "e3" }, "127.0.0.1:2", { aServices.at(1) } });
      }
      return plans;
    };
    hooks.mSend = [this](const assigned_subquery& /*aTarget*/,
                         subquery aSubquery,
                         const asio::any_io_executor& aExecutor,
                         subquery_callback aCallback) {
      mSubqueries.push_back(std::move(aSubquery));
      asio::post(aExecutor, [this, callback = std::move(aCallback)] {
        if (mScript) {
          mScript(callback);
        }
      });
      return [this] { ++mCancelled; };
    };
    hooks.mOnEnd = [this](const host_id& /*aHost*/,
                          subquery_end aEnd,
                          steady_time /*aNow*/) { mEnds.push_back(aEnd); };
    return hooks;
  }

  void Serve()
  {
    scatter_hooks hooks;
    hooks.mNow = Now;
    hooks.mSendAttempt = [this](server_request aServerRequest) {
      return SendAttempt(std::move(aServerRequest));
    };
    hooks.mNewAttemptId = [] { return request_id{ "attempt" }; };
    hooks.mIsLeaseValid = [](steady_time /*aNow*/) { return true; };
    hooks.mUsesCanary = false;
    hooks.mSubqueries = SubqueryHooks();
    filter_chain chain{ MakeScatter(mBackends, mBudgets, mFingerprints, hooks),
                        MakeDeliver() };
    asio::co_spawn(
      mContext,
      [&]() -> asio::awaitable<void> {
        co_await RunChain(chain, mRequest);
        mCancelledBeforeResponse = mCancelled;
      },
      asio::detached);
    mContext.run();
  }

  std::vector<std::string> Stamps() const
  {
    std::vector<std::string> stamps;
    for (const service_response& response : mRequest.mResponses) {
      stamps.emplace_back(response.mResponse.Field("x-stamp"));
    }
    std::sort(stamps.begin(), stamps.end());
    return stamps;
  }
};

TEST(scatter_subqueries, PartsOfASubqueryMakeTheResponse)
{
  mScript = [](const subquery_callback& aCallback) {
    subquery_update update;
    update.mParts = { Part("s"), Part("t") };
    update.mRecords = kRecordC + kRecordA;
    aCallback(Last(update));
  };
  Serve();
  CHECK(mRequest.mResponse.has_value());
  CHECK(mRequest.mResponse->mBody == kRecordC + kRecordA);
  CHECK(Stamps() == (std::vector<std::string>{ "via-s", "via-t" }));
  CHECK(mSentTo.empty());
  CHECK(mEnds == std::vector<subquery_end>{ subquery_end::Complete });
}

TEST(scatter_subqueries, RefusedSubqueryIsAskedOfTheServers)
{
  mScript = [](const subquery_callback& aCallback) {
    subquery_update update;
    update.mIsRefused = true;
    aCallback(Last(update));
  };
  Serve();
  CHECK(Stamps() == (std::vector<std::string>{ "direct-s", "direct-t" }));
  CHECK(mEnds == std::vector<subquery_end>{ subquery_end::Refused });
}

TEST(scatter_subqueries, LostSubqueryLeavesOneMoreServerForEachService)
{
  mDirectOutcome = attempt_status::Failed;
  mScript = [](const subquery_callback& aCallback) { aCallback(Last()); };
  Serve();
  LONGS_EQUAL(1, mSentTo["s"].size());
  LONGS_EQUAL(1, mSentTo["t"].size());
  CHECK(mRequest.mRefusal.has_value());
  CHECK(mEnds == std::vector<subquery_end>{ subquery_end::Lost });
}

TEST(scatter_subqueries, RefusalsAfterALostSubqueryDoNotMeanNotRun)
{
  mDirectOutcome = attempt_status::Shed;
  mScript = [](const subquery_callback& aCallback) { aCallback(Last()); };
  Serve();
  CHECK(mRequest.mRefusal.has_value());
  CHECK(mRequest.mRan == execution_status::Unknown);
}

TEST(scatter_subqueries, RefusalsAfterARefusedSubqueryMeanNotRun)
{
  mDirectOutcome = attempt_status::Shed;
  mScript = [](const subquery_callback& aCallback) {
    subquery_update update;
    update.mIsRefused = true;
    aCallback(Last(update));
  };
  Serve();
  CHECK(mRequest.mRefusal.has_value());
  CHECK(mRequest.mRan == execution_status::No);
}

TEST(scatter_subqueries, StragglersAreHedgedAtAnotherServer)
{
  mScript = [](const subquery_callback& aCallback) {
    subquery_update update;
    update.mParts = { Part("s") };
    update.mRecords = kRecordA;
    update.mStragglers = { { service_id{ "t" }, server_id{ "t1" } } };
    aCallback(update);
  };
  Serve();
  CHECK(Stamps() == (std::vector<std::string>{ "direct-t", "via-s" }));
  CHECK(mRequest.mResponse->mBody == kRecordB + kRecordA);
  LONGS_EQUAL(1, mSentTo["t"].size());
  CHECK(mSentTo["t"][0] != "t1");
  LONGS_EQUAL(1, mCancelled);
}

TEST(scatter_subqueries, MergedRecordsAreNotUsedBesideAPartOfTheSameService)
{
  // The host reports only after the servers were asked for both services.
  mScript = [this](const subquery_callback& aCallback) {
    auto timer = std::make_shared<asio::steady_timer>(mContext);
    timer->expires_after(milliseconds(100));
    timer->async_wait([this, timer, aCallback](boost::system::error_code) {
      subquery_update first;
      first.mStragglers = { { service_id{ "s" }, server_id{ "s1" } } };
      aCallback(first);
      asio::post(mContext, [this, aCallback] {
        asio::post(mContext, [aCallback] {
          subquery_update update;
          update.mParts = { Part("s"), Part("t") };
          update.mRecords = kRecordC + kRecordA;
          aCallback(Last(update));
        });
      });
    });
  };
  Serve();
  CHECK(Stamps() == (std::vector<std::string>{ "direct-s", "direct-t" }));
  CHECK(mRequest.mResponse->mBody == kRecordB + kRecordB);
}

TEST(scatter_subqueries, SilentHostIsLateAndServersAreAskedInTime)
{
  Serve();
  CHECK(Stamps() == (std::vector<std::string>{ "direct-s", "direct-t" }));
  CHECK(mEnds == std::vector<subquery_end>{ subquery_end::Late });
  CHECK(Now() < mRequest.mSoftDeadline);
}

TEST(scatter_subqueries, ResponseComesBeforeWhatIsLeftIsCancelled)
{
  Serve();
  LONGS_EQUAL(1, mCancelled);
  LONGS_EQUAL(0, mCancelledBeforeResponse);
}

TEST(scatter_subqueries, FailureWithoutAServerUsesNoAttempt)
{
  mDirectOutcome = attempt_status::Failed;
  mScript = [](const subquery_callback& aCallback) {
    subquery_update update;
    update.mParts = { Part("s") };
    update.mFailures = { { service_id{ "t" }, server_id{}, false } };
    aCallback(Last(update));
  };
  Serve();
  LONGS_EQUAL(2, mSentTo["t"].size());
}

TEST(scatter_subqueries, CallerThatLeavesCancelsTheSubquery)
{
  mRequest.mCaller = std::make_shared<caller_status>();
  mScript = [this](const subquery_callback& /*aCallback*/) {
    mRequest.mCaller->Disconnect();
  };
  Serve();
  LONGS_EQUAL(1, mCancelled);
  CHECK(mSentTo.empty());
}

TEST(scatter_subqueries, SubqueryNamesTheTimeThatIsLeft)
{
  Serve();
  const subquery& sent = mSubqueries.at(0);
  CHECK(sent.mTimeLeft <= milliseconds(400));
  CHECK(sent.mTimeLeft > milliseconds(350));
  CHECK(sent.mReportAfter <= milliseconds(195));
  LONGS_EQUAL(3, sent.mTopRecords);
}

// Guards against a subquery that names a service twice, as hosts of an earlier
// version send it where the configuration does.
TEST(scatter_subqueries, AReceivedSubqueryAsksEachServiceOnce)
{
  subquery received;
  received.mForwarded = mRequest.mForwarded;
  received.mBody = std::make_shared<const std::string>();
  received.mTimeLeft = milliseconds(400);
  received.mServices = { service_id{ "s" },
                         service_id{ "t" },
                         service_id{ "s" } };
  mRequest = ToContext(
    received, nullptr, [](const subquery_update& /*aUpdate*/) {}, Now());
  mDirectOutcome = attempt_status::Reset;
  Serve();
  LONGS_EQUAL(1, mSentTo["s"].size());
  LONGS_EQUAL(1, mSentTo["t"].size());
  LONGS_EQUAL(2, mRequest.mFailures.size());
  LONGS_EQUAL(2, mRequest.mMissing.size());
}

// Guards against more extra attempts than the hosts may make together, since
// the host that sent a subquery and the one that received it counted each
// attempt.
TEST(scatter_subqueries, OnlyTheHostThatSentASubqueryCountsItsAttempts)
{
  mSharedLimits = { 1.0, 0, milliseconds(10'000) };
  mScript = [](const subquery_callback& aCallback) {
    subquery_update update;
    update.mParts = { Part("s"), Part("t") };
    update.mRecords = kRecordA;
    aCallback(Last(update));
  };
  Serve();
  for (const char* service : { "s", "t" }) {
    CHECK(mBudgets.SpendHedge(service_id{ service }, Now()));
    CHECK(!mBudgets.SpendHedge(service_id{ service }, Now()));
  }

  subquery received = mSubqueries.at(0);
  received.mBody = std::make_shared<const std::string>();
  mRequest = ToContext(
    received, nullptr, [](const subquery_update& /*aUpdate*/) {}, Now());
  mContext.restart();
  Serve();
  for (const char* service : { "s", "t" }) {
    LONGS_EQUAL(1, mSentTo[service].size());
    CHECK(!mBudgets.SpendHedge(service_id{ service }, Now()));
  }
}

// Guards against records that are in the response twice, since the report of a
// subquery has the part of one service twice.
TEST(scatter_subqueries, AReportThatNamesAServiceTwiceIsNotMerged)
{
  mScript = [](const subquery_callback& aCallback) {
    subquery_update update;
    update.mParts = { Part("s"), Part("t"), Part("s") };
    update.mRecords = kRecordC + kRecordC + kRecordA;
    aCallback(Last(update));
  };
  Serve();
  CHECK(Stamps() == (std::vector<std::string>{ "direct-s", "direct-t" }));
  CHECK(mRequest.mResponse->mBody == kRecordB + kRecordB);
  LONGS_EQUAL(1, mSentTo["s"].size());
  LONGS_EQUAL(1, mSentTo["t"].size());
}

// Guards against records that are in the response twice, since a host reports
// on a service that another host was asked for.
TEST(scatter_subqueries, AReportOnAServiceOfAnotherSubqueryIsNotUsed)
{
  mIsDividedInTwo = true;
  int reports = 0;
  mScript = [&](const subquery_callback& aCallback) {
    subquery_update update;
    update.mParts = { Part("t") };
    if (++reports == 1) {
      update.mParts.push_back(Part("s"));
    }
    update.mRecords = reports == 1 ? kRecordC + kRecordA : kRecordA;
    aCallback(Last(update));
  };
  Serve();
  CHECK(Stamps() == (std::vector<std::string>{ "direct-s", "via-t" }));
  CHECK(mRequest.mResponse->mBody == kRecordB + kRecordA);
}

// Guards against a service that is asked once more than the request may, since
// a host reports the failure of a service that another host was asked for.
TEST(scatter_subqueries, AFailureOfAServiceOfAnotherSubqueryIsNotUsed)
{
  mIsDividedInTwo = true;
  int reports = 0;
  mScript = [&](const subquery_callback& aCallback) {
    bool isFirst = ++reports == 1;
    subquery_update update;
    update.mParts = { Part(isFirst ? "s" : "t") };
    update.mRecords = kRecordA;
    if (isFirst) {
      update.mFailures = { { service_id{ "t" }, server_id{ "t1" }, true } };
    }
    aCallback(Last(update));
  };
  Serve();
  CHECK(Stamps() == (std::vector<std::string>{ "via-s", "via-t" }));
  CHECK(mSentTo.empty());
}
