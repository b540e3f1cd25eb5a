#pragma once

#include "filters/subquery.h"

#include <functional>
#include <memory>

#include <grpcpp/channel.h>

namespace hibiscusspool {

/**
 * Sends subqueries to other entry hosts, each over one channel to its host.
 */
class subquery_client
{
  struct state;
  std::shared_ptr<state> mState;

  explicit subquery_client(std::shared_ptr<state> aState);

public:
  static subquery_client Create();

  /**
   * Sends a subquery. Each update is passed to the callback on the executor;
   * the last one comes in any case, also when the host is lost or the subquery
   * is cancelled. Returns a function that cancels the subquery.
   */
  [[nodiscard]] std::function<void()> Send(
    const assigned_subquery& aTarget,
    const subquery& aSubquery,
    boost::asio::any_io_executor aExecutor,
    subquery_callback aCallback) const;
  /** The channel to a host, for other calls to it. */
  [[nodiscard]] std::shared_ptr<grpc::Channel> ChannelTo(
    const host_id& aHost,
    const std::string& aAddress) const;
  /** Drops the channel to a host that does not respond. */
  void DropChannel(const host_id& aHost) const;
  /** Cancels all subqueries and waits until they have ended. */
  void Stop() const;
};

}
