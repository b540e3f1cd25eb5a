#include "tests/standin/direct_load.h"

#include "controllers/team_stats_controller.h"
#include "drivers/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <iostream>
#include <map>
#include <memory>
#include <random>

namespace standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using std::chrono::steady_clock;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/** One query on its way: the parts that are still to come. */
struct open_query
{
  steady_clock::time_point mDueAt;
  std::size_t mMissing = 0;
  bool mHasFailed = false;
};

class direct_load
{
  const direct_options& mOptions;
  asio::io_context mContext{ 1 };
  std::mt19937_64 mRandom;
  std::map<std::string, std::vector<std::string>> mServices;
  std::map<std::string, std::vector<std::shared_ptr<tcp::socket>>> mIdle;
  hibiscusspool::latency_histogram mLatency =
    hibiscusspool::MakeLatencyHistogram();
  std::uint64_t mDone = 0;
  std::uint64_t mFailed = 0;

public:
  explicit direct_load(const direct_options& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  int Run()
  {
    for (const std::string& admin : mOptions.mAdmins) {
      hibiscusspool::http_client_request order;
      order.mAddress = admin;
      order.mPath = "/";
      auto answer = hibiscusspool::SendHttpRequest(order);
      boost::json::value servers = boost::json::parse(answer.mBody);
      for (const auto& one : servers.as_array()) {
        std::string service(one.as_object().at("service").as_string());
        if (service.starts_with(mOptions.mPrefix)) {
          mServices[service].emplace_back(
            one.as_object().at("address").as_string());
        }
      }
    }
    asio::co_spawn(mContext, SendAll(), asio::detached);
    mContext.run();
    using hibiscusspool::QuantileOf;
    std::cout << "direct: " << mDone << " queries, " << mFailed
              << " failed, p50 " << QuantileOf(mLatency, 0.5) << " ms, p90 "
              << QuantileOf(mLatency, 0.9) << " ms, p99 "
              << QuantileOf(mLatency, 0.99) << " ms\n";
    return 0;
  }

private:
  asio::awaitable<void> SendAll()
  {
    asio::steady_timer timer(mContext);
    std::exponential_distribution<double> gap(mOptions.mRate);
    auto started = steady_clock::now();
    double due = 0;
    while (due < mOptions.mSeconds) {
      due += gap(mRandom);
      auto query = std::make_shared<open_query>();
      query->mDueAt =
        started + std::chrono::duration_cast<steady_clock::duration>(
                    std::chrono::duration<double>(due));
      query->mMissing = mServices.size();
      timer.expires_at(query->mDueAt);
      co_await timer.async_wait(kNoThrow);
      for (const auto& [service, addresses] : mServices) {
        std::uniform_int_distribution<std::size_t> pick(0,
                                                        addresses.size() - 1);
        asio::co_spawn(
          mContext, Ask(addresses[pick(mRandom)], query), asio::detached);
      }
    }
  }

  asio::awaitable<void> Ask(std::string aAddress,
                            std::shared_ptr<open_query> aQuery)
  {
    auto& idle = mIdle[aAddress];
    std::shared_ptr<tcp::socket> socket;
    beast::error_code error;
    if (!idle.empty()) {
      socket = std::move(idle.back());
      idle.pop_back();
    } else {
      socket = std::make_shared<tcp::socket>(mContext);
      std::size_t colon = aAddress.rfind(':');
      tcp::endpoint endpoint(
        asio::ip::make_address(aAddress.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
      auto [failed] = co_await socket->async_connect(endpoint, kNoThrow);
      error = failed;
      beast::error_code ignored;
      socket->set_option(tcp::no_delay(true), ignored);
    }
    http::request<http::string_body> request(
      http::verb::post, "/v1/search", 11);
    request.set("Request-Id", "direct");
    request.set("Snapshot", "1");
    request.set("Deadline-Ms", "1000");
    request.body() = "direct";
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!error) {
      auto [failed, written] =
        co_await http::async_write(*socket, request, kNoThrow);
      error = failed;
    }
    if (!error) {
      auto [failed, count] =
        co_await http::async_read(*socket, buffer, response, kNoThrow);
      error = failed;
    }
    if (!error) {
      mIdle[aAddress].push_back(std::move(socket));
    }
    aQuery->mHasFailed =
      aQuery->mHasFailed || error || response.result() != http::status::ok;
    if (--aQuery->mMissing > 0) {
      co_return;
    }
    ++mDone;
    mFailed += aQuery->mHasFailed ? 1 : 0;
    mLatency(std::chrono::duration<double, std::milli>(steady_clock::now() -
                                                       aQuery->mDueAt)
               .count());
  }
};

}

int
RunDirectLoad(const direct_options& aOptions)
{
  direct_load load(aOptions);
  return load.Run();
}

}
