#include "decisions/group/raft_message_queue.h"

namespace hibiscusspool {

std::uint64_t
PayloadBytes(const raft_message& aMessage)
{
  std::uint64_t bytes =
    aMessage.mSnapshot ? aMessage.mSnapshot->mState.size() : 0;
  for (const raft_entry& entry : aMessage.mEntries) {
    bytes += entry.mPayload.size();
  }
  return bytes;
}

raft_message
raft_message_queue::TakeFirst()
{
  raft_message first = std::move(mMessages.front());
  mMessages.pop_front();
  mBytes -= PayloadBytes(first);
  return first;
}

void
raft_message_queue::Push(raft_message aMessage)
{
  mBytes += PayloadBytes(aMessage);
  mMessages.push_back(std::move(aMessage));
  while (mMessages.size() > 1 &&
         (mMessages.size() > kMaxMessages || mBytes > kMaxBytes)) {
    TakeFirst();
  }
}

std::vector<raft_message>
raft_message_queue::Take(std::size_t aMaxMessages, std::uint64_t aMaxBytes)
{
  std::vector<raft_message> taken;
  std::uint64_t bytes = 0;
  while (!mMessages.empty() && taken.size() < aMaxMessages) {
    std::uint64_t next = PayloadBytes(mMessages.front());
    if (!taken.empty() && bytes + next > aMaxBytes) {
      break;
    }
    bytes += next;
    taken.push_back(TakeFirst());
  }
  return taken;
}

}
