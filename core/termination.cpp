#include "core/termination.h"

#include "core/exception_cause.h"
#include "core/log_event.h"

#include <cstdlib>
#include <exception>
#include <string>

#include <unistd.h>

namespace hibiscusspool {

namespace {

[[noreturn]] void
Terminate()
{
  // The writer of the log may be what has failed, and its queue would be lost.
  std::string line = "level=error event=terminated cause=" +
                     QuoteLogValue(CauseOf(std::current_exception())) + '\n';
  static_cast<void>(!write(STDERR_FILENO, line.data(), line.size()));
  std::abort();
}

}

void
ReportTerminations()
{
  std::set_terminate(Terminate);
}

}
