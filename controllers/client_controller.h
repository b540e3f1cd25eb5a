#pragma once

#include "core/name_table.h"
#include "decisions/admission/client_load.h"

#include <array>
#include <functional>
#include <map>
#include <mutex>

namespace hibiscusspool {

/** Why clients were turned away to protect this process. */
enum class client_limit
{
  Bytes,
  Connections,
  HeaderFields,
};

template<>
inline constexpr name_table<client_limit, 3> kNames<client_limit>{ {
  { client_limit::Bytes, "bytes" },
  { client_limit::Connections, "connections" },
  { client_limit::HeaderFields, "header_fields" },
} };

/** What the clients of this process hold, and what was refused to them. */
struct client_status
{
  std::uint64_t mBytes = 0;
  std::size_t mConnections = 0;
  client_limits mLimits;
  /** Connections closed, or requests refused, since the start, by limit. */
  std::array<std::uint64_t, kNames<client_limit>.size()> mClosed{};
};

/**
 * The connections of the clients of all listeners of this process. It keeps
 * sums over the whole process, so it is one shard. No hook is called under the
 * lock.
 */
class client_controller
{
  using closed_counts = std::array<std::uint64_t, kNames<client_limit>.size()>;
  using hook = std::function<void()>;
  using end_hook = std::function<void(client_id)>;

  mutable std::mutex mLock;
  client_load mLoad;
  listener_id mLastListener = 0;
  std::map<listener_id, hook> mRoomHooks;
  /** A listener waits for room. */
  bool mIsAwaited = false;
  /** Ask connections to close. */
  std::map<client_id, end_hook> mEndHooks;
  closed_counts mClosed{};
  /** Closed since the last line of the log. */
  closed_counts mUnlogged{};
  steady_time mLoggedAt;

  [[nodiscard]] std::vector<hook> HooksOf(
    const std::vector<client_id>& aClients) const;
  /** The hooks of the listeners that wait for room, once there is some. */
  std::vector<hook> TakeRoomHooks();
  void Count(client_limit aLimit, std::size_t aCount);
  /** Writes a line of the log if something was closed, once a second. */
  void Log(steady_time aNow);

public:
  explicit client_controller(client_limits aLimits)
    : mLoad(aLimits)
  {
  }

  /** `aOnRoom` is called after `HasRoom` was false, when it may be true. */
  listener_id AddListener(std::size_t aMaxConnections,
                          std::function<void()> aOnRoom);
  void RemoveListener(listener_id aListener);
  /** True if a further connection may be accepted. */
  bool HasRoom(listener_id aListener);
  /** Counts a new connection, in favour of which others may be closed. `aEnd`
   * is called on any thread, also before this returns, and closes the
   * connection if `IsClosing` is still true. */
  client_id Open(listener_id aListener,
                 std::function<void(client_id)> aEnd,
                 steady_time aNow);
  /** Sets what a connection is used for and the bytes that it holds; closes
   * others, or this one, if all hold too many. */
  void Update(client_id aClient,
              client_phase aPhase,
              std::uint64_t aBytes,
              steady_time aNow);
  [[nodiscard]] bool IsClosing(client_id aClient) const;
  /** Counts a connection again that was to close and has a new request. */
  void Keep(client_id aClient);
  void Close(client_id aClient);
  /** Counts a request that was refused for the number of its fields. */
  void CountRefusedFields(steady_time aNow);
  [[nodiscard]] client_status Status() const;
};

}
