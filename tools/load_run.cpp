#include "tools/load_run.h"

#include "core/address.h"
#include "tools/text_table.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fstream>
#include <iostream>
#include <random>

#include <unistd.h>

namespace hibiscusspool {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds kRetryDelay{ 50 };
constexpr std::chrono::seconds kProgressInterval{ 1 };

struct caller_connection
{
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
};

struct scheduled_request
{
  const load_mix_entry* mMixEntry = nullptr;
  std::string mRequestId;
  std::string mBody;
  steady_time mDueAt;
};

struct exchange_request
{
  std::string mMethod;
  std::string mAddress;
  std::string mPath;
  std::string mRequestId;
  std::string mBody;
  std::string mIdempotencyKey;
};

struct exchange_response
{
  bool mIsComplete = false;
  unsigned mStatus = 0;
  std::string mBody;
};

/** Executes one plan on a single thread. */
class load_run
{
  const load_plan& mPlan;
  asio::io_context mContext{ 1 };
  std::mt19937_64 mRandom;
  std::map<std::string, std::vector<std::shared_ptr<caller_connection>>>
    mIdleConnections;
  std::vector<std::string> mEntryHosts;
  std::size_t mNextHost = 0;
  load_stats_by_kind mStats;
  std::ofstream mHistory;
  steady_time mStartedAt;
  std::uint64_t mInFlight = 0;
  bool mIsSending = true;

public:
  explicit load_run(const load_plan& aPlan)
    : mPlan(aPlan)
    , mRandom(aPlan.mSeed)
  {
  }

  result<load_stats_by_kind, tool_error> Run()
  {
    if (!mPlan.mHistoryPath.empty()) {
      mHistory.open(mPlan.mHistoryPath);
      if (!mHistory) {
        return Fail(tool_error::CannotWrite,
                    "Can't write the history file " + mPlan.mHistoryPath);
      }
    }
    for (const load_mix_entry& entry : mPlan.mMix) {
      mStats[KindName(entry)];
    }
    mStartedAt = std::chrono::steady_clock::now();
    asio::co_spawn(mContext, SendAll(), asio::detached);
    asio::co_spawn(mContext, RefreshEntryHosts(), asio::detached);
    asio::co_spawn(mContext, ShowProgress(), asio::detached);
    mContext.run();
    return std::move(mStats);
  }

private:
  static std::string KindName(const load_mix_entry& aEntry)
  {
    return aEntry.mTeam + (aEntry.mIsRun ? "/run" : "/query");
  }

  [[nodiscard]] double Elapsed() const
  {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         mStartedAt)
      .count();
  }

  asio::awaitable<void> RefreshEntryHosts()
  {
    asio::steady_timer timer(mContext);
    std::size_t turn = 0;
    while (mIsSending) {
      // The configured addresses always serve the current list, so the hosts
      // of the cached list need not be asked.
      const std::string& address =
        mPlan.mDiscoveryAddresses[turn++ % mPlan.mDiscoveryAddresses.size()];
      exchange_request request;
      request.mMethod = "GET";
      request.mAddress = address;
      request.mPath = "/v1/entry-hosts?failure_domain=" + mPlan.mFailureDomain;
      exchange_response list = co_await Exchange(std::move(request));
      milliseconds refreshAfter = UpdateEntryHosts(list);
      timer.expires_after(refreshAfter);
      co_await timer.async_wait(kNoThrow);
    }
  }

  milliseconds UpdateEntryHosts(const exchange_response& aList)
  {
    json::error_code error;
    json::value body = json::parse(aList.mBody, error);
    if (!aList.mIsComplete || error || !body.is_object()) {
      return kRetryDelay;
    }
    std::vector<std::string> hosts;
    const json::object& object = body.get_object();
    for (const json::value& host : object.at("entry_hosts").as_array()) {
      hosts.emplace_back(host.as_object().at("address").as_string());
    }
    if (hosts.empty()) {
      return kRetryDelay;
    }
    mEntryHosts = std::move(hosts);
    return milliseconds(object.at("keep_for_ms").to_number<std::int64_t>());
  }

  asio::awaitable<void> SendAll()
  {
    asio::steady_timer timer(mContext);
    while (mEntryHosts.empty() && Elapsed() < mPlan.mSeconds) {
      timer.expires_after(kRetryDelay);
      co_await timer.async_wait(kNoThrow);
    }
    std::vector<double> weights;
    for (const load_mix_entry& entry : mPlan.mMix) {
      weights.push_back(entry.mWeight);
    }
    std::discrete_distribution<std::size_t> pickEntry(weights.begin(),
                                                      weights.end());
    std::uint64_t number = 0;
    mStartedAt = std::chrono::steady_clock::now();
    double due = 0;
    while (due < mPlan.mSeconds) {
      double rate = mPlan.RateAt(due);
      if (rate <= 0) {
        due += 0.01;
        continue;
      }
      std::exponential_distribution<double> interval(rate);
      due += interval(mRandom);
      scheduled_request request;
      request.mDueAt =
        mStartedAt + std::chrono::duration_cast<steady_time::duration>(
                       std::chrono::duration<double>(due));
      request.mMixEntry = &mPlan.mMix[pickEntry(mRandom)];
      request.mRequestId = "load-" + std::to_string(mPlan.mSeed) + "-" +
                           std::to_string(getpid()) + "-" +
                           std::to_string(++number);
      request.mBody = MakeBody(number);
      timer.expires_at(request.mDueAt);
      co_await timer.async_wait(kNoThrow);
      ++mInFlight;
      asio::co_spawn(mContext, Send(std::move(request)), asio::detached);
    }
    mIsSending = false;
  }

  std::string MakeBody(std::uint64_t aNumber)
  {
    std::uint64_t bodyNumber =
      mPlan.mDistinctBodies == 0 ? aNumber : aNumber % mPlan.mDistinctBodies;
    std::string body = "body " + std::to_string(mPlan.mSeed) + "-" +
                       std::to_string(bodyNumber) + " ";
    body.resize(std::max(body.size(), mPlan.mBodyBytes), '.');
    return body;
  }

  asio::awaitable<void> Send(scheduled_request aRequest)
  {
    const load_mix_entry& entry = *aRequest.mMixEntry;
    std::string path =
      "/v1/teams/" + entry.mTeam + (entry.mIsRun ? "/run" : "/query");
    std::uint32_t resends = 0;
    exchange_response response;
    std::string host;
    while (true) {
      host = mEntryHosts[mNextHost++ % mEntryHosts.size()];
      exchange_request request;
      request.mMethod = "POST";
      request.mAddress = host;
      request.mPath = path;
      request.mRequestId = aRequest.mRequestId;
      request.mBody = aRequest.mBody;
      if (entry.mIsRun) {
        request.mIdempotencyKey = aRequest.mRequestId;
      }
      response = co_await Exchange(std::move(request));
      if (response.mIsComplete || resends == mPlan.mMaxResends) {
        break;
      }
      ++resends;
    }
    RecordResult(aRequest, response, host, resends);
    --mInFlight;
  }

  asio::awaitable<exchange_response> Exchange(exchange_request aRequest)
  {
    exchange_response response;
    auto& idle = mIdleConnections[aRequest.mAddress];
    std::shared_ptr<caller_connection> connection;
    if (!idle.empty()) {
      connection = std::move(idle.back());
      idle.pop_back();
    } else {
      connection = std::make_shared<caller_connection>(
        caller_connection{ beast::tcp_stream(mContext), {} });
      auto address = ParseAddress(aRequest.mAddress);
      connection->mStream.expires_after(mPlan.mTimeout);
      tcp::endpoint endpoint(asio::ip::make_address(address->mIp),
                             address->mPort);
      auto [error] =
        co_await connection->mStream.async_connect(endpoint, kNoThrow);
      if (error) {
        co_return response;
      }
      beast::error_code ignored;
      connection->mStream.socket().set_option(tcp::no_delay(true), ignored);
    }
    http::request<http::string_body> request(
      http::string_to_verb(aRequest.mMethod), aRequest.mPath, 11);
    request.set(http::field::host, aRequest.mAddress);
    if (!aRequest.mRequestId.empty()) {
      request.set("Request-Id", aRequest.mRequestId);
    }
    if (!aRequest.mIdempotencyKey.empty()) {
      request.set("Idempotency-Key", aRequest.mIdempotencyKey);
    }
    request.body() = std::move(aRequest.mBody);
    request.prepare_payload();
    connection->mStream.expires_after(mPlan.mTimeout);
    auto [failed, written] =
      co_await http::async_write(connection->mStream, request, kNoThrow);
    if (failed) {
      co_return response;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::uint64_t(64) << 20U);
    auto [error, count] = co_await http::async_read(
      connection->mStream, connection->mBuffer, parser, kNoThrow);
    if (error) {
      co_return response;
    }
    response.mIsComplete = true;
    response.mStatus = parser.get().result_int();
    response.mBody = std::move(parser.get().body());
    if (parser.keep_alive()) {
      connection->mStream.expires_never();
      mIdleConnections[aRequest.mAddress].push_back(std::move(connection));
    }
    co_return response;
  }

  void RecordResult(const scheduled_request& aRequest,
                    const exchange_response& aResponse,
                    const std::string& aHost,
                    std::uint32_t aResends)
  {
    auto now = std::chrono::steady_clock::now();
    double latencyMs =
      std::chrono::duration<double, std::milli>(now - aRequest.mDueAt).count();
    double dueAt =
      std::chrono::duration<double>(aRequest.mDueAt - mStartedAt).count();
    json::error_code error;
    json::value body = json::parse(aResponse.mBody, error);
    if (mHistory.is_open()) {
      WriteHistory(aRequest, aResponse, aHost, aResends, latencyMs, body);
    }
    if (dueAt < mPlan.mWarmupSeconds) {
      return;
    }
    load_stats& stats = mStats[KindName(*aRequest.mMixEntry)];
    ++stats.mSent;
    stats.mResent += aResends;
    if (!aResponse.mIsComplete) {
      ++stats.mLost;
      return;
    }
    if (aResponse.mStatus != 200) {
      ++stats.mRefused[RefusalKey(body)];
      return;
    }
    ++stats.mAnswered;
    stats.mLatency(latencyMs);
    stats.mMaxLatencyMs = std::max(stats.mMaxLatencyMs, latencyMs);
    double coverage = CoverageOf(body);
    stats.mCoverageSum += coverage;
    stats.mPartial += coverage < 1 ? 1 : 0;
  }

  static std::string RefusalKey(const json::value& aBody)
  {
    json::error_code error;
    const json::value* reason = aBody.find_pointer("/refusal/reason", error);
    const json::value* ran = aBody.find_pointer("/refusal/ran", error);
    if (reason == nullptr || ran == nullptr) {
      return "other";
    }
    return std::string(reason->as_string()) + "/" +
           std::string(ran->as_string());
  }

  static double CoverageOf(const json::value& aBody)
  {
    const json::value* coverage =
      aBody.is_object() ? aBody.get_object().if_contains("coverage") : nullptr;
    return coverage != nullptr ? coverage->to_number<double>() : 1;
  }

  void WriteHistory(const scheduled_request& aRequest,
                    const exchange_response& aResponse,
                    const std::string& aHost,
                    std::uint32_t aResends,
                    double aLatencyMs,
                    const json::value& aBody)
  {
    json::object line{
      { "request", aRequest.mRequestId },
      { "kind", KindName(*aRequest.mMixEntry) },
      { "due_s",
        std::chrono::duration<double>(aRequest.mDueAt - mStartedAt).count() },
      { "took_ms", aLatencyMs },
      { "host", aHost },
      { "resends", aResends },
      { "status", aResponse.mStatus }
    };
    line["coverage"] = CoverageOf(aBody);
    if (aResponse.mIsComplete && aResponse.mStatus != 200) {
      line["refusal"] = RefusalKey(aBody);
    }
    mHistory << json::serialize(line) << "\n";
  }

  asio::awaitable<void> ShowProgress()
  {
    asio::steady_timer timer(mContext);
    bool isTerminal = isatty(STDERR_FILENO) != 0;
    while (mIsSending || mInFlight > 0) {
      timer.expires_after(isTerminal ? kProgressInterval
                                     : std::chrono::seconds(1));
      co_await timer.async_wait(kNoThrow);
      if (!isTerminal) {
        continue;
      }
      std::uint64_t sent = 0;
      std::uint64_t answered = 0;
      for (const auto& [name, stats] : mStats) {
        sent += stats.mSent;
        answered += stats.mAnswered;
      }
      std::cerr << "\r" << FormatNumber(Elapsed(), 0) << " s of "
                << FormatNumber(mPlan.mSeconds, 0) << ", sent " << sent
                << ", answered " << answered << ", in flight " << mInFlight
                << "   " << std::flush;
    }
    if (isTerminal) {
      std::cerr << "\n";
    }
  }
};

}

result<load_stats_by_kind, tool_error>
RunLoadPlan(const load_plan& aPlan)
{
  load_run run(aPlan);
  return run.Run();
}

json::object
EncodeStats(const load_stats_by_kind& aStats)
{
  json::object kinds;
  for (const auto& [name, stats] : aStats) {
    double answered =
      static_cast<double>(std::max<std::uint64_t>(1, stats.mAnswered));
    json::object refused;
    for (const auto& [reason, number] : stats.mRefused) {
      refused[reason] = number;
    }
    kinds[name] = { { "sent", stats.mSent },
                    { "answered", stats.mAnswered },
                    { "partial", stats.mPartial },
                    { "lost", stats.mLost },
                    { "resent", stats.mResent },
                    { "mean_coverage", stats.mCoverageSum / answered },
                    { "p50_ms", QuantileOf(stats.mLatency, 0.5) },
                    { "p90_ms", QuantileOf(stats.mLatency, 0.9) },
                    { "p99_ms", QuantileOf(stats.mLatency, 0.99) },
                    { "p999_ms", QuantileOf(stats.mLatency, 0.999) },
                    { "longest_ms", stats.mMaxLatencyMs },
                    { "refused", std::move(refused) } };
  }
  return kinds;
}

}
