#pragma once

#include "core/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>

namespace hibiscusspool {

/** Runs a step repeatedly, with a pause after each run, until
 * `aIsStopping` is set. */
void
RunPeriodically(boost::asio::io_context& aContext,
                milliseconds aPause,
                const std::atomic<bool>& aIsStopping,
                std::function<boost::asio::awaitable<void>()> aStep);

}
