#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <exception>
#include <string>

namespace hibiscusspool {

/** Logs and counts an exception that ended a task or one of its steps. */
void
ReportTaskFailure(const std::string& aTask,
                  const std::exception_ptr& aException);

/** The same for a step that failed without an exception. */
void
ReportTaskFailure(const std::string& aTask, const std::string& aCause);

/** Number of failures reported since the process started. */
std::uint64_t
TaskFailureCount();

/** The completion handler of a task that nobody waits for. */
struct failure_reporter
{
  std::string mTask;

  void operator()(const std::exception_ptr& aException) const;
};

/** Starts a task that nobody waits for; an exception that ends it is reported.
 */
void
RunInBackground(const boost::asio::any_io_executor& aExecutor,
                std::string aTask,
                boost::asio::awaitable<void> aBody);

/** Runs the handlers of a context until it is stopped or has no more work. A
 * handler that throws is reported, and the others go on. */
void
RunHandlers(boost::asio::io_context& aContext);

}
