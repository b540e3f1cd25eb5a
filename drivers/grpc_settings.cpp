#include "drivers/grpc_settings.h"

#include "core/log_event.h"
#include "core/termination.h"

#include <absl/synchronization/mutex.h>
#include <grpc/support/log.h>
#include <grpcpp/grpcpp.h>

namespace hibiscusspool {

namespace {

constexpr int kInitialBackoffMs = 100;
constexpr int kMaxBackoffMs = 1000;

void
LogGrpcMessage(gpr_log_func_args* aMessage)
{
  bool isError = aMessage->severity == GPR_LOG_SEVERITY_ERROR;
  if (isError) {
    // A failed assertion of the library is such a message before it aborts.
    NoteLibraryError(aMessage->message);
  }
  log_event("grpc_message",
            isError ? log_event::severity::Error : log_event::severity::Info)
    .Add("source", aMessage->file)
    .Add("line", aMessage->line)
    .Add("text", aMessage->message);
}

}

std::shared_ptr<grpc::Channel>
OpenChannel(const std::string& aAddress, milliseconds aConnectTimeout)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kInitialBackoffMs);
  // In spite of its name, this is the minimum time that an attempt gets; the
  // back-off after earlier ones extends it.
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   static_cast<int>(aConnectTimeout.count()));
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMs);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments.SetMaxSendMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(
    aAddress, grpc::InsecureChannelCredentials(), arguments);
}

void
LogGrpcMessages()
{
  gpr_set_log_function(LogGrpcMessage);
}

void
DisableLockCycleDetection()
{
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
}

bool
IsConnectionSilent(grpc::Channel& aChannel)
{
  return aChannel.GetState(false) == GRPC_CHANNEL_READY;
}

}
