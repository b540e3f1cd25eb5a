#pragma once

#include "filters/request_context.h"

namespace hibiscusspool {

/**
 * Sets the fraction of the services in scope that answered; true if it reaches
 * the team's minimum.
 */
bool
ComputeCoverage(request_context& aRequest);

}
