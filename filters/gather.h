#pragma once

#include "filters/filter_chain.h"

namespace hibiscusspool {

/** Counts the coverage, and refuses what stays below the team's minimum. */
filter
MakeGather();

}
