#pragma once

#include "core/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>

namespace hibiscusspool {

/** Runs a step repeatedly until `aIsStopping` is set, with a pause after each
 * execution. */
void
RunPeriodically(boost::asio::io_context& aContext,
                milliseconds aPause,
                const std::atomic<bool>& aIsStopping,
                std::function<boost::asio::awaitable<void>()> aStep);

}
