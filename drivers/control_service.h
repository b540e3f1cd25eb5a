#pragma once

#include "controllers/control_group.h"
#include "controllers/rollout_controller.h"
#include "controllers/watch_hub.h"
#include "core/failure.h"
#include "decisions/admission/refusal.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace hibiscusspool {

enum class control_service_error
{
  CannotListen,
};

template<>
inline constexpr name_table<control_service_error, 1>
  kNames<control_service_error>{ {
    { control_service_error::CannotListen, "cannot_listen" },
  } };

/** What a control host reports of itself before it belongs to a group. */
struct probe_result
{
  raft_peer_id mSelf;
  bool mIsEmpty = false;
  std::vector<host_id> mGroup;
  failure_domain_id mFailureDomain;
};

struct control_service_hooks
{
  std::function<steady_time()> mSteadyNow;
  std::function<void(std::vector<raft_message>)> mReceiveMessages;
  std::function<probe_result()> mProbe;
  /** Proposes a change for a caller that waits until a time; the age limits a
   * change that another control host sent. */
  std::function<void(change_command,
                     propose_callback,
                     steady_time,
                     std::optional<proposal_age>)>
    mPropose;
  /** Opens the stream of a daemon that has all changes up to an index; calls
   * back when `mNextMessage` has a message. */
  std::function<stream_id(entry_host_record, log_index, std::function<void()>)>
    mOpenStream;
  std::function<void(stream_id, watch_report)> mReceiveReport;
  std::function<std::optional<watch_message>(stream_id)> mNextMessage;
  std::function<void(stream_id)> mCloseStream;
  std::function<control_group_status()> mStatus;
  std::function<std::vector<daemon_status>()> mDaemons;
  /** Syncs a batch to disk and returns the number of its last refusal. */
  std::function<std::optional<std::uint64_t>(const refusal_batch&)>
    mStoreRefusals;
  std::function<std::vector<refusal_batch>(wall_ms)> mReadRefusals;
  /** Adds an entry host's counts of running rollouts. */
  std::function<rollout_receipt(const std::vector<rollout_report>&)>
    mReportRollouts;
};

/** The gRPC server of a control host, listening on an `ip:port`. */
class control_service
{
  struct state;
  std::unique_ptr<state> mState;

  explicit control_service(std::unique_ptr<state> aState);

public:
  control_service(control_service&&) noexcept;
  control_service& operator=(control_service&&) noexcept;
  ~control_service();

  /** Connections are accepted by the threads of the context. */
  static result<control_service, control_service_error> Create(
    boost::asio::io_context& aContext,
    const std::string& aAddress,
    control_service_hooks aHooks);

  /** Cancels all streams and waits for the calls in progress. */
  void Stop();
};

}
