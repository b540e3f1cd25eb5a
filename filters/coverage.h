#pragma once

#include "filters/request_context.h"

namespace hibiscusspool {

/**
 * Notes which share of the services in scope answered; true when the team's
 * minimum is reached.
 */
bool
CountCoverage(request_context& aRequest);

}
