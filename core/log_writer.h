#pragma once

#include <string>

namespace hibiscusspool {

/**
 * Starts a thread that writes log lines to standard output. The queue is
 * bounded: when the reader of standard output is slow, new lines are dropped
 * and counted, so that logging never blocks.
 */
void
StartLogWriter();

/** Writes the queued lines and stops the thread; gives up the lines if nobody
 * reads standard output. */
void
StopLogWriter();

/**
 * Writes the queued lines from a process that is about to end, also from a
 * signal handler: it allocates nothing and waits for no lock. Lines are left
 * out while another thread holds the queue, and once standard output has taken
 * nothing for 100 ms.
 */
void
WriteQueuedLines();

/** Queues a line for the writer; false if no writer is running. */
bool
WriteLogLine(std::string aLine);

}
