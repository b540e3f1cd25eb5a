#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

/** Computes the coverage and refuses the request if it is below the team's
 * minimum. */
filter
MakeGather();

}
