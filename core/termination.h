#pragma once

namespace hibiscusspool {

/** Lets an exception that nothing catches say what it was in a last line on
 * standard error, before the process aborts. */
void
ReportTerminations();

}
