#pragma once

#include "core/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standin {

/** Capacity, timing and injected faults of a stand-in server. */
struct server_options
{
  std::string mName;
  std::string mService;
  std::string mFailureDomain;
  std::string mAddress;
  std::uint32_t mSlots = 2;
  std::uint32_t mConnections = 55;
  std::uint32_t mColdSlots = 1;
  std::string mState = "ready";
  std::vector<std::uint64_t> mSnapshots{ 1 };
  /** Mean service time, in milliseconds. */
  double mServiceMs = 5;
  /** Delay before a new connection is served, in milliseconds. */
  double mConnectDelayMs = 0;
  /** One-way network delay between failure domains, in milliseconds. */
  double mNetworkDelayMs = 0;
  double mSlowFactor = 1;
  /** Requests that may wait for a slot; further ones are shed. */
  std::uint32_t mMaxQueued = 64;
  bool mShedsAll = false;
  /** Not 0: sheds all requests and asks for this time, in milliseconds. */
  std::uint32_t mPauseMs = 0;
  /** Says in each response that it leaves; its announcements don't. */
  bool mIsLeaving = false;
  /** Announces this limit to its requests per second; negative: none. */
  double mRatePerSecond = -1;
  bool mClosesConnections = false;
  bool mIsSilent = false;
  bool mWrongId = false;
  bool mTruncates = false;
  bool mWrongSnapshot = false;
  /** Crashes when it gets more than `mColdSlots` requests while cold. */
  bool mCrashesOnColdOverload = true;
  bool mAnnounces = true;
};

struct server_counts
{
  std::uint64_t mSearches = 0;
  std::uint64_t mRuns = 0;
  std::uint64_t mSheds = 0;
  std::uint64_t mCancels = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mOverConnections = 0;
  std::uint64_t mOverColdSlots = 0;
  std::uint64_t mMaxOpenConnections = 0;
  std::uint64_t mMaxColdRequests = 0;
  std::uint64_t mRequestsWhileDraining = 0;
  /** Maximum number of requests in 4 s, from 4 s after it announced a limit. */
  std::uint64_t mMaxInRateWindow = 0;
};

/**
 * A backend server that follows the published interface: slots, a connection
 * limit, cold starts, load shedding, cancellation and deadlines. It runs on
 * the single thread of its context.
 */
class server : public std::enable_shared_from_this<server>
{
  using tcp = boost::asio::ip::tcp;

  boost::asio::io_context& mContext;
  server_options mOptions;
  server_counts mCounts;
  std::uint64_t mIncarnation;
  std::vector<std::string> mAnnounceAddresses;
  std::mt19937_64 mRandom;
  tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAnnounceTimer;
  std::map<std::uint64_t, std::shared_ptr<tcp::socket>> mOpenConnections;
  std::uint64_t mNextConnection = 1;
  std::uint32_t mRunning = 0;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> mWaiters;
  std::set<std::string> mCancelled;
  /** Since when a limit to the rate is announced, and the requests since. */
  std::chrono::steady_clock::time_point mRateSince;
  std::deque<std::chrono::steady_clock::time_point> mArrivals;
  /** Executions of each idempotency key. */
  std::map<std::string, std::uint64_t> mRunsByKey;
  std::string mAnnouncedTo;
  std::string mAnnouncedState;
  bool mIsDown = false;
  bool mIsStopped = false;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> aSocket,
                                     std::uint64_t aNumber);
  struct handler_result;
  boost::asio::awaitable<handler_result> Handle(const std::string& aMethod,
                                                const std::string& aTarget,
                                                const std::string& aBody,
                                                const std::string& aRequest,
                                                const std::string& aSnapshot,
                                                const std::string& aKey,
                                                std::int64_t aDeadlineMs);
  void CountArrival();
  boost::asio::awaitable<bool> AcquireSlot(
    std::chrono::steady_clock::time_point aDeadline);
  void ReleaseSlot();
  boost::asio::awaitable<void> SimulateWork(const std::string& aRequest);
  boost::asio::awaitable<void> Announce();
  boost::asio::awaitable<bool> AnnounceOnce(const std::string& aAddress);
  [[nodiscard]] std::string Announcement() const;
  [[nodiscard]] bool IsCold() const { return mOptions.mState == "cold"; }
  bool Listen();

public:
  server(boost::asio::io_context& aContext,
         server_options aOptions,
         std::vector<std::string> aAnnounceAddresses,
         std::uint64_t aSeed);

  bool Start();
  /** Sets options by their JSON names; false for an unknown name. */
  bool ApplyOptions(const boost::json::object& aOptions);
  /** Resets all connections and stops listening, like a killed server. */
  void Crash();
  /** Listens again with a new incarnation, cold or ready. */
  void Restart(bool aIsCold);
  /** Keeps the open connections but never responds on them again. */
  void SilenceOpenConnections();
  [[nodiscard]] boost::json::object ToJson() const;
  [[nodiscard]] const std::map<std::string, std::uint64_t>& RunsByKey() const
  {
    return mRunsByKey;
  }
  [[nodiscard]] const server_options& Options() const { return mOptions; }
};

}
