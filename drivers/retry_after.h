#pragma once

#include "core/clock.h"

#include <optional>
#include <string_view>

namespace hibiscusspool {

/**
 * The value of a Retry-After field as a time from `aNow`: seconds, with or
 * without a fraction, or an HTTP date. Nothing if it is neither, negative or
 * past.
 */
std::optional<milliseconds>
ParseRetryAfter(std::string_view aText, wall_ms aNow);

}
