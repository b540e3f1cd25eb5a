#pragma once

#include "core/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <string>

namespace hibiscusspool {

/** Runs a step repeatedly until `aIsStopping` is set, with a pause after each
 * execution. A step that throws is reported and executed again next time. */
void
RunPeriodically(boost::asio::io_context& aContext,
                const std::string& aTask,
                milliseconds aPause,
                const std::atomic<bool>& aIsStopping,
                std::function<boost::asio::awaitable<void>()> aStep);

}
