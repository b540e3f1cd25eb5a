#include "main/serve.h"

#include "core/background_task.h"
#include "core/log_event.h"
#include "core/log_writer.h"
#include "core/periodic.h"
#include "core/termination.h"
#include "drivers/grpc_settings.h"
#include "drivers/process_file.h"
#include "drivers/tcp_listener.h"
#include "main/exit_code.h"
#include "main/role_support.h"
#include "main/roles.h"
#include "main/seed_watcher.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include <csignal>

#include <malloc.h>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Threads for all work other than callers' requests. */
constexpr int kBackgroundThreads = 2;

/** Time between attempts to open a data folder that the disk refuses, and to
 * bind an address that is in use. */
constexpr milliseconds kStartRetryInterval{ 500 };

/** Blocks of this size and above return to the system when they are freed. */
constexpr int kMmapThresholdBytes = 128 << 10;

/** Interval between looks at the seeds while a host is out of touch. */
constexpr milliseconds kSeedInterval{ 1000 };

/** Lets the main thread wait for the shutdown. */
struct shutdown_event
{
  std::mutex mLock;
  std::condition_variable mChanged;
  bool mIsStopping = false;

  void Set()
  {
    std::lock_guard guard(mLock);
    mIsStopping = true;
    mChanged.notify_all();
  }

  bool IsStopping()
  {
    std::lock_guard guard(mLock);
    return mIsStopping;
  }

  void Wait()
  {
    std::unique_lock guard(mLock);
    mChanged.wait(guard, [&] { return mIsStopping; });
  }
};

/** Handles all signals; a repeated stop signal does not abort requests. */
void
AwaitSignals(asio::signal_set& aSignals,
             seed_watcher& aSeeds,
             shutdown_event& aShutdown)
{
  aSignals.async_wait([&](boost::system::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    log_event("signal").Add("number", aSignal);
    if (aSignal == SIGHUP) {
      aSeeds.Reload();
    } else {
      aShutdown.Set();
    }
    AwaitSignals(aSignals, aSeeds, aShutdown);
  });
}

/** All addresses on which the configured roles listen. */
std::vector<std::string>
ListenAddresses(const settings& aSettings)
{
  std::vector<std::string> addresses{
    aSettings.mControlAddress,           aSettings.mControlOperatorsAddress,
    aSettings.mEntryCallersAddress,      aSettings.mEntryAnnounceAddress,
    aSettings.mPlatformCallersAddress,   aSettings.mPlatformReadinessAddress,
    aSettings.mPlatformDirectoryAddress, aSettings.mPlatformControlAddress,
    SubqueryAddress(aSettings),
  };
  std::erase(addresses, std::string());
  return addresses;
}

/** Waits until all addresses can be bound, since an earlier process may still
 * hold them; returns false if stopped meanwhile. */
bool
WaitForAddresses(asio::io_context& aContext,
                 const settings& aSettings,
                 shutdown_event& aShutdown)
{
  for (const std::string& address : ListenAddresses(aSettings)) {
    std::string lastCause;
    while (!aShutdown.IsStopping()) {
      auto checked = tcp_listener::CheckAddress(aContext, address);
      if (checked) {
        break;
      }
      if (checked.error().mDetail != lastCause) {
        lastCause = checked.error().mDetail;
        log_event("start_waits_for_address", log_event::severity::Error)
          .Add("cause", lastCause);
      }
      aContext.run_for(kStartRetryInterval);
    }
  }
  return !aShutdown.IsStopping();
}

/** Logs how the process before this one ended. Nothing on a host without a data
 * folder, or at its first start. */
std::optional<process_file>
FollowPreviousProcess(const settings& aSettings)
{
  std::filesystem::path folder(aSettings.mControlDataFolder);
  std::error_code problem;
  if (!aSettings.IsControl() || !std::filesystem::exists(folder, problem)) {
    return std::nullopt;
  }
  auto file = process_file::Create(folder);
  if (!file) {
    log_event("process_file_not_written", log_event::severity::Warning)
      .Add("cause", file.error().mDetail);
    return std::nullopt;
  }
  if (const auto& previous = file.value().Previous()) {
    std::uint64_t earlyEnds = file.value().Record().mEarlyEnds;
    log_event("previous_process",
              earlyEnds > 0 ? log_event::severity::Warning
                            : log_event::severity::Info)
      .Add("phase", NameOf(previous->mRecord.mPhase))
      .Add("early_ends", earlyEnds)
      .Add("last_words", previous->mLastWords);
  }
  SetLastWordsFile(file.value().File());
  return std::move(file.value());
}

using control_result = result<std::unique_ptr<control_role>, role_error>;

/** Creates the control role. While the disk is full or fails, tries again until
 * the process is stopped: a host that ends is restarted only to end again. */
control_result
CreateControl(asio::io_context& aContext,
              const settings& aSettings,
              const std::shared_ptr<client_controller>& aClients,
              shutdown_event& aShutdown)
{
  std::string lastCause;
  while (true) {
    auto control = control_role::Create(aContext, aSettings, aClients);
    bool mayPass =
      !control && control.error().mCode == role_error::DiskUnavailable;
    if (!mayPass) {
      return control;
    }
    if (control.error().mDetail != lastCause) {
      lastCause = control.error().mDetail;
      log_event("start_waits_for_disk", log_event::severity::Error)
        .Add("cause", lastCause);
    }
    aContext.run_for(kStartRetryInterval);
    if (aShutdown.IsStopping()) {
      return control;
    }
  }
}

/** Nothing if the roles run or the process was stopped meanwhile. */
std::optional<exit_code>
StartRoles(asio::io_context& aContext,
           const settings& aSettings,
           shutdown_event& aShutdown,
           roles& aRoles)
{
  auto report = [](const failure<role_error>& aError) {
    log_event("start_failed", log_event::severity::Error)
      .Add("error", NameOf(aError.mCode))
      .Add("cause", aError.mDetail);
    return ExitCodeOf(aError.mCode);
  };
  if (!WaitForAddresses(aContext, aSettings, aShutdown)) {
    return std::nullopt;
  }
  auto clients = std::make_shared<client_controller>(ClientLimits(aSettings));
  if (aSettings.IsControl()) {
    auto control = CreateControl(aContext, aSettings, clients, aShutdown);
    if (!control && aShutdown.IsStopping()) {
      return std::nullopt;
    }
    if (!control) {
      return report(control.error());
    }
    aRoles.mControl = std::move(control.value());
  }
  if (aSettings.IsEntry()) {
    auto entry = entry_role::Create(aContext, aSettings, clients);
    if (!entry) {
      return report(entry.error());
    }
    aRoles.mEntry = std::move(entry.value());
  }
  return std::nullopt;
}

}

int
Serve(const std::string& aPath, const repaired_settings& aLoaded)
{
  const settings& used = aLoaded.mSettings;
  // A write to a closed connection must fail for that connection only, and one
  // beyond the limit on the size of files for that file only.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
  // Once set, the threshold no longer rises to the size of the blocks that were
  // freed, and large bodies don't remain with the process as fragments.
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  StartLogWriter();
  LogGrpcMessages();
  DisableLockCycleDetection();
  LogRepairs(aLoaded.mRepairs);
  auto processFile = FollowPreviousProcess(used);
  shutdown_event shutdown;
  roles running;
  asio::io_context context;
  auto work = asio::make_work_guard(context);
  asio::signal_set signals(context, SIGINT, SIGTERM, SIGHUP);
  seed_watcher seeds(aPath, used, running);
  AwaitSignals(signals, seeds, shutdown);

  auto startFailure = StartRoles(context, used, shutdown, running);
  bool isStarted = !startFailure && !shutdown.IsStopping();
  std::vector<std::thread> threads;
  threads.reserve(kBackgroundThreads);
  for (int number = 0; number < kBackgroundThreads; ++number) {
    threads.emplace_back([&context] { RunHandlers(context); });
  }
  std::atomic<bool> isStopping = false;
  if (isStarted) {
    RunPeriodically(context, "seeds", kSeedInterval, isStopping, [&seeds] {
      return seeds.Follow();
    });
    if (processFile) {
      processFile->SetPhase(process_phase::Serving);
    }
    log_event("serving")
      .Add("host", used.mHostId)
      .Add("entry", used.mEntryCallersAddress)
      .Add("control", used.mControlAddress);
  }

  bool isClean = !startFailure || shutdown.IsStopping();
  if (isClean) {
    shutdown.Wait();
  }
  isStopping = true;
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
  // Sockets and timers must be destroyed before their I/O context.
  running.mEntry.reset();
  running.mControl.reset();
  if (processFile && isClean) {
    processFile->SetPhase(process_phase::Stopped);
  }
  SetLastWordsFile(-1);
  log_event("stopped").Add("clean", isClean ? "yes" : "no");
  StopLogWriter();
  return static_cast<int>(isClean ? exit_code::Success : *startFailure);
}

}
