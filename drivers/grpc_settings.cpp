#include "drivers/grpc_settings.h"

#include <grpcpp/grpcpp.h>

namespace hibiscusspool {

namespace {

constexpr int kInitialBackoffMs = 100;
constexpr int kMaxBackoffMs = 1000;
/** Time limit for an attempt to connect, up to the peer's first bytes. */
constexpr int kConnectTimeoutMs = 1000;

}

std::shared_ptr<grpc::Channel>
OpenChannel(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kInitialBackoffMs);
  // In spite of its name, this is the minimum time that an attempt gets.
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kConnectTimeoutMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMs);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments.SetMaxSendMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(
    aAddress, grpc::InsecureChannelCredentials(), arguments);
}

bool
IsConnectionSilent(grpc::Channel& aChannel)
{
  return aChannel.GetState(false) == GRPC_CHANNEL_READY;
}

}
