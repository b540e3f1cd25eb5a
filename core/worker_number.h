#pragma once

#include <cstdint>

namespace hibiscusspool {

/** Number of a worker thread; 0 for all other threads. */
using worker_number = std::uint32_t;

/** Workers with connections of their own; higher numbers share connections. */
inline constexpr worker_number kMaxWorkers = 64;

/** Worker number of the calling thread. */
worker_number
CurrentWorker();

/** Sets the worker number of the calling thread; called once at its start. */
void
SetCurrentWorker(worker_number aNumber);

}
