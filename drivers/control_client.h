#pragma once

#include "controllers/control_group.h"
#include "controllers/rollout_controller.h"
#include "core/failure.h"
#include "decisions/admission/refusal.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <control.pb.h>

namespace hibiscusspool {

enum class control_client_error
{
  NoLeader,
  /** No leader reaches this control host. */
  CutOff,
  Refused,
  Stopped,
};

template<>
inline constexpr name_table<control_client_error, 4>
  kNames<control_client_error>{ {
    { control_client_error::NoLeader, "no_leader" },
    { control_client_error::CutOff, "cut_off" },
    { control_client_error::Refused, "refused" },
    { control_client_error::Stopped, "stopped" },
  } };

struct control_client_hooks
{
  /** The leader's latest heartbeat round that this control host knows of; unset
   * on other hosts. */
  std::function<leader_round()> mLatestRound;
  /** This control host knows that no leader reaches it; unset on other hosts.
   */
  std::function<bool()> mIsCutOff;
};

/** Calls to the control hosts from any process of the system. */
class control_client
{
  struct state;
  std::shared_ptr<state> mState;

  explicit control_client(std::shared_ptr<state> aState);

  boost::asio::awaitable<propose_result> ProposeOnce(
    host_id aHost,
    const change_command& aCommand,
    milliseconds aTimeout);

public:
  /** `aAddresses` gives the `ip:port` of each control host; others, or all, may
   * be learned later. */
  static control_client Create(boost::asio::any_io_executor aExecutor,
                               std::map<host_id, std::string> aAddresses,
                               control_client_hooks aHooks = {});

  /**
   * Sends a command to the leader and retries across changes of leader. A
   * command may be sent more than once: it must have a Change-Id or be
   * idempotent. Errors: `NoLeader` if no leader applied the command before the
   * deadline, `CutOff` at once while none reaches this host.
   */
  boost::asio::awaitable<
    result<std::vector<change_outcome>, control_client_error>>
  Propose(change_command aCommand, steady_time aDeadline);

  /** Proposes one change; nothing if it was not evaluated in time. */
  boost::asio::awaitable<std::optional<change_outcome>> ProposeOne(
    record_change aChange,
    std::optional<log_index> aIfVersion,
    steady_time aDeadline);

  /** The status of each control host that replies. */
  boost::asio::awaitable<std::vector<wire::StatusReply>> Status();

  /** Sends a batch to one host; returns the last refusal number synced there.
   */
  boost::asio::awaitable<result<std::uint64_t, control_client_error>>
  StoreRefusals(host_id aHost, const refusal_batch& aBatch);

  /** The refusals since `aFrom` from each control host that replies. */
  boost::asio::awaitable<std::vector<refusal_batch>> ReadRefusals(
    wall_ms aFrom);

  /** Sends counts of running rollouts to the leader; nothing if it wasn't
   * reached or isn't known. Makes two calls at most. */
  boost::asio::awaitable<std::optional<rollout_receipt>> ReportRollouts(
    const std::vector<rollout_report>& aReports);

  /** What a control host reports of itself, if it replies. */
  boost::asio::awaitable<std::optional<wire::ProbeReply>> Probe(host_id aHost);

  /** Cancels all calls and waits until they have ended. */
  void Stop();

  /** Adds control hosts that are named by their addresses and are not known
   * yet. */
  void LearnHosts(const std::vector<host_id>& aHosts);

  /** Sets the host that is asked first, if it is known better elsewhere. */
  void SetLeader(host_id aLeader);

  [[nodiscard]] std::vector<host_id> Hosts() const;
};

}
