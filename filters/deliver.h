#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

/**
 * Builds the response to the caller from those of the servers: a single one as
 * it is, or the top records merged from all parts that arrived.
 */
filter
MakeDeliver();

}
