#pragma once

#include "decisions/group/raft_types.h"

#include <deque>
#include <iterator>
#include <vector>

namespace hibiscusspool {

/** The entries of the log after a snapshot, with the sum of their payloads. */
class entry_log
{
  std::deque<raft_entry> mEntries;
  std::uint64_t mBytes = 0;

public:
  entry_log() = default;
  explicit entry_log(std::vector<raft_entry> aEntries)
    : mEntries(std::make_move_iterator(aEntries.begin()),
               std::make_move_iterator(aEntries.end()))
  {
    for (const raft_entry& entry : mEntries) {
      mBytes += entry.mPayload.size();
    }
  }

  [[nodiscard]] const std::deque<raft_entry>& Entries() const
  {
    return mEntries;
  }
  /** Bytes of all payloads. */
  [[nodiscard]] std::uint64_t Bytes() const { return mBytes; }
  [[nodiscard]] bool IsEmpty() const { return mEntries.empty(); }
  [[nodiscard]] std::size_t Count() const { return mEntries.size(); }

  void Append(raft_entry aEntry)
  {
    mBytes += aEntry.mPayload.size();
    mEntries.push_back(std::move(aEntry));
  }
  void DropFirst()
  {
    mBytes -= mEntries.front().mPayload.size();
    mEntries.pop_front();
  }
  void DropLast()
  {
    mBytes -= mEntries.back().mPayload.size();
    mEntries.pop_back();
  }
  void Clear()
  {
    mEntries.clear();
    mBytes = 0;
  }
};

}
