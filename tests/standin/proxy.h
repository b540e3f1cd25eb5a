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

/** One connection through the proxy. */
struct proxied;

/**
 * A TCP link that can misbehave: delay, cut, lose one way, or leave its open
 * connections silent for good while new ones work.
 */
class proxy_link : public std::enable_shared_from_this<proxy_link>
{
  using tcp = boost::asio::ip::tcp;

  boost::asio::io_context& mContext;
  std::string mName;
  tcp::endpoint mListen;
  tcp::endpoint mTarget;
  tcp::acceptor mAcceptor;
  double mDelayMs = 0;
  bool mIsCut = false;
  bool mLosesUp = false;
  bool mLosesDown = false;
  std::map<std::uint64_t, std::shared_ptr<proxied>> mOpen;
  std::uint64_t mNextOpen = 1;
  std::uint64_t mBytesUp = 0;
  std::uint64_t mBytesDown = 0;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<proxied> aOpen,
                                     std::uint64_t aNumber);
  boost::asio::awaitable<void> Pump(std::shared_ptr<proxied> aOpen, bool aIsUp);
  void Close(std::uint64_t aNumber);

public:
  proxy_link(boost::asio::io_context& aContext,
             std::string aName,
             tcp::endpoint aListen,
             tcp::endpoint aTarget);

  bool Start();
  bool Change(const boost::json::object& aWishes);
  [[nodiscard]] boost::json::object Describe() const;
  [[nodiscard]] const std::string& Name() const { return mName; }
};

}
