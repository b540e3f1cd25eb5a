#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

/**
 * Builds the caller's answer from the servers' responses: the single response
 * as it is, or the top records merged from all parts that arrived.
 */
filter
MakeDeliver();

}
