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
constexpr milliseconds kRenew{ 1000 };
constexpr milliseconds kAnnounceTimeout{ 3500 };
constexpr milliseconds kCrashDown{ 1500 };
/** A body with this word crashes whoever runs it. */
constexpr std::string_view kPoison = "CRASH";

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

struct server::answer
{
  http::status mStatus = http::status::ok;
  std::string mBody;
  bool mNotRun = false;
  bool mCloses = false;
  bool mTruncates = false;
  /** The whole server goes down, and takes the connection along. */
  bool mCrashes = false;
};

server::server(asio::io_context& aContext,
               server_options aOptions,
               std::vector<std::string> aAnnounceTo,
               std::uint64_t aSeed)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mIncarnation(static_cast<std::uint64_t>(
      hibiscusspool::ToWallMs(std::chrono::system_clock::now())))
  , mAnnounceTo(std::move(aAnnounceTo))
  , mRandom(aSeed)
  , mAcceptor(aContext)
  , mAnnounceNow(aContext)
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
  // Port 0 means any free one, which then stays through restarts.
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
    if (mOpen.size() >= mOptions.mConnections) {
      ++mCounts.mOverConnections;
      continue;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::uint64_t number = mNextOpen++;
    auto kept = std::make_shared<tcp::socket>(std::move(socket));
    mOpen[number] = kept;
    mCounts.mMostOpen =
      std::max<std::uint64_t>(mCounts.mMostOpen, mOpen.size());
    asio::co_spawn(
      mContext,
      [self = shared_from_this(), kept, number]() {
        return self->Serve(kept, number);
      },
      asio::detached);
  }
}

asio::awaitable<void>
server::Serve(std::shared_ptr<tcp::socket> aSocket, std::uint64_t aNumber)
{
  beast::flat_buffer buffer;
  if (mOptions.mConnectMs > 0) {
    asio::steady_timer cost(mContext, Ms(mOptions.mConnectMs));
    co_await cost.async_wait(kNoThrow);
  }
  while (true) {
    http::request<http::string_body> request;
    auto [error, count] =
      co_await http::async_read(*aSocket, buffer, request, kNoThrow);
    if (error || mOptions.mIsSilent || !mOpen.contains(aNumber)) {
      if (!error) {
        // Silent: the connection stays, and nothing ever comes.
        mOpen[aNumber] = aSocket;
        co_return;
      }
      break;
    }
    std::int64_t deadline = 0;
    auto text = request["Deadline-Ms"];
    std::from_chars(text.data(), text.data() + text.size(), deadline);
    answer reply = co_await Handle(std::string(request.method_string()),
                                   std::string(request.target()),
                                   request.body(),
                                   std::string(request["Request-Id"]),
                                   std::string(request["Snapshot"]),
                                   std::string(request["Idempotency-Key"]),
                                   deadline);
    if (reply.mCrashes) {
      Crash();
      auto timer = std::make_shared<asio::steady_timer>(mContext, kCrashDown);
      timer->async_wait(
        [self = shared_from_this(), timer](auto) { self->Restart(true); });
      co_return;
    }
    if (reply.mCloses || !mOpen.contains(aNumber)) {
      break;
    }
    http::response<http::string_body> response(reply.mStatus, 11);
    response.set("Request-Id",
                 mOptions.mWrongId ? std::string("of-another-request")
                                   : std::string(request["Request-Id"]));
    std::string snapshot(request["Snapshot"]);
    response.set("Snapshot", mOptions.mWrongSnapshot ? "999999" : snapshot);
    response.set("Load",
                 std::to_string(static_cast<double>(mRunning) /
                                std::max(1U, mOptions.mSlots)));
    if (reply.mNotRun) {
      response.set("Not-Run", "true");
    }
    response.body() = std::move(reply.mBody);
    response.prepare_payload();
    if (reply.mTruncates) {
      std::string half = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n"
                         "Request-Id: " +
                         std::string(request["Request-Id"]) +
                         "\r\nSnapshot: " + snapshot + "\r\n\r\nhalf";
      co_await asio::async_write(*aSocket, asio::buffer(half), kNoThrow);
      break;
    }
    auto [failed, written] =
      co_await http::async_write(*aSocket, response, kNoThrow);
    if (failed || !request.keep_alive()) {
      break;
    }
  }
  mOpen.erase(aNumber);
  beast::error_code ignored;
  aSocket->close(ignored);
}

asio::awaitable<bool>
server::TakeSlot(steady_clock::time_point aDeadline)
{
  std::uint32_t slots = mOptions.mSlots;
  if (mRunning < slots) {
    ++mRunning;
    co_return true;
  }
  auto place = std::make_shared<asio::steady_timer>(mContext, aDeadline);
  mWaiting.push_back(place);
  co_await place->async_wait(kNoThrow);
  auto found = std::find(mWaiting.begin(), mWaiting.end(), place);
  if (found != mWaiting.end()) {
    mWaiting.erase(found);
    co_return false;
  }
  // Whoever took it out of the queue handed its slot over.
  co_return true;
}

void
server::GiveSlot()
{
  if (!mWaiting.empty()) {
    auto next = mWaiting.front();
    mWaiting.pop_front();
    next->cancel();
    return;
  }
  --mRunning;
}

asio::awaitable<void>
server::Work(const std::string& aRequest)
{
  std::exponential_distribution<double> spread(1.0);
  // Half of the time is fixed, and half varies.
  double factor = 0.5 + 0.5 * spread(mRandom);
  double cold = IsCold() ? 3 : 1;
  auto end = steady_clock::now() +
             Ms(mOptions.mServiceMs * factor * mOptions.mSlowFactor * cold);
  asio::steady_timer timer(mContext);
  while (steady_clock::now() < end && !mCancelled.contains(aRequest)) {
    timer.expires_at(std::min(end, steady_clock::now() + Ms(5)));
    co_await timer.async_wait(kNoThrow);
  }
}

asio::awaitable<server::answer>
server::Handle(const std::string& aMethod,
               const std::string& aTarget,
               const std::string& aBody,
               const std::string& aRequest,
               const std::string& aSnapshot,
               const std::string& aKey,
               std::int64_t aDeadlineMs)
{
  answer reply;
  if (aMethod == "DELETE") {
    ++mCounts.mCancels;
    mCancelled.insert(aTarget.substr(aTarget.rfind('/') + 1));
    if (mCancelled.size() > 10'000) {
      mCancelled.clear();
    }
    co_return reply;
  }
  if (mOptions.mNetworkMs > 0) {
    asio::steady_timer delay(mContext, Ms(mOptions.mNetworkMs * 2));
    co_await delay.async_wait(kNoThrow);
  }
  if (mOptions.mResets) {
    reply.mCloses = true;
    co_return reply;
  }
  if (mOptions.mSheds || mWaiting.size() >= mOptions.mQueue) {
    ++mCounts.mSheds;
    reply.mStatus = http::status::service_unavailable;
    reply.mNotRun = true;
    co_return reply;
  }
  mCounts.mWhileDraining += mAnnouncedState == "draining" ? 1 : 0;
  std::uint32_t underWay =
    mRunning + static_cast<std::uint32_t>(mWaiting.size()) + 1;
  if (IsCold()) {
    mCounts.mMostCold = std::max<std::uint64_t>(mCounts.mMostCold, underWay);
    if (underWay > mOptions.mColdSlots) {
      ++mCounts.mOverCold;
      reply.mCrashes = mOptions.mFallsOver;
      mCounts.mCrashes += mOptions.mFallsOver ? 1 : 0;
      if (reply.mCrashes) {
        co_return reply;
      }
    }
  }
  auto wait = milliseconds(aDeadlineMs > 0 ? aDeadlineMs : 10'000);
  bool hasSlot = co_await TakeSlot(steady_clock::now() + wait);
  if (!hasSlot) {
    reply.mStatus = http::status::service_unavailable;
    reply.mNotRun = true;
    ++mCounts.mSheds;
    co_return reply;
  }
  if (aBody.find(kPoison) != std::string::npos) {
    ++mCounts.mCrashes;
    GiveSlot();
    reply.mCrashes = true;
    co_return reply;
  }
  bool isRun = aTarget == "/v1/run";
  if (isRun) {
    ++mCounts.mRuns;
    ++mRunKeys[aKey];
  } else {
    ++mCounts.mSearches;
  }
  co_await Work(aRequest);
  GiveSlot();
  reply.mTruncates = mOptions.mTruncates;
  reply.mBody = isRun ? "done " + aKey + " by " + mOptions.mName
                      : mOptions.mService + "@" + aSnapshot;
  co_return reply;
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
  bool isTaken = !readError && response.result() == http::status::ok;
  if (isTaken) {
    mAnnouncedState = state;
  }
  co_return isTaken;
}

asio::awaitable<void>
server::Announce()
{
  std::uniform_int_distribution<std::size_t> pick(0, mAnnounceTo.size() - 1);
  std::string sponsor = mAnnounceTo[pick(mRandom)];
  while (!mIsStopped) {
    bool isWanted = !mIsDown && mOptions.mAnnounces;
    bool isTaken = !isWanted || co_await AnnounceOnce(sponsor);
    mAnnouncedTo = isTaken ? sponsor : "";
    if (!isTaken) {
      sponsor = mAnnounceTo[pick(mRandom)];
    }
    mAnnounceNow.expires_after(isTaken ? kRenew : milliseconds(100));
    co_await mAnnounceNow.async_wait(kNoThrow);
  }
}

void
server::Crash()
{
  mIsDown = true;
  beast::error_code ignored;
  mAcceptor.close(ignored);
  for (auto& [number, socket] : mOpen) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  mOpen.clear();
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
  mAnnounceNow.cancel();
  if (!aIsCold) {
    return;
  }
  auto warm =
    std::make_shared<asio::steady_timer>(mContext, milliseconds(3000));
  warm->async_wait([self = shared_from_this(), warm](auto) {
    if (self->mOptions.mState == "cold") {
      self->mOptions.mState = "ready";
      self->mAnnounceNow.cancel();
    }
  });
}

void
server::SilenceOpen()
{
  // The old connections stay in the table but are served no more.
  std::map<std::uint64_t, std::shared_ptr<tcp::socket>> old;
  old.swap(mOpen);
  for (auto& [number, socket] : old) {
    beast::error_code ignored;
    socket->cancel(ignored);
    auto keep =
      std::make_shared<asio::steady_timer>(mContext, std::chrono::minutes(5));
    keep->async_wait([keep, kept = socket](auto) {});
  }
}

bool
server::Change(const json::object& aWishes)
{
  auto number = [](const json::value& aValue) {
    return aValue.to_number<double>();
  };
  for (const auto& [key, value] : aWishes) {
    if (key == "state") {
      mOptions.mState = std::string(value.as_string());
    } else if (key == "slow_factor") {
      mOptions.mSlowFactor = number(value);
    } else if (key == "service_ms") {
      mOptions.mServiceMs = number(value);
    } else if (key == "sheds") {
      mOptions.mSheds = value.as_bool();
    } else if (key == "resets") {
      mOptions.mResets = value.as_bool();
    } else if (key == "silent") {
      mOptions.mIsSilent = value.as_bool();
    } else if (key == "wrong_id") {
      mOptions.mWrongId = value.as_bool();
    } else if (key == "truncates") {
      mOptions.mTruncates = value.as_bool();
    } else if (key == "wrong_snapshot") {
      mOptions.mWrongSnapshot = value.as_bool();
    } else if (key == "falls_over") {
      mOptions.mFallsOver = value.as_bool();
    } else if (key == "announces") {
      mOptions.mAnnounces = value.as_bool();
    } else if (key == "snapshots") {
      mOptions.mSnapshots = json::value_to<std::vector<std::uint64_t>>(value);
    } else if (key == "crash") {
      Crash();
    } else if (key == "restart") {
      Restart(value.as_bool());
    } else if (key == "silence_open") {
      SilenceOpen();
    } else {
      return false;
    }
  }
  mAnnounceNow.cancel();
  return true;
}

json::object
server::Describe() const
{
  return { { "server", mOptions.mName },
           { "service", mOptions.mService },
           { "address", mOptions.mAddress },
           { "failure_domain", mOptions.mFailureDomain },
           { "state", mOptions.mState },
           { "announced_state", mAnnouncedState },
           { "announced_to", mAnnouncedTo },
           { "incarnation", mIncarnation },
           { "open", mOpen.size() },
           { "running", mRunning },
           { "searches", mCounts.mSearches },
           { "runs", mCounts.mRuns },
           { "sheds", mCounts.mSheds },
           { "cancels", mCounts.mCancels },
           { "crashes", mCounts.mCrashes },
           { "over_connections", mCounts.mOverConnections },
           { "over_cold", mCounts.mOverCold },
           { "most_open", mCounts.mMostOpen },
           { "most_cold", mCounts.mMostCold },
           { "while_draining", mCounts.mWhileDraining } };
}

}
