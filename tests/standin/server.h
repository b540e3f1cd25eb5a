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

/** What a stand-in server is like, and how it misbehaves. */
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
  /** Mean time to answer, in milliseconds. */
  double mServiceMs = 5;
  /** What a new connection costs, in milliseconds. */
  double mConnectMs = 0;
  /** Delay between the failure domains, one way, in milliseconds. */
  double mNetworkMs = 0;
  double mSlowFactor = 1;
  /** Requests that may wait for a slot; more are shed. */
  std::uint32_t mQueue = 64;
  bool mSheds = false;
  bool mResets = false;
  bool mIsSilent = false;
  bool mWrongId = false;
  bool mTruncates = false;
  bool mWrongSnapshot = false;
  /** Falls over when more than it can bear runs while it is cold. */
  bool mFallsOver = true;
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
  std::uint64_t mOverCold = 0;
  std::uint64_t mMostOpen = 0;
  std::uint64_t mMostCold = 0;
  std::uint64_t mWhileDraining = 0;
};

/**
 * A backend server as the published interface describes one: slots, a limit
 * of connections, cold starts, shedding, cancellation and deadlines. All of
 * it runs on the one thread of its context.
 */
class server : public std::enable_shared_from_this<server>
{
  using tcp = boost::asio::ip::tcp;

  boost::asio::io_context& mContext;
  server_options mOptions;
  server_counts mCounts;
  std::uint64_t mIncarnation;
  std::vector<std::string> mAnnounceTo;
  std::mt19937_64 mRandom;
  tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAnnounceNow;
  std::map<std::uint64_t, std::shared_ptr<tcp::socket>> mOpen;
  std::uint64_t mNextOpen = 1;
  std::uint32_t mRunning = 0;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> mWaiting;
  std::set<std::string> mCancelled;
  /** Times that each key of a run was run. */
  std::map<std::string, std::uint64_t> mRunKeys;
  std::string mAnnouncedTo;
  std::string mAnnouncedState;
  bool mIsDown = false;
  bool mIsStopped = false;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> aSocket,
                                     std::uint64_t aNumber);
  struct answer;
  boost::asio::awaitable<answer> Handle(const std::string& aMethod,
                                        const std::string& aTarget,
                                        const std::string& aBody,
                                        const std::string& aRequest,
                                        const std::string& aSnapshot,
                                        const std::string& aKey,
                                        std::int64_t aDeadlineMs);
  boost::asio::awaitable<bool> TakeSlot(
    std::chrono::steady_clock::time_point aDeadline);
  void GiveSlot();
  boost::asio::awaitable<void> Work(const std::string& aRequest);
  boost::asio::awaitable<void> Announce();
  boost::asio::awaitable<bool> AnnounceOnce(const std::string& aAddress);
  [[nodiscard]] std::string Announcement() const;
  [[nodiscard]] bool IsCold() const { return mOptions.mState == "cold"; }
  bool Listen();

public:
  server(boost::asio::io_context& aContext,
         server_options aOptions,
         std::vector<std::string> aAnnounceTo,
         std::uint64_t aSeed);

  bool Start();
  /** Changes options by their names in JSON; false for an unknown one. */
  bool Change(const boost::json::object& aWishes);
  /** Ends all connections and listens no more, as a killed server. */
  void Crash();
  /** Comes back in a new run, cold. */
  void Restart(bool aIsCold);
  /** Leaves connections open but answers nothing on them any more. */
  void SilenceOpen();
  [[nodiscard]] boost::json::object Describe() const;
  [[nodiscard]] const std::map<std::string, std::uint64_t>& RunKeys() const
  {
    return mRunKeys;
  }
  [[nodiscard]] const server_options& Options() const { return mOptions; }
};

}
