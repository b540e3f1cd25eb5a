#pragma once

#include "core/clock.h"

#include <memory>
#include <string>

#include <grpcpp/channel.h>

namespace hibiscusspool {

/** Maximum gRPC message size in bytes; a snapshot is sent as one message. */
inline constexpr int kMaxMessageBytes = 256 << 20;

/**
 * Creates a channel with its own connections. A new channel to the same
 * address opens a new connection, whatever the state of older ones.
 */
std::shared_ptr<grpc::Channel>
OpenChannel(const std::string& aAddress);

/** Writes the messages of the gRPC library as log events, of which the queue is
 * bounded, in place of standard error. */
void
LogGrpcMessages();

/**
 * True if the channel's connection is open and yet a call on it timed out, so
 * that a new connection is worth its cost. An attempt to connect has a time
 * limit of its own, and would only begin anew.
 */
bool
IsConnectionSilent(grpc::Channel& aChannel);

}
