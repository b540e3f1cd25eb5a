#pragma once

#include "filters/scatter.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace hibiscusspool {

struct backend_client_config
{
  /** Largest answer taken, in bytes. */
  std::size_t mAnswerBytes = 16 << 20;
  /** A connection that was unused for longer is replaced. */
  milliseconds mIdleProbe{ 5000 };
  milliseconds mConnectTimeout{ 1000 };
};

struct backend_client_hooks
{
  /** An unused connection to send a cancellation on, if there is one. */
  std::function<std::optional<connection_id>(const server_id&)> mBorrow;
  std::function<void(const server_id&, connection_id)> mReturn;
  /** A borrowed connection is closed. */
  std::function<void(const server_id&)> mLost;
};

/**
 * The HTTP edge toward backend servers. Connections live in a container and
 * are named by numbers; whoever holds a number uses the connection alone.
 */
class backend_client
{
  struct state;
  std::shared_ptr<state> mState;

  explicit backend_client(std::shared_ptr<state> aState);

public:
  static backend_client Create(boost::asio::io_context& aContext,
                               backend_client_config aConfig,
                               backend_client_hooks aHooks);

  /** Sends one attempt and waits for its answer; it may be cancelled. */
  boost::asio::awaitable<attempt_result> Attempt(attempt_order aOrder) const;
  /** Closes connections that nobody uses. */
  void Close(const std::vector<connection_id>& aConnections) const;
  [[nodiscard]] std::size_t OpenCount() const;
};

}
