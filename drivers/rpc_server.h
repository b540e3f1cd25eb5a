#pragma once

#include "core/clock.h"
#include "core/failure.h"
#include "core/name_table.h"

#include <boost/asio/io_context.hpp>
#include <grpcpp/impl/service_type.h>

#include <memory>
#include <string>

namespace hibiscusspool {

enum class rpc_server_error
{
  CannotListen,
};

template<>
inline constexpr name_table<rpc_server_error, 1> kNames<rpc_server_error>{ {
  { rpc_server_error::CannotListen, "cannot_listen" },
} };

/**
 * A gRPC server that gets its connections from a `tcp_listener`: gRPC's own
 * listener stops for good when it can't accept a connection once, as while the
 * process is out of descriptors.
 */
class rpc_server
{
  struct state;
  std::unique_ptr<state> mState;

  explicit rpc_server(std::unique_ptr<state> aState);

public:
  rpc_server(rpc_server&&) noexcept;
  rpc_server& operator=(rpc_server&&) noexcept;
  ~rpc_server();

  /** Serves on an `ip:port`. The services must outlive the server; connections
   * are accepted by the threads of the context. */
  static result<rpc_server, rpc_server_error> Create(
    boost::asio::io_context& aContext,
    const std::string& aAddress,
    grpc::Service& aService,
    grpc::Service* aOtherService = nullptr);

  /** Cancels calls that last longer than the time-out. */
  void Stop(milliseconds aTimeout);
};

}
