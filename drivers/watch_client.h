#pragma once

#include "controllers/watch_hub.h"
#include "core/failure.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace hibiscusspool {

struct watch_client_config
{
  std::map<host_id, std::string> mAddresses;
  /** How often a mark is sent. */
  milliseconds mMarkInterval{ 500 };
  /** A stream without a message for this long is given up. */
  milliseconds mSilenceTimeout{ 1000 };
  /** Chooses the first control host, so that daemons spread over them. */
  std::uint64_t mSeed = 0;
};

struct watch_client_hooks
{
  /** The daemon's own record, as a stream's greeting. */
  std::function<entry_host_record()> mHello;
  /** What the daemon holds now. */
  std::function<watch_report(steady_time)> mReport;
  std::function<void(const watch_update&, steady_time)> mApplyUpdate;
  /** A mark that was sent at this time is confirmed. */
  std::function<void(steady_time)> mOnMarkConfirmed;
};

/**
 * A daemon's watch stream. A thread keeps one stream open to some control
 * host, sends marks, and opens a fresh connection to another host when the
 * stream ends or goes silent.
 */
class watch_client
{
  struct state;
  std::shared_ptr<state> mState;
  std::thread mThread;

  explicit watch_client(std::shared_ptr<state> aState);
  static void Run(const std::shared_ptr<state>& aState);
  static void RunStream(const std::shared_ptr<state>& aState,
                        const std::string& aAddress);

public:
  watch_client(watch_client&&) noexcept = default;
  watch_client& operator=(watch_client&&) = delete;
  ~watch_client();

  static watch_client Create(watch_client_config aConfig,
                             watch_client_hooks aHooks);
  void Stop();
};

}
