#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

/**
 * Turns what servers answered into the caller's answer: the one server's own,
 * or the greatest records of the parts that came.
 */
filter
MakeDeliver();

}
