#pragma once

#include "core/clock.h"

namespace hibiscusspool {

/**
 * Time for which the machine was suspended since it booted. The steady clock
 * doesn't count it, so it is added to the age of a lease.
 */
milliseconds
SuspendedTime();

}
