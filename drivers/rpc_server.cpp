#include "drivers/rpc_server.h"

#include "drivers/grpc_settings.h"
#include "drivers/tcp_listener.h"

#include <boost/asio/ip/tcp.hpp>

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <optional>

namespace hibiscusspool {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using grpc::experimental::ExternalConnectionAcceptor;

namespace {

/** Passes connections to gRPC until the server is stopped. */
struct connection_sink
{
  std::unique_ptr<ExternalConnectionAcceptor> mAcceptor;
  std::atomic<bool> mIsStopped{ false };

  /** Passes the ownership of the descriptor too. */
  void HandOver(tcp::socket aSocket)
  {
    boost::system::error_code error;
    aSocket.native_non_blocking(true, error);
    if (error || mIsStopped) {
      return;
    }
    ExternalConnectionAcceptor::NewConnectionParameters connection;
    connection.fd = aSocket.release(error);
    if (!error) {
      mAcceptor->HandleNewConnection(&connection);
    }
  }
};

}

struct rpc_server::state
{
  std::shared_ptr<connection_sink> mSink = std::make_shared<connection_sink>();
  std::unique_ptr<grpc::Server> mServer;
  std::optional<tcp_listener> mListener;
};

rpc_server::rpc_server(std::unique_ptr<state> aState)
  : mState(std::move(aState))
{
}

rpc_server::rpc_server(rpc_server&&) noexcept = default;
rpc_server&
rpc_server::operator=(rpc_server&&) noexcept = default;
rpc_server::~rpc_server() = default;

result<rpc_server, rpc_server_error>
rpc_server::Create(asio::io_context& aContext,
                   const std::string& aAddress,
                   grpc::Service& aService,
                   grpc::Service* aOtherService)
{
  auto made = std::make_unique<state>();
  tcp_listener_hooks hooks;
  hooks.mSelectExecutor = [&aContext] { return aContext.get_executor(); };
  hooks.mOnAccepted = [sink = made->mSink](tcp::socket aSocket) {
    sink->HandOver(std::move(aSocket));
  };
  auto listener = tcp_listener::Create(aContext, aAddress, std::move(hooks));
  if (!listener) {
    return Fail(rpc_server_error::CannotListen, listener.error().mDetail);
  }
  made->mListener.emplace(std::move(listener.value()));

  grpc::ServerBuilder builder;
  made->mSink->mAcceptor = builder.experimental().AddExternalConnectionAcceptor(
    grpc::ServerBuilder::experimental_type::ExternalConnectionType::FROM_FD,
    grpc::InsecureServerCredentials());
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.SetMaxSendMessageSize(kMaxMessageBytes);
  builder.RegisterService(&aService);
  if (aOtherService != nullptr) {
    builder.RegisterService(aOtherService);
  }
  made->mServer = builder.BuildAndStart();
  if (made->mServer == nullptr) {
    return Fail(rpc_server_error::CannotListen,
                "The gRPC server for " + aAddress + " could not start.");
  }
  made->mListener->Start();
  return rpc_server(std::move(made));
}

void
rpc_server::Stop(milliseconds aTimeout)
{
  mState->mSink->mIsStopped = true;
  mState->mListener->Stop();
  mState->mServer->Shutdown(std::chrono::system_clock::now() + aTimeout);
  mState->mServer->Wait();
}

}
