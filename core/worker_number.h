#pragma once

#include <cstdint>

namespace hibiscusspool {

/** Number of a worker thread; 0 for all other threads. */
using worker_number = std::uint32_t;

/** Workers that are told apart; connections of others are shared. */
inline constexpr worker_number kMaxWorkers = 64;

/** The number of the worker that runs the calling thread. */
worker_number
CurrentWorker();

/** Names the calling thread; called once, when the thread starts. */
void
SetCurrentWorker(worker_number aNumber);

}
