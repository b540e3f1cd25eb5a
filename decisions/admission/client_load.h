#pragma once

#include "core/clock.h"
#include "core/name_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hibiscusspool {

/** Number of a connection that a client has opened. */
using client_id = std::uint64_t;
/** Number of a listener of this process. */
using listener_id = std::uint64_t;

/** What a client's connection is used for. */
enum class client_phase
{
  /** No byte of the next request has arrived. */
  Idle,
  Receiving,
  /** The request is complete and has no response yet. */
  Serving,
  /** The response is being sent. */
  Sending,
  /** No further response will be sent. */
  Lingering,
};

template<>
inline constexpr name_table<client_phase, 5> kNames<client_phase>{ {
  { client_phase::Idle, "idle" },
  { client_phase::Receiving, "receiving" },
  { client_phase::Serving, "serving" },
  { client_phase::Sending, "sending" },
  { client_phase::Lingering, "lingering" },
} };

struct client_limits
{
  /** Bytes of requests and of responses that all connections hold together. */
  std::uint64_t mMaxBytes = 0;
  /** Connections of all listeners together. */
  std::size_t mMaxConnections = 0;
};

/**
 * The connections of all clients of a process, and the bytes of unfinished and
 * running requests and of unread responses that they hold. Each has limits of
 * its own, but the process has one memory and one table of descriptors.
 *
 * When a sum is over its limit, the connection without progress for the longest
 * time is closed first, and the one with the most bytes among those that made
 * their last progress at about the same time. One whose request is being served
 * is never closed. One that holds no more than an ordinary request is not
 * closed for its bytes: the limit of connections bounds these.
 */
class client_load
{
  struct client
  {
    listener_id mListener = 0;
    client_phase mPhase = client_phase::Idle;
    std::uint64_t mBytes = 0;
    steady_time mProgressAt;
    /** It was chosen, and no longer counts. */
    bool mIsClosing = false;
  };

  struct listener
  {
    std::size_t mMaxConnections = 0;
    std::size_t mCount = 0;
    std::size_t mServing = 0;
  };

  client_limits mLimits;
  std::uint64_t mBytes = 0;
  std::size_t mCount = 0;
  std::size_t mServing = 0;
  std::size_t mClosing = 0;
  client_id mLast = 0;
  std::map<client_id, client> mClients;
  std::map<listener_id, listener> mListeners;

  void Add(const client& aClient);
  void Remove(const client& aClient);
  void MarkClosing(client& aClient);
  [[nodiscard]] std::optional<client_id> LongestStalled(
    std::optional<listener_id> aListener) const;

public:
  /** Connections with at most this many bytes are not closed for their bytes.
   * It holds an ordinary head of 2 KiB with its fields and a read buffer. */
  static constexpr std::uint64_t kOrdinaryBytes = 12 << 10;

  explicit client_load(client_limits aLimits)
    : mLimits(aLimits)
  {
  }

  void AddListener(listener_id aListener, std::size_t aMaxConnections);
  void RemoveListener(listener_id aListener);

  /** False while a further connection would find no room, even if others were
   * closed for it. */
  [[nodiscard]] bool HasRoom(listener_id aListener) const;
  /** Counts a new connection, which is idle. */
  client_id Open(listener_id aListener, steady_time aNow);
  /** The connections to close in favour of those that were opened. */
  std::vector<client_id> ChooseSurplus(listener_id aListener);
  /** Sets what a connection is used for and the bytes it holds, after progress
   * at `aNow`. One that was chosen counts again if its request is complete. */
  void Update(client_id aClient,
              client_phase aPhase,
              std::uint64_t aBytes,
              steady_time aNow);
  /** The connections to close so that the bytes fit their limit. */
  std::vector<client_id> ChooseExcess(steady_time aNow);
  /** True if the connection was chosen and has not counted again since. */
  [[nodiscard]] bool IsClosing(client_id aClient) const;
  /** Counts a connection again that was chosen and must not be closed. */
  void Keep(client_id aClient);
  void Close(client_id aClient);

  [[nodiscard]] std::uint64_t Bytes() const { return mBytes; }
  [[nodiscard]] std::size_t Count() const { return mCount; }
  [[nodiscard]] const client_limits& Limits() const { return mLimits; }
};

}
