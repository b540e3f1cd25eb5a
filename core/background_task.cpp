#include "core/background_task.h"

#include "core/exception_cause.h"
#include "core/log_event.h"

#include <boost/asio/co_spawn.hpp>

#include <atomic>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

std::atomic<std::uint64_t> sFailureCount{ 0 };

}

void
ReportTaskFailure(const std::string& aTask,
                  const std::exception_ptr& aException)
{
  ReportTaskFailure(aTask, CauseOf(aException));
}

void
ReportTaskFailure(const std::string& aTask, const std::string& aCause)
{
  ++sFailureCount;
  log_event("task_failed", log_event::severity::Error)
    .Add("task", aTask)
    .Add("cause", aCause);
}

std::uint64_t
TaskFailureCount()
{
  return sFailureCount;
}

void
failure_reporter::operator()(const std::exception_ptr& aException) const
{
  if (aException) {
    ReportTaskFailure(mTask, aException);
  }
}

void
RunInBackground(const asio::any_io_executor& aExecutor,
                std::string aTask,
                asio::awaitable<void> aBody)
{
  asio::co_spawn(
    aExecutor, std::move(aBody), failure_reporter{ std::move(aTask) });
}

void
RunHandlers(asio::io_context& aContext)
{
  bool isDone = false;
  while (!isDone) {
    try {
      aContext.run();
      isDone = true;
    } catch (...) {
      ReportTaskFailure("handler", std::current_exception());
    }
  }
}

}
