#pragma once

#include "core/failure.h"
#include "core/name_table.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace hibiscusspool {

enum class tcp_listener_error
{
  CannotListen,
};

template<>
inline constexpr name_table<tcp_listener_error, 1> kNames<tcp_listener_error>{ {
  { tcp_listener_error::CannotListen, "cannot_listen" },
} };

/** Called on the listener's executor. */
struct tcp_listener_hooks
{
  /** The executor of the next connection. */
  std::function<boost::asio::any_io_executor()> mSelectExecutor;
  /** False while no connection may be accepted; until `Resume` they wait in the
   * kernel's backlog. Optional. */
  std::function<bool()> mHasCapacity;
  std::function<void(boost::asio::ip::tcp::socket)> mOnAccepted;
};

/**
 * A listening socket and its accept loop. The loop goes on after errors: a
 * process that is out of descriptors accepts again once some are free.
 */
class tcp_listener
{
  struct state;
  std::shared_ptr<state> mState;

  explicit tcp_listener(std::shared_ptr<state> aState);
  static boost::asio::awaitable<void> Run(std::shared_ptr<state> aState);

public:
  /** Errors: `CannotListen` if an address can't be bound now. */
  static result<void, tcp_listener_error> CheckAddress(
    boost::asio::io_context& aContext,
    const std::string& aAddress);

  /** Listens on an `ip:port`; connections are accepted once started. */
  static result<tcp_listener, tcp_listener_error> Create(
    boost::asio::io_context& aContext,
    const std::string& aAddress,
    tcp_listener_hooks aHooks);

  void Start();
  /** There may be capacity again; may be called on any thread. */
  void Resume();
  /** Accepts the connections that the kernel has completed already, then closes
   * the listening socket. */
  void Stop();
};

}
