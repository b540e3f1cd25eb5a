#pragma once

#include "core/clock.h"

#include <memory>
#include <string>

#include <grpcpp/channel.h>

namespace hibiscusspool {

/** Largest message between processes, in bytes: a whole snapshot. */
inline constexpr int kMaxMessageBytes = 256 << 20;

/**
 * A channel with connections of its own. A fresh channel to the same address
 * opens a fresh connection, whatever became of older ones.
 */
std::shared_ptr<grpc::Channel>
OpenChannel(const std::string& aAddress);

}
