#include "drivers/grpc_settings.h"

#include <grpcpp/grpcpp.h>

namespace hibiscusspool {

std::shared_ptr<grpc::Channel>
OpenChannel(const std::string& aAddress)
{
  constexpr int kFirstBackoffMs = 100;
  constexpr int kLongestBackoffMs = 1000;
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kFirstBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kFirstBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kLongestBackoffMs);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments.SetMaxSendMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(
    aAddress, grpc::InsecureChannelCredentials(), arguments);
}

}
