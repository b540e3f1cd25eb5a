#pragma once

#include "controllers/lease_controller.h"
#include "controllers/watch_hub.h"
#include "core/failure.h"
#include "decisions/group/control_host_choice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace hibiscusspool {

struct watch_client_config
{
  /** The control hosts that are known at the start; each tells of the others.
   * While there are none, the client waits for `AddHosts`. */
  std::map<host_id, std::string> mAddresses;
  /** Time between marks, the numbered read-index requests on the stream. */
  milliseconds mMarkInterval{ 500 };
  /** A stream that receives no message for this long is closed. */
  milliseconds mSilenceTimeout{ 1000 };
  /** Time limit for an attempt to connect. This and the next limit are doubled
   * after each stream that timed out, a few times; the next one no further than
   * the one after it. */
  milliseconds mConnectTimeout{ 150 };
  /** Time limit for a control host to say that it is in touch with a majority.
   */
  milliseconds mOpenTimeout{ 1000 };
  /** Time limit for the state and the first confirmed mark of a stream. */
  milliseconds mStateTimeout{ 4000 };
  /** Control hosts of this failure domain are preferred. */
  failure_domain_id mFailureDomain;
  /** Ranks the control hosts, so that daemons spread across them. */
  std::uint64_t mSeed = 0;
};

struct watch_client_hooks
{
  /** The daemon's own record, for the first message of a stream. */
  std::function<entry_host_record()> mMakeHello;
  /** The daemon's current state. */
  std::function<watch_report(steady_time)> mReport;
  std::function<void(const watch_update&, steady_time)> mApplyUpdate;
  /** Called when a mark was confirmed. */
  std::function<void(const sent_mark&)> mOnMarkConfirmed;
  /** The control hosts have changed. */
  std::function<void(const std::vector<host_id>&)> mOnControlHosts;
};

/** Why a stream ended. */
enum class stream_end
{
  Failed,
  TimedOut,
  /** The control host is cut off from the group. */
  CutOff,
  /** Another control host is preferred now. */
  Moved,
  Stopped,
};

template<>
inline constexpr name_table<stream_end, 5> kNames<stream_end>{ {
  { stream_end::Failed, "failed" },
  { stream_end::TimedOut, "timed_out" },
  { stream_end::CutOff, "cut_off" },
  { stream_end::Moved, "moved" },
  { stream_end::Stopped, "stopped" },
} };

/**
 * A daemon's watch stream. A thread keeps one stream open to some control
 * host, sends marks, and opens a new connection to another host when the
 * stream ends or times out.
 */
class watch_client
{
  struct state;
  std::shared_ptr<state> mState;
  std::thread mThread;

  explicit watch_client(std::shared_ptr<state> aState);
  static void Run(const std::shared_ptr<state>& aState);
  static stream_end RunStream(const std::shared_ptr<state>& aState,
                              const host_id& aHost);

public:
  watch_client(watch_client&&) noexcept = default;
  watch_client& operator=(watch_client&&) = delete;
  ~watch_client();

  static watch_client Create(watch_client_config aConfig,
                             watch_client_hooks aHooks);
  /** Adds control hosts to those that are known from the start. */
  void AddHosts(const std::map<host_id, std::string>& aAddresses);
  /** Closes the stream and ends the thread. */
  void Stop();
};

}
