#include "tests/standin/server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>

namespace standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using hibiscusspool::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds kAnnounceInterval{ 1000 };
constexpr milliseconds kAnnounceTimeout{ 3500 };
constexpr milliseconds kRestartDelay{ 1500 };
/** A server that gets a body with this word crashes. */
constexpr std::string_view kCrashMarker = "CRASH";

steady_clock::duration
Ms(double aCount)
{
  return std::chrono::duration_cast<steady_clock::duration>(
    std::chrono::duration<double, std::milli>(aCount));
}

tcp::endpoint
ToEndpoint(const std::string& aAddress)
{
  std::size_t colon = aAddress.rfind(':');
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))) };
}

}

struct server::handler_result
{
  http::status mStatus = http::status::ok;
  std::string mBody;
  bool mNotRun = false;
  bool mClosesConnection = false;
  bool mTruncates = false;
  /** The server crashes and resets all its connections. */
  bool mCrashes = false;
};

server::server(asio::io_context& aContext,
               server_options aOptions,
               std::vector<std::string> aAnnounceAddresses,
               std::uint64_t aSeed)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mIncarnation(static_cast<std::uint64_t>(
      hibiscusspool::ToWallMs(std::chrono::system_clock::now())))
  , mAnnounceAddresses(std::move(aAnnounceAddresses))
  , mRandom(aSeed)
  , mAcceptor(aContext)
  , mAnnounceTimer(aContext)
{
}

bool
server::Listen()
{
  beast::error_code error;
  tcp::endpoint endpoint = ToEndpoint(mOptions.mAddress);
  mAcceptor = tcp::acceptor(mContext);
  mAcceptor.open(endpoint.protocol(), error);
  mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
  mAcceptor.bind(endpoint, error);
  if (error) {
    return false;
  }
  // Port 0 selects a free port, which is then kept across restarts.
  tcp::endpoint bound = mAcceptor.local_endpoint(error);
  mOptions.mAddress =
    bound.address().to_string() + ":" + std::to_string(bound.port());
  mAcceptor.listen(1024, error);
  asio::co_spawn(
    mContext,
    [self = shared_from_this()]() { return self->Accept(); },
    asio::detached);
  return !error;
}

bool
server::Start()
{
  if (!Listen()) {
    return false;
  }
  asio::co_spawn(
    mContext,
    [self = shared_from_this()]() { return self->Announce(); },
    asio::detached);
  return true;
}

asio::awaitable<void>
server::Accept()
{
  while (!mIsDown) {
    auto [error, socket] = co_await mAcceptor.async_accept(kNoThrow);
    if (error) {
      co_return;
    }
    if (mOpenConnections.size() >= mOptions.mConnections) {
      ++mCounts.mOverConnections;
      continue;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::uint64_t number = mNextConnection++;
    auto connection = std::make_shared<tcp::socket>(std::move(socket));
    mOpenConnections[number] = connection;
    mCounts.mMaxOpenConnections = std::max<std::uint64_t>(
      mCounts.mMaxOpenConnections, mOpenConnections.size());
    asio::co_spawn(
      mContext,
      [self = shared_from_this(), connection, number]() {
        return self->Serve(connection, number);
      },
      asio::detached);
  }
}

asio::awaitable<void>
server::Serve(std::shared_ptr<tcp::socket> aSocket, std::uint64_t aNumber)
{
  beast::flat_buffer buffer;
  if (mOptions.mConnectDelayMs > 0) {
    asio::steady_timer connectDelay(mContext, Ms(mOptions.mConnectDelayMs));
    co_await connectDelay.async_wait(kNoThrow);
  }
  while (true) {
    http::request<http::string_body> request;
    auto [error, count] =
      co_await http::async_read(*aSocket, buffer, request, kNoThrow);
    if (error || mOptions.mIsSilent || !mOpenConnections.contains(aNumber)) {
      if (!error) {
        // Keep the connection open without ever responding.
        mOpenConnections[aNumber] = aSocket;
        co_return;
      }
      break;
    }
    std::int64_t deadline = 0;
    auto text = request["Deadline-Ms"];
    std::from_chars(text.data(), text.data() + text.size(), deadline);
    handler_result result =
      co_await Handle(std::string(request.method_string()),
                      std::string(request.target()),
                      request.body(),
                      std::string(request["Request-Id"]),
                      std::string(request["Snapshot"]),
                      std::string(request["Idempotency-Key"]),
                      deadline);
    if (result.mCrashes) {
      Crash();
      auto timer =
        std::make_shared<asio::steady_timer>(mContext, kRestartDelay);
      timer->async_wait(
        [self = shared_from_this(), timer](auto) { self->Restart(true); });
      co_return;
    }
    if (result.mClosesConnection || !mOpenConnections.contains(aNumber)) {
      break;
    }
    http::response<http::string_body> response(result.mStatus, 11);
    response.set("Request-Id",
                 mOptions.mWrongId ? std::string("of-another-request")
                                   : std::string(request["Request-Id"]));
    std::string snapshot(request["Snapshot"]);
    response.set("Snapshot", mOptions.mWrongSnapshot ? "999999" : snapshot);
    response.set("Load",
                 std::to_string(static_cast<double>(mRunning) /
                                std::max(1U, mOptions.mSlots)));
    if (result.mNotRun) {
      response.set("Not-Run", "true");
    }
    if (result.mNotRun && mOptions.mPauseMs > 0) {
      constexpr double kMsPerSecond = 1000;
      response.set("Retry-After",
                   std::to_string(mOptions.mPauseMs / kMsPerSecond));
    }
    if (mOptions.mIsLeaving) {
      response.set("Leaving", "true");
    }
    if (mOptions.mRatePerSecond >= 0) {
      response.set("Rate-Limit", std::to_string(mOptions.mRatePerSecond));
    }
    response.body() = std::move(result.mBody);
    response.prepare_payload();
    if (result.mTruncates) {
      std::string truncated = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n"
                              "Request-Id: " +
                              std::string(request["Request-Id"]) +
                              "\r\nSnapshot: " + snapshot + "\r\n\r\nhalf";
      co_await asio::async_write(*aSocket, asio::buffer(truncated), kNoThrow);
      break;
    }
    auto [failed, written] =
      co_await http::async_write(*aSocket, response, kNoThrow);
    if (failed || !request.keep_alive()) {
      break;
    }
  }
  mOpenConnections.erase(aNumber);
  beast::error_code ignored;
  aSocket->close(ignored);
}

void
server::CountArrival()
{
  constexpr milliseconds kWindow{ 4000 };
  auto now = steady_clock::now();
  bool isCounted = mOptions.mRatePerSecond >= 0 && now >= mRateSince + kWindow;
  if (!isCounted) {
    return;
  }
  mArrivals.push_back(now);
  while (mArrivals.front() + kWindow <= now) {
    mArrivals.pop_front();
  }
  mCounts.mMaxInRateWindow =
    std::max<std::uint64_t>(mCounts.mMaxInRateWindow, mArrivals.size());
}

asio::awaitable<bool>
server::AcquireSlot(steady_clock::time_point aDeadline)
{
  std::uint32_t slots = mOptions.mSlots;
  if (mRunning < slots) {
    ++mRunning;
    co_return true;
  }
  auto waiter = std::make_shared<asio::steady_timer>(mContext, aDeadline);
  mWaiters.push_back(waiter);
  co_await waiter->async_wait(kNoThrow);
  auto found = std::find(mWaiters.begin(), mWaiters.end(), waiter);
  if (found != mWaiters.end()) {
    mWaiters.erase(found);
    co_return false;
  }
  // ReleaseSlot() removed this waiter and passed its slot on.
  co_return true;
}

void
server::ReleaseSlot()
{
  if (!mWaiters.empty()) {
    auto next = mWaiters.front();
    mWaiters.pop_front();
    next->cancel();
    return;
  }
  --mRunning;
}

asio::awaitable<void>
server::SimulateWork(const std::string& aRequest)
{
  std::exponential_distribution<double> variation(1.0);
  // Half of the service time is constant, half exponentially distributed.
  double factor = 0.5 + 0.5 * variation(mRandom);
  double coldFactor = IsCold() ? 3 : 1;
  auto end = steady_clock::now() + Ms(mOptions.mServiceMs * factor *
                                      mOptions.mSlowFactor * coldFactor);
  asio::steady_timer timer(mContext);
  while (steady_clock::now() < end && !mCancelled.contains(aRequest)) {
    timer.expires_at(std::min(end, steady_clock::now() + Ms(5)));
    co_await timer.async_wait(kNoThrow);
  }
}

asio::awaitable<server::handler_result>
server::Handle(const std::string& aMethod,
               const std::string& aTarget,
               const std::string& aBody,
               const std::string& aRequest,
               const std::string& aSnapshot,
               const std::string& aKey,
               std::int64_t aDeadlineMs)
{
  handler_result result;
  if (aMethod == "DELETE") {
    ++mCounts.mCancels;
    mCancelled.insert(aTarget.substr(aTarget.rfind('/') + 1));
    if (mCancelled.size() > 10'000) {
      mCancelled.clear();
    }
    co_return result;
  }
  CountArrival();
  if (mOptions.mNetworkDelayMs > 0) {
    asio::steady_timer delay(mContext, Ms(mOptions.mNetworkDelayMs * 2));
    co_await delay.async_wait(kNoThrow);
  }
  if (mOptions.mClosesConnections) {
    result.mClosesConnection = true;
    co_return result;
  }
  bool shedsAll = mOptions.mShedsAll || mOptions.mPauseMs > 0;
  if (shedsAll || mWaiters.size() >= mOptions.mMaxQueued) {
    ++mCounts.mSheds;
    result.mStatus = http::status::service_unavailable;
    result.mNotRun = true;
    co_return result;
  }
  mCounts.mRequestsWhileDraining += mAnnouncedState == "draining" ? 1 : 0;
  std::uint32_t inFlight =
    mRunning + static_cast<std::uint32_t>(mWaiters.size()) + 1;
  if (IsCold()) {
    mCounts.mMaxColdRequests =
      std::max<std::uint64_t>(mCounts.mMaxColdRequests, inFlight);
    if (inFlight > mOptions.mColdSlots) {
      ++mCounts.mOverColdSlots;
      result.mCrashes = mOptions.mCrashesOnColdOverload;
      mCounts.mCrashes += mOptions.mCrashesOnColdOverload ? 1 : 0;
      if (result.mCrashes) {
        co_return result;
      }
    }
  }
  auto wait = milliseconds(aDeadlineMs > 0 ? aDeadlineMs : 10'000);
  bool hasSlot = co_await AcquireSlot(steady_clock::now() + wait);
  if (!hasSlot) {
    result.mStatus = http::status::service_unavailable;
    result.mNotRun = true;
    ++mCounts.mSheds;
    co_return result;
  }
  if (aBody.find(kCrashMarker) != std::string::npos) {
    ++mCounts.mCrashes;
    ReleaseSlot();
    result.mCrashes = true;
    co_return result;
  }
  bool isRun = aTarget == "/v1/run";
  if (isRun) {
    ++mCounts.mRuns;
    ++mRunsByKey[aKey];
  } else {
    ++mCounts.mSearches;
  }
  co_await SimulateWork(aRequest);
  ReleaseSlot();
  result.mTruncates = mOptions.mTruncates;
  result.mBody = isRun ? "done " + aKey + " by " + mOptions.mName
                       : mOptions.mService + "@" + aSnapshot;
  co_return result;
}

std::string
server::Announcement() const
{
  json::array snapshots(mOptions.mSnapshots.begin(), mOptions.mSnapshots.end());
  return json::serialize(
    json::object{ { "server", mOptions.mName },
                  { "incarnation", mIncarnation },
                  { "service", mOptions.mService },
                  { "failure_domain", mOptions.mFailureDomain },
                  { "address", mOptions.mAddress },
                  { "slots", mOptions.mSlots },
                  { "connections", mOptions.mConnections },
                  { "cold_slots", mOptions.mColdSlots },
                  { "state", mOptions.mState },
                  { "snapshots", std::move(snapshots) } });
}

asio::awaitable<bool>
server::AnnounceOnce(const std::string& aAddress)
{
  beast::tcp_stream stream(mContext);
  stream.expires_after(kAnnounceTimeout);
  auto [connectError] =
    co_await stream.async_connect(ToEndpoint(aAddress), kNoThrow);
  if (connectError) {
    co_return false;
  }
  http::request<http::string_body> request(
    http::verb::post, "/v1/announce", 11);
  request.set(http::field::host, aAddress);
  request.keep_alive(false);
  std::string state = mOptions.mState;
  request.body() = Announcement();
  request.prepare_payload();
  auto [writeError, written] =
    co_await http::async_write(stream, request, kNoThrow);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  if (writeError) {
    co_return false;
  }
  auto [readError, count] =
    co_await http::async_read(stream, buffer, response, kNoThrow);
  bool isAccepted = !readError && response.result() == http::status::ok;
  if (isAccepted) {
    mAnnouncedState = state;
  }
  co_return isAccepted;
}

asio::awaitable<void>
server::Announce()
{
  std::uniform_int_distribution<std::size_t> pick(
    0, mAnnounceAddresses.size() - 1);
  std::string leaseHolder = mAnnounceAddresses[pick(mRandom)];
  while (!mIsStopped) {
    bool isActive = !mIsDown && mOptions.mAnnounces;
    bool isAccepted = !isActive || co_await AnnounceOnce(leaseHolder);
    mAnnouncedTo = isAccepted ? leaseHolder : "";
    if (!isAccepted) {
      leaseHolder = mAnnounceAddresses[pick(mRandom)];
    }
    mAnnounceTimer.expires_after(isAccepted ? kAnnounceInterval
                                            : milliseconds(100));
    co_await mAnnounceTimer.async_wait(kNoThrow);
  }
}

void
server::Crash()
{
  mIsDown = true;
  beast::error_code ignored;
  mAcceptor.close(ignored);
  for (auto& [number, socket] : mOpenConnections) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  mOpenConnections.clear();
}

void
server::Restart(bool aIsCold)
{
  if (!mIsDown) {
    return;
  }
  mIsDown = false;
  ++mIncarnation;
  mOptions.mState = aIsCold ? "cold" : "ready";
  Listen();
  mAnnounceTimer.cancel();
  if (!aIsCold) {
    return;
  }
  auto warmupTimer =
    std::make_shared<asio::steady_timer>(mContext, milliseconds(3000));
  warmupTimer->async_wait([self = shared_from_this(), warmupTimer](auto) {
    if (self->mOptions.mState == "cold") {
      self->mOptions.mState = "ready";
      self->mAnnounceTimer.cancel();
    }
  });
}

void
server::SilenceOpenConnections()
{
  // The sockets are held for 5 minutes but are no longer served.
  std::map<std::uint64_t, std::shared_ptr<tcp::socket>> silenced;
  silenced.swap(mOpenConnections);
  for (auto& [number, socket] : silenced) {
    beast::error_code ignored;
    socket->cancel(ignored);
    auto holdTimer =
      std::make_shared<asio::steady_timer>(mContext, std::chrono::minutes(5));
    holdTimer->async_wait([holdTimer, connection = socket](auto) {});
  }
}

bool
server::ApplyOptions(const json::object& aOptions)
{
  auto number = [](const json::value& aValue) {
    return aValue.to_number<double>();
  };
  for (const auto& [key, value] : aOptions) {
    if (key == "state") {
      mOptions.mState = std::string(value.as_string());
    } else if (key == "slow_factor") {
      mOptions.mSlowFactor = number(value);
    } else if (key == "service_ms") {
      mOptions.mServiceMs = number(value);
    } else if (key == "sheds") {
      mOptions.mShedsAll = value.as_bool();
    } else if (key == "pause_ms") {
      mOptions.mPauseMs = static_cast<std::uint32_t>(number(value));
    } else if (key == "leaving") {
      mOptions.mIsLeaving = value.as_bool();
    } else if (key == "rate_per_second") {
      mOptions.mRatePerSecond = number(value);
      mRateSince = steady_clock::now();
      mArrivals.clear();
      mCounts.mMaxInRateWindow = 0;
    } else if (key == "resets") {
      mOptions.mClosesConnections = value.as_bool();
    } else if (key == "silent") {
      mOptions.mIsSilent = value.as_bool();
    } else if (key == "wrong_id") {
      mOptions.mWrongId = value.as_bool();
    } else if (key == "truncates") {
      mOptions.mTruncates = value.as_bool();
    } else if (key == "wrong_snapshot") {
      mOptions.mWrongSnapshot = value.as_bool();
    } else if (key == "falls_over") {
      mOptions.mCrashesOnColdOverload = value.as_bool();
    } else if (key == "announces") {
      mOptions.mAnnounces = value.as_bool();
    } else if (key == "snapshots") {
      mOptions.mSnapshots = json::value_to<std::vector<std::uint64_t>>(value);
    } else if (key == "crash") {
      Crash();
    } else if (key == "restart") {
      Restart(value.as_bool());
    } else if (key == "silence_open") {
      SilenceOpenConnections();
    } else {
      return false;
    }
  }
  mAnnounceTimer.cancel();
  return true;
}

json::object
server::ToJson() const
{
  return { { "server", mOptions.mName },
           { "service", mOptions.mService },
           { "address", mOptions.mAddress },
           { "failure_domain", mOptions.mFailureDomain },
           { "state", mOptions.mState },
           { "announced_state", mAnnouncedState },
           { "announced_to", mAnnouncedTo },
           { "incarnation", mIncarnation },
           { "open", mOpenConnections.size() },
           { "running", mRunning },
           { "searches", mCounts.mSearches },
           { "runs", mCounts.mRuns },
           { "sheds", mCounts.mSheds },
           { "cancels", mCounts.mCancels },
           { "crashes", mCounts.mCrashes },
           { "over_connections", mCounts.mOverConnections },
           { "over_cold", mCounts.mOverColdSlots },
           { "most_open", mCounts.mMaxOpenConnections },
           { "most_cold", mCounts.mMaxColdRequests },
           { "max_in_rate_window", mCounts.mMaxInRateWindow },
           { "while_draining", mCounts.mRequestsWhileDraining } };
}

}
