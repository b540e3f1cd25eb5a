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
constexpr milliseconds kAskPause{ 50 };
constexpr std::chrono::seconds kProgressPause{ 1 };

struct caller_connection
{
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
};

struct sent_request
{
  const load_share* mShare = nullptr;
  std::string mRequest;
  std::string mBody;
  steady_time mDueAt;
};

struct exchange_order
{
  std::string mMethod;
  std::string mAddress;
  std::string mPath;
  std::string mRequest;
  std::string mBody;
  std::string mKey;
};

struct reply
{
  bool mIsWhole = false;
  unsigned mStatus = 0;
  std::string mBody;
};

/** One run of a plan, on one thread. */
class load_run
{
  const load_plan& mPlan;
  asio::io_context mContext{ 1 };
  std::mt19937_64 mRandom;
  std::map<std::string, std::vector<std::shared_ptr<caller_connection>>> mIdle;
  std::vector<std::string> mHosts;
  std::size_t mNextHost = 0;
  load_counts mCounts;
  std::ofstream mHistory;
  steady_time mStartedAt;
  std::uint64_t mUnderWay = 0;
  bool mIsSending = true;

public:
  explicit load_run(const load_plan& aPlan)
    : mPlan(aPlan)
    , mRandom(aPlan.mSeed)
  {
  }

  result<load_counts, tool_error> Run()
  {
    if (!mPlan.mHistory.empty()) {
      mHistory.open(mPlan.mHistory);
      if (!mHistory) {
        return Fail(tool_error::CannotWrite, "Can't write " + mPlan.mHistory);
      }
    }
    for (const load_share& share : mPlan.mMix) {
      mCounts[NameOfShare(share)];
    }
    mStartedAt = std::chrono::steady_clock::now();
    asio::co_spawn(mContext, SendAll(), asio::detached);
    asio::co_spawn(mContext, KeepList(), asio::detached);
    asio::co_spawn(mContext, ShowProgress(), asio::detached);
    mContext.run();
    return std::move(mCounts);
  }

private:
  static std::string NameOfShare(const load_share& aShare)
  {
    return aShare.mTeam + (aShare.mIsRun ? "/run" : "/query");
  }

  [[nodiscard]] double Elapsed() const
  {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         mStartedAt)
      .count();
  }

  asio::awaitable<void> KeepList()
  {
    asio::steady_timer pause(mContext);
    std::size_t turn = 0;
    while (mIsSending) {
      // A host of the old list knows the new one; the first ones always do.
      const std::string& address = mPlan.mAsk[turn++ % mPlan.mAsk.size()];
      exchange_order ask;
      ask.mMethod = "GET";
      ask.mAddress = address;
      ask.mPath = "/v1/entry-hosts?failure_domain=" + mPlan.mFailureDomain;
      reply list = co_await Exchange(std::move(ask));
      milliseconds keep = TakeList(list);
      pause.expires_after(keep);
      co_await pause.async_wait(kNoThrow);
    }
  }

  milliseconds TakeList(const reply& aList)
  {
    json::error_code error;
    json::value body = json::parse(aList.mBody, error);
    if (!aList.mIsWhole || error || !body.is_object()) {
      return kAskPause;
    }
    std::vector<std::string> hosts;
    const json::object& object = body.get_object();
    for (const json::value& host : object.at("entry_hosts").as_array()) {
      hosts.emplace_back(host.as_object().at("address").as_string());
    }
    if (hosts.empty()) {
      return kAskPause;
    }
    mHosts = std::move(hosts);
    return milliseconds(object.at("keep_for_ms").to_number<std::int64_t>());
  }

  asio::awaitable<void> SendAll()
  {
    asio::steady_timer timer(mContext);
    while (mHosts.empty() && Elapsed() < mPlan.mSeconds) {
      timer.expires_after(kAskPause);
      co_await timer.async_wait(kNoThrow);
    }
    std::vector<double> weights;
    for (const load_share& share : mPlan.mMix) {
      weights.push_back(share.mWeight);
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(),
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
      std::exponential_distribution<double> gap(rate);
      due += gap(mRandom);
      sent_request request;
      request.mDueAt =
        mStartedAt + std::chrono::duration_cast<steady_time::duration>(
                       std::chrono::duration<double>(due));
      request.mShare = &mPlan.mMix[pick(mRandom)];
      request.mRequest = "load-" + std::to_string(mPlan.mSeed) + "-" +
                         std::to_string(getpid()) + "-" +
                         std::to_string(++number);
      request.mBody = MakeBody(number);
      timer.expires_at(request.mDueAt);
      co_await timer.async_wait(kNoThrow);
      ++mUnderWay;
      asio::co_spawn(mContext, Send(std::move(request)), asio::detached);
    }
    mIsSending = false;
  }

  std::string MakeBody(std::uint64_t aNumber)
  {
    std::uint64_t which =
      mPlan.mBodies == 0 ? aNumber : aNumber % mPlan.mBodies;
    std::string body =
      "body " + std::to_string(mPlan.mSeed) + "-" + std::to_string(which) + " ";
    body.resize(std::max(body.size(), mPlan.mBodyBytes), '.');
    return body;
  }

  asio::awaitable<void> Send(sent_request aRequest)
  {
    const load_share& share = *aRequest.mShare;
    std::string path =
      "/v1/teams/" + share.mTeam + (share.mIsRun ? "/run" : "/query");
    std::uint32_t resends = 0;
    reply answer;
    std::string host;
    while (true) {
      host = mHosts[mNextHost++ % mHosts.size()];
      exchange_order order;
      order.mMethod = "POST";
      order.mAddress = host;
      order.mPath = path;
      order.mRequest = aRequest.mRequest;
      order.mBody = aRequest.mBody;
      if (share.mIsRun) {
        order.mKey = aRequest.mRequest;
      }
      answer = co_await Exchange(std::move(order));
      if (answer.mIsWhole || resends == mPlan.mResends) {
        break;
      }
      ++resends;
    }
    Count(aRequest, answer, host, resends);
    --mUnderWay;
  }

  asio::awaitable<reply> Exchange(exchange_order aOrder)
  {
    reply answer;
    auto& idle = mIdle[aOrder.mAddress];
    std::shared_ptr<caller_connection> connection;
    if (!idle.empty()) {
      connection = std::move(idle.back());
      idle.pop_back();
    } else {
      connection = std::make_shared<caller_connection>(
        caller_connection{ beast::tcp_stream(mContext), {} });
      auto address = ParseAddress(aOrder.mAddress);
      connection->mStream.expires_after(mPlan.mTimeout);
      tcp::endpoint endpoint(asio::ip::make_address(address->mIp),
                             address->mPort);
      auto [error] =
        co_await connection->mStream.async_connect(endpoint, kNoThrow);
      if (error) {
        co_return answer;
      }
      beast::error_code ignored;
      connection->mStream.socket().set_option(tcp::no_delay(true), ignored);
    }
    http::request<http::string_body> request(
      http::string_to_verb(aOrder.mMethod), aOrder.mPath, 11);
    request.set(http::field::host, aOrder.mAddress);
    if (!aOrder.mRequest.empty()) {
      request.set("Request-Id", aOrder.mRequest);
    }
    if (!aOrder.mKey.empty()) {
      request.set("Idempotency-Key", aOrder.mKey);
    }
    request.body() = std::move(aOrder.mBody);
    request.prepare_payload();
    connection->mStream.expires_after(mPlan.mTimeout);
    auto [failed, written] =
      co_await http::async_write(connection->mStream, request, kNoThrow);
    if (failed) {
      co_return answer;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::uint64_t(64) << 20U);
    auto [error, count] = co_await http::async_read(
      connection->mStream, connection->mBuffer, parser, kNoThrow);
    if (error) {
      co_return answer;
    }
    answer.mIsWhole = true;
    answer.mStatus = parser.get().result_int();
    answer.mBody = std::move(parser.get().body());
    if (parser.keep_alive()) {
      connection->mStream.expires_never();
      mIdle[aOrder.mAddress].push_back(std::move(connection));
    }
    co_return answer;
  }

  void Count(const sent_request& aRequest,
             const reply& aAnswer,
             const std::string& aHost,
             std::uint32_t aResends)
  {
    auto now = std::chrono::steady_clock::now();
    double tookMs =
      std::chrono::duration<double, std::milli>(now - aRequest.mDueAt).count();
    double dueAt =
      std::chrono::duration<double>(aRequest.mDueAt - mStartedAt).count();
    json::error_code error;
    json::value body = json::parse(aAnswer.mBody, error);
    if (mHistory.is_open()) {
      WriteHistory(aRequest, aAnswer, aHost, aResends, tookMs, body);
    }
    if (dueAt < mPlan.mWarmSeconds) {
      return;
    }
    load_count& count = mCounts[NameOfShare(*aRequest.mShare)];
    ++count.mSent;
    count.mResent += aResends;
    if (!aAnswer.mIsWhole) {
      ++count.mLost;
      return;
    }
    if (aAnswer.mStatus != 200) {
      ++count.mRefused[RefusalOf(body)];
      return;
    }
    ++count.mAnswered;
    count.mLatency(tookMs);
    count.mLongestMs = std::max(count.mLongestMs, tookMs);
    double coverage = CoverageOf(body);
    count.mCoverageSum += coverage;
    count.mPartial += coverage < 1 ? 1 : 0;
  }

  static std::string RefusalOf(const json::value& aBody)
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

  void WriteHistory(const sent_request& aRequest,
                    const reply& aAnswer,
                    const std::string& aHost,
                    std::uint32_t aResends,
                    double aTookMs,
                    const json::value& aBody)
  {
    json::object line{
      { "request", aRequest.mRequest },
      { "kind", NameOfShare(*aRequest.mShare) },
      { "due_s",
        std::chrono::duration<double>(aRequest.mDueAt - mStartedAt).count() },
      { "took_ms", aTookMs },
      { "host", aHost },
      { "resends", aResends },
      { "status", aAnswer.mStatus }
    };
    line["coverage"] = CoverageOf(aBody);
    if (aAnswer.mIsWhole && aAnswer.mStatus != 200) {
      line["refusal"] = RefusalOf(aBody);
    }
    mHistory << json::serialize(line) << "\n";
  }

  asio::awaitable<void> ShowProgress()
  {
    asio::steady_timer pause(mContext);
    bool isTerminal = isatty(STDERR_FILENO) != 0;
    while (mIsSending || mUnderWay > 0) {
      pause.expires_after(isTerminal ? kProgressPause
                                     : std::chrono::seconds(1));
      co_await pause.async_wait(kNoThrow);
      if (!isTerminal) {
        continue;
      }
      std::uint64_t sent = 0;
      std::uint64_t answered = 0;
      for (const auto& [name, count] : mCounts) {
        sent += count.mSent;
        answered += count.mAnswered;
      }
      std::cerr << "\r" << NumberText(Elapsed(), 0) << " s of "
                << NumberText(mPlan.mSeconds, 0) << ", sent " << sent
                << ", answered " << answered << ", under way " << mUnderWay
                << "   " << std::flush;
    }
    if (isTerminal) {
      std::cerr << "\n";
    }
  }
};

}

result<load_counts, tool_error>
RunLoadPlan(const load_plan& aPlan)
{
  load_run run(aPlan);
  return run.Run();
}

json::object
EncodeCounts(const load_counts& aCounts)
{
  json::object kinds;
  for (const auto& [name, count] : aCounts) {
    double answered =
      static_cast<double>(std::max<std::uint64_t>(1, count.mAnswered));
    json::object refused;
    for (const auto& [reason, number] : count.mRefused) {
      refused[reason] = number;
    }
    kinds[name] = { { "sent", count.mSent },
                    { "answered", count.mAnswered },
                    { "partial", count.mPartial },
                    { "lost", count.mLost },
                    { "resent", count.mResent },
                    { "mean_coverage", count.mCoverageSum / answered },
                    { "p50_ms", QuantileOf(count.mLatency, 0.5) },
                    { "p90_ms", QuantileOf(count.mLatency, 0.9) },
                    { "p99_ms", QuantileOf(count.mLatency, 0.99) },
                    { "p999_ms", QuantileOf(count.mLatency, 0.999) },
                    { "longest_ms", count.mLongestMs },
                    { "refused", std::move(refused) } };
  }
  return kinds;
}

}
