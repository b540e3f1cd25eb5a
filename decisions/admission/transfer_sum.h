#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace hibiscusspool {

/** Number of a message body that is held in memory. */
using transfer_id = std::uint64_t;

/**
 * The bytes of all message bodies that a host holds at the same time. Each one
 * has a limit of its own, but a host may hold hundreds. When the sum is over
 * its limit, the largest that is still being received is given up: most bodies
 * are small, so it is the one that is at fault.
 */
class transfer_sum
{
  struct transfer
  {
    std::uint64_t mBytes = 0;
    bool mIsComplete = false;
  };

  std::uint64_t mMaxBytes;
  std::uint64_t mBytes = 0;
  transfer_id mLast = 0;
  std::map<transfer_id, transfer> mTransfers;

public:
  explicit transfer_sum(std::uint64_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  transfer_id Begin();
  /** Sets the size of a body that grew; returns the transfer to give up, if one
   * must be. */
  std::optional<transfer_id> Grow(transfer_id aTransfer, std::uint64_t aBytes);
  /** The body is complete, and counts until it is released. */
  void Complete(transfer_id aTransfer);
  void Release(transfer_id aTransfer);
  [[nodiscard]] std::uint64_t Bytes() const { return mBytes; }
};

}
