#include "core/termination.h"

#include "core/log_event.h"

#include <cstdlib>
#include <exception>
#include <string>

#include <unistd.h>

namespace hibiscusspool {

namespace {

std::string
CauseOfTermination()
{
  std::exception_ptr current = std::current_exception();
  if (current == nullptr) {
    return "no exception";
  }
  try {
    std::rethrow_exception(current);
  } catch (const std::exception& problem) {
    return problem.what();
  } catch (...) {
    return "an exception of unknown type";
  }
}

[[noreturn]] void
Terminate()
{
  // The writer of the log may be what has failed, and its queue would be lost.
  std::string line = "level=error event=terminated cause=" +
                     QuoteLogValue(CauseOfTermination()) + '\n';
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
