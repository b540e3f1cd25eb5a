#pragma once

#include "core/clock.h"

#include <memory>
#include <string>

#include <grpcpp/channel.h>

namespace hibiscusspool {

/** Maximum gRPC message size in bytes; a snapshot is sent as one message. */
inline constexpr int kMaxMessageBytes = 256 << 20;

/** Time limit for the first attempt to connect, up to the peer's first bytes;
 * short, since a host that is off does not respond at all. */
inline constexpr milliseconds kConnectTimeout{ 150 };

/**
 * Creates a channel with its own connections. A new channel to the same
 * address opens a new connection, whatever the state of older ones. Each failed
 * attempt to connect gives the next one more time, up to a second, so that a
 * busy host is reached by a channel that is kept.
 */
std::shared_ptr<grpc::Channel>
OpenChannel(const std::string& aAddress,
            milliseconds aConnectTimeout = kConnectTimeout);

/** Writes the messages of the gRPC library as log events, of which the queue is
 * bounded, in place of standard error. */
void
LogGrpcMessages();

/** Turns off the search for lock cycles that Debian's Abseil does at each lock
 * of the gRPC library; a sample of an entry host showed 5% of its processor
 * time there. */
void
DisableLockCycleDetection();

/**
 * True if the channel's connection is open and yet a call on it timed out, so
 * that a new connection is worth its cost. An attempt to connect has a time
 * limit of its own, and would only begin anew.
 */
bool
IsConnectionSilent(grpc::Channel& aChannel);

}
