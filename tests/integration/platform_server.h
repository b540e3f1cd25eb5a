#pragma once

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace test {

struct platform_server_options
{
  std::string mVersion = "v1";
  /** Each request of so many fails; 0: none. */
  int mFailsEach = 0;
  /** Of so many requests, one loses its connection without a response; 0: none.
   */
  int mLosesEach = 0;
  std::string mService = "find";
};

/**
 * A backend server that speaks the platform's protocol. It crashes when it
 * begins to run a request whose path contains "harmful", and is back after a
 * while under its id.
 */
class platform_server
{
  using socket = boost::asio::ip::tcp::socket;

  std::string mId;
  std::string mAddress;
  std::string mControlAddress;
  platform_server_options mOptions;
  boost::asio::io_context mContext;
  std::mutex mLock;
  std::set<int> mOpen;
  /** The heads of all requests, as received. */
  std::vector<std::string> mHeads;
  std::atomic<bool> mIsStopping{ false };
  /** Counts the starts. */
  std::atomic<int> mStarts{ 0 };
  std::atomic<bool> mIsUp{ false };
  std::atomic<int> mHarmfulArrivals{ 0 };
  std::atomic<int> mArrivals{ 0 };
  std::thread mListener;
  std::thread mHeartbeats;
  std::list<std::thread> mConnections;

  void Record(std::string aHead);
  void Listen();
  void Serve(socket aPeer, int aStart);
  void SendHeartbeats();
  void Crash();

public:
  platform_server(std::string aId,
                  std::string aAddress,
                  std::string aControlAddress,
                  platform_server_options aOptions = {});
  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;
  ~platform_server();

  /** Requests that reached the server. */
  [[nodiscard]] int Arrivals() const { return mArrivals; }
  /** Harmful requests that reached the server. */
  [[nodiscard]] int HarmfulArrivals() const { return mHarmfulArrivals; }
  /** The heads of all requests that the server got. */
  [[nodiscard]] std::vector<std::string> Heads();
};

}
