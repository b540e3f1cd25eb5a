#pragma once

#include "controllers/quota_controller.h"

#include <boost/asio/awaitable.hpp>
#include <grpcpp/channel.h>

#include <functional>
#include <memory>
#include <optional>

namespace hibiscusspool {

struct quota_client_hooks
{
  /** The channel to a host, which other calls share. */
  std::function<std::shared_ptr<grpc::Channel>(const host_id&,
                                               const std::string& aAddress)>
    mChannel;
  /** Drops a channel whose connection has gone silent. */
  std::function<void(const host_id&)> mDropChannel;
};

/** Sends messages on quotas to other entry hosts. */
class quota_client
{
  struct state;
  std::shared_ptr<state> mState;

  explicit quota_client(std::shared_ptr<state> aState);

public:
  static quota_client Create(quota_client_hooks aHooks);

  /** Sends a message and waits for the reply; nothing if none came in time. */
  [[nodiscard]] boost::asio::awaitable<std::optional<quota_reply>> Exchange(
    quota_message aMessage) const;
  /** Sends a notice; false if the host did not confirm it in time. */
  [[nodiscard]] boost::asio::awaitable<bool> Notify(
    quota_notice_message aMessage) const;
  /** Cancels all calls and waits until they have ended. */
  void Stop() const;
};

}
