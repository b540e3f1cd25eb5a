#pragma once

#include "core/clock.h"
#include "core/sharded_map.h"
#include "decisions/group/raft_types.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hibiscusspool {

/**
 * Sends messages to the other control hosts over gRPC. Each host has at most
 * one in-flight call and a queue. While a call gets no reply, a full queue
 * drops its oldest messages, since members resend those that matter.
 */
class raft_transport
{
  struct state;
  std::shared_ptr<state> mState;

  explicit raft_transport(std::shared_ptr<state> aState);

  static void SendNext(const std::shared_ptr<state>& aState,
                       const host_id& aHost);

public:
  /** `aAddresses` gives the `ip:port` of each control host. */
  static raft_transport Create(std::map<host_id, std::string> aAddresses);

  void Send(std::vector<raft_message> aMessages);
  /** A message from this host has arrived: a connection attempt that got no
   * response, as from a host that was still off, is started anew. */
  void OnContact(const host_id& aHost, steady_time aNow);
  /** Closes the channels to all other hosts that nothing waits for: a channel
   * to a host that is gone would try to connect for ever. */
  void CloseOthers(const std::set<host_id>& aMembers);
  /** Cancels all calls and waits until they have ended. */
  void Stop();
};

}
