#pragma once

#include "decisions/group/raft_types.h"

#include <deque>
#include <vector>

namespace hibiscusspool {

/** Bytes of the payloads of a message. */
std::uint64_t
PayloadBytes(const raft_message& aMessage);

/**
 * Messages that wait for one member, bounded by number and bytes. Members
 * tolerate lost messages, so the oldest are dropped; the newest is always kept.
 */
class raft_message_queue
{
  std::deque<raft_message> mMessages;
  std::uint64_t mBytes = 0;

  raft_message TakeFirst();

public:
  static constexpr std::size_t kMaxMessages = 256;
  static constexpr std::uint64_t kMaxBytes = 4U << 20U;

  void Push(raft_message aMessage);
  /** The oldest messages up to a number and a size, but at least one if there
   * is any. */
  std::vector<raft_message> Take(std::size_t aMaxMessages,
                                 std::uint64_t aMaxBytes);
  [[nodiscard]] bool IsEmpty() const { return mMessages.empty(); }
  [[nodiscard]] std::size_t Count() const { return mMessages.size(); }
  [[nodiscard]] std::uint64_t Bytes() const { return mBytes; }
};

}
