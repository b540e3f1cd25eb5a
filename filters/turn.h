#pragma once

#include "controllers/start_controller.h"
#include "filters/filter_chain.h"

namespace hibiscusspool {

/**
 * Lets a request wait for its turn while this host is busy, so that urgent work
 * is started first. A turn is given when the handlers that were ready before it
 * have run, among them those that send the attempts of the previous request. A
 * request whose deadline passes meanwhile is refused.
 */
filter
MakeTurn(start_controller& aStarts, std::function<steady_time()> aNow);

}
