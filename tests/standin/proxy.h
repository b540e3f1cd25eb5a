#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace standin {

struct proxied_connection;

/**
 * A TCP proxy that injects faults: it delays data, closes and refuses
 * connections, drops the data of one direction, or silences its open
 * connections for good while new ones work.
 */
class proxy_link : public std::enable_shared_from_this<proxy_link>
{
  using tcp = boost::asio::ip::tcp;

  boost::asio::io_context& mContext;
  std::string mName;
  tcp::endpoint mListenEndpoint;
  tcp::endpoint mTarget;
  tcp::acceptor mAcceptor;
  double mDelayMs = 0;
  bool mIsCut = false;
  bool mDropsUpstream = false;
  bool mDropsDownstream = false;
  std::map<std::uint64_t, std::shared_ptr<proxied_connection>> mConnections;
  std::uint64_t mNextConnection = 1;
  std::uint64_t mBytesUp = 0;
  std::uint64_t mBytesDown = 0;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(
    std::shared_ptr<proxied_connection> aConnection,
    std::uint64_t aNumber);
  boost::asio::awaitable<void> Forward(
    std::shared_ptr<proxied_connection> aConnection,
    bool aIsUpstream);
  void Close(std::uint64_t aNumber);

public:
  proxy_link(boost::asio::io_context& aContext,
             std::string aName,
             tcp::endpoint aListen,
             tcp::endpoint aTarget);

  bool Start();
  bool ApplyOptions(const boost::json::object& aOptions);
  [[nodiscard]] boost::json::object ToJson() const;
  [[nodiscard]] const std::string& Name() const { return mName; }
};

}
