#include "main/serve.h"

#include "core/log_event.h"
#include "core/log_writer.h"
#include "main/control_role.h"
#include "main/entry_role.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include <csignal>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Threads for all that is not a caller's request. */
constexpr int kThreads = 2;

/** Where the main thread waits for the end. */
struct end_signal
{
  std::mutex mLock;
  std::condition_variable mChanged;
  bool mIsStopping = false;
  bool mHasFailed = false;

  void Set(bool aHasFailed)
  {
    std::lock_guard guard(mLock);
    mIsStopping = true;
    mHasFailed = mHasFailed || aHasFailed;
    mChanged.notify_all();
  }

  bool Wait()
  {
    std::unique_lock guard(mLock);
    mChanged.wait(guard, [&] { return mIsStopping; });
    return !mHasFailed;
  }
};

/** Reads a changed settings file; what runs keeps what it was started with. */
void
Reload(const std::string& aPath)
{
  auto loaded = LoadSettings(aPath);
  if (!loaded) {
    log_event("reload_failed", log_event::severity::Error)
      .Add("error", NameOf(loaded.error().mCode))
      .Add("cause", loaded.error().mDetail);
    return;
  }
  log_event("reloaded")
    .Add("path", aPath)
    .Add("in_force", "from the next start on");
}

/** Takes each signal in; a second one cuts no request either. */
void
AwaitSignal(asio::signal_set& aSignals,
            const std::string& aPath,
            end_signal& aEnd)
{
  aSignals.async_wait([&](boost::system::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    log_event("signal").Add("number", aSignal);
    if (aSignal == SIGHUP) {
      Reload(aPath);
    } else {
      aEnd.Set(false);
    }
    AwaitSignal(aSignals, aPath, aEnd);
  });
}

struct roles
{
  std::unique_ptr<control_role> mControl;
  std::unique_ptr<entry_role> mEntry;
};

bool
StartRoles(asio::io_context& aContext,
           const settings& aSettings,
           end_signal& aEnd,
           roles& aRoles)
{
  auto report = [](const failure<role_error>& aError) {
    log_event("start_failed", log_event::severity::Error)
      .Add("error", NameOf(aError.mCode))
      .Add("cause", aError.mDetail);
    return false;
  };
  if (aSettings.IsControl()) {
    auto control =
      control_role::Create(aContext, aSettings, [&aEnd] { aEnd.Set(true); });
    if (!control) {
      return report(control.error());
    }
    aRoles.mControl = std::move(control.value());
  }
  if (aSettings.IsEntry()) {
    auto entry = entry_role::Create(aContext, aSettings);
    if (!entry) {
      return report(entry.error());
    }
    aRoles.mEntry = std::move(entry.value());
  }
  return true;
}

}

int
Serve(const std::string& aPath, const settings& aSettings)
{
  StartLogWriter();
  // Writes to a closed connection are errors of that connection alone.
  std::signal(SIGPIPE, SIG_IGN);
  end_signal end;
  roles running;
  asio::io_context context;
  auto work = asio::make_work_guard(context);
  asio::signal_set signals(context, SIGINT, SIGTERM, SIGHUP);
  AwaitSignal(signals, aPath, end);

  bool isStarted = StartRoles(context, aSettings, end, running);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int number = 0; number < kThreads; ++number) {
    threads.emplace_back([&context] { context.run(); });
  }
  if (isStarted) {
    log_event("serving")
      .Add("host", aSettings.mHostId)
      .Add("entry", aSettings.mEntryCallersAddress)
      .Add("control", aSettings.mControlAddress);
  }

  bool isClean = isStarted && end.Wait();
  if (running.mEntry != nullptr) {
    running.mEntry->Stop();
  }
  if (running.mControl != nullptr) {
    running.mControl->Stop();
  }

  signals.cancel();
  work.reset();
  context.stop();
  for (std::thread& thread : threads) {
    thread.join();
  }
  // Sockets and timers go before the context that they belong to.
  running.mEntry.reset();
  running.mControl.reset();
  log_event("stopped").Add("clean", isClean ? "yes" : "no");
  StopLogWriter();
  return isClean ? 0 : 1;
}

}
