#pragma once

#include "controllers/client_controller.h"

#include <string>

namespace hibiscusspool {

/** The metrics of the clients of all listeners of a process, in the Prometheus
 * text format. */
std::string
MakeClientMetrics(const client_status& aStatus);

}
